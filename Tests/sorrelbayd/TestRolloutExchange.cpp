#include "LibPeer/RolloutCodec.h"
#include "RolloutExchange.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace sorrelbay;

namespace {

/// An in-memory object API without version conflicts.
struct StoredObjects {
  std::map<std::string, StoredObject> Objects;

  ObjectApi api() {
    ObjectApi out;
    out.Read = [this](const std::string &name) -> std::optional<StoredObject> {
      const auto it = Objects.find(name);
      return it == Objects.end() ? std::nullopt
                                 : std::optional<StoredObject>(it->second);
    };
    out.Write = [this](const std::string &name, const std::string &body,
                       std::uint64_t expected) {
      Objects[name] = {body, expected + 1};
      return expected + 1;
    };
    out.List = [this](const std::string &prefix) {
      std::vector<std::string> names;
      for (const auto &it : Objects)
        if (it.first.rfind(prefix, 0) == 0)
          names.push_back(it.first);
      return names;
    };
    return out;
  }
};

Bundle rolloutBundle() {
  Bundle bundle;
  bundle.Generation = 2;
  bundle.Services = {
      {ServiceId("model"), UpstreamKind::Engine, DeadlinePolicy::Safe}};
  bundle.Versions = {
      {VersionId("v1"), ServiceId("model"), 0, {}, {}},
      {VersionId("v2"), ServiceId("model"), 1, now() + hours(1), {}}};
  bundle.Routes = {{RouteId("chat"), ServiceId("model"), true, 0, {}, {}}};
  return bundle;
}

std::vector<UpstreamId> oneReplica(const VersionId &version) {
  return {UpstreamId(version.text() + ":1")};
}

int callsToNew(RolloutTracker &tracker, const Bundle &bundle) {
  int sum = 0;
  for (std::uint64_t n = 0; n < 1000; ++n)
    if (tracker.choose(bundle, ServiceId("model"), n, true) == VersionId("v2"))
      ++sum;
  return sum;
}

const char *const MalformedRows[] = {
    "", "[]", R"({"vetoes":[]})",
    R"({"vetoes":[1],"stages":[],"evidence":[]})"};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutExchangeTests)

BOOST_AUTO_TEST_CASE(decoding_restores_the_encoded_knowledge) {
  RolloutKnowledge known;
  known.Evidence.record({HostId("a"), IncarnationId("1")},
                        {VersionId("v2"), RouteId("chat")},
                        UpstreamOutcome::Late);
  raiseStage(known, VersionId("v2"), {3, Instant(seconds(5))});
  Veto veto;
  veto.Version = VersionId("v2");
  veto.At = Instant(seconds(9));
  veto.By = HostId("a");
  veto.New = {5, 4, 0};
  addVeto(known, veto);
  BOOST_CHECK(decodeRolloutKnowledge(encodeRolloutKnowledge(known)) == known);
}

BOOST_DATA_TEST_CASE(malformed_knowledge_is_refused,
                     boost::unit_test::data::make(MalformedRows), text) {
  BOOST_CHECK_THROW(decodeRolloutKnowledge(text), RolloutKnowledgeMalformed);
}

// One entry of a peer's knowledge is malformed. Its vetoes must be followed all
// the same.
BOOST_AUTO_TEST_CASE(a_malformed_entry_costs_only_itself) {
  RolloutKnowledge known;
  raiseStage(known, VersionId("v2"), {3, Instant(seconds(5))});
  Veto veto;
  veto.Version = VersionId("v2");
  veto.At = Instant(seconds(9));
  veto.By = HostId("a");
  addVeto(known, veto);
  std::string text = encodeRolloutKnowledge(known);
  for (const char *list : {"\"stages\":[", "\"vetoes\":[", "\"evidence\":["})
    for (const char *bad : {"7,", "[\"v3\",4000000000,0],", "{},"})
      text.insert(text.find(list) + std::string(list).size(), bad);
  // The last entry of an empty list has no comma behind it.
  const std::size_t comma = text.find(",]");
  if (comma != std::string::npos)
    text.erase(comma, 1);
  std::vector<std::string> refused;
  BOOST_CHECK(decodeReadableRolloutKnowledge(text, refused) == known);
  BOOST_TEST(refused.size() == 9U);
}

// One daemon has rolled the version back. A daemon that starts afterwards
// without this knowledge would send calls to the version again.
BOOST_AUTO_TEST_CASE(
    a_new_daemon_reads_stored_knowledge_before_it_uses_a_version) {
  StoredObjects stored;
  const Bundle bundle = rolloutBundle();
  RolloutTracker first(HostId("first"), oneReplica);
  RolloutExchange firstExchange(stored.api(), HostId("first"), first);
  firstExchange.exchange();
  first.tick(bundle, now());
  first.tick(bundle, now());
  firstExchange.exchange();
  first.tick(bundle, now());
  BOOST_CHECK_GT(callsToNew(first, bundle), 0);
  for (int n = 0; n < 20; ++n)
    first.record({VersionId("v2"), RouteId("chat")}, UpstreamOutcome::Failed);
  BOOST_CHECK_EQUAL(callsToNew(first, bundle), 0);
  firstExchange.exchange();

  RolloutTracker second(HostId("second"), oneReplica);
  RolloutExchange secondExchange(stored.api(), HostId("second"), second);
  second.tick(bundle, now());
  BOOST_CHECK_EQUAL(callsToNew(second, bundle), 0);
  secondExchange.exchange();
  second.tick(bundle, now());
  BOOST_CHECK_EQUAL(callsToNew(second, bundle), 0);
  BOOST_REQUIRE_EQUAL(second.rolloutViews(bundle).size(), 1U);
  const RolloutStatusObject status =
      statusOf(second.rolloutViews(bundle).front(), 2);
  BOOST_CHECK(status.State == PublishedRolloutState::TakenBack);
  BOOST_CHECK_EQUAL(status.Reason.find("failures"), 0U);
  secondExchange.writeStatus(second.rolloutViews(bundle).front(), 2);
  BOOST_CHECK_EQUAL(stored.Objects.count("status/moves/v2"), 1U);
}

BOOST_AUTO_TEST_SUITE_END()
