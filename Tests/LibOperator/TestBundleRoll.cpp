#include "LibOperator/BundleRoll.h"
#include "LibOperator/RolloutStatusObject.h"
#include "SampleBundle.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

struct RollFixture {
  SigningKey OwnKey = SigningKey::generate();
  SigningKey OtherKey = SigningKey::generate();
  MemoryObject CurrentObject;
  ObjectApi Api = CurrentObject.api();

  RollResult roll(std::uint64_t generation) {
    return rollBundle(Api, signBundle(sampleBundle(generation), OwnKey));
  }
  /// Stores the other operator's bundle without invoking the hooks.
  void rollOther(std::uint64_t generation) {
    const std::uint64_t version =
        CurrentObject.Object ? CurrentObject.Object->Version : AbsentVersion;
    CurrentObject.Object = StoredObject{
        encodeSignedBundle(signBundle(sampleBundle(generation), OtherKey)),
        version + 1};
  }
  std::uint64_t current() {
    const auto current = readCurrentBundle(Api);
    return current ? current->Content.Generation : 0;
  }
  bool namesOther(const RollRefused &error, std::uint64_t generation) const {
    return error.current().Generation == generation &&
           error.current().SignedBy == OtherKey.publicKey().id();
  }
};

void loseReply() { throw WriteOutcomeUnknown("the reply was lost"); }
void failUnavailable() { throw ObjectApiUnavailable("down"); }

} // namespace

BOOST_FIXTURE_TEST_SUITE(BundleRollTests, RollFixture)

BOOST_AUTO_TEST_CASE(rolling_the_current_bundle_again_succeeds) {
  BOOST_CHECK(!roll(7).WasCurrent);
  BOOST_CHECK_EQUAL(current(), 7);
  BOOST_CHECK(roll(7).WasCurrent);
  BOOST_CHECK_EQUAL(CurrentObject.Object->Version, 1);
}

// An operator rolls an outdated file, or two operators choose the same
// generation. The newer bundle would be replaced by the older one.
BOOST_AUTO_TEST_CASE(older_and_equal_generations_are_refused) {
  rollOther(7);
  for (const std::uint64_t generation : {6, 7})
    BOOST_CHECK_EXCEPTION(
        roll(generation), RollOutdated,
        [this](const RollOutdated &it) { return namesOther(it, 7); });
  BOOST_CHECK_EQUAL(current(), 7);
}

// Two operators roll at the same time: both read the old bundle, then both
// write. The second one must get an error that names the current bundle instead
// of replacing it.
BOOST_AUTO_TEST_CASE(concurrent_roll_reports_the_current_bundle) {
  rollOther(6);
  CurrentObject.BeforeWrite = [this] { rollOther(7); };
  BOOST_CHECK_EXCEPTION(roll(8), RollConflict, [this](const RollConflict &it) {
    return namesOther(it, 7);
  });
  BOOST_CHECK_EQUAL(current(), 7);
}

// The object API stores the bundle but its reply is lost. If a failure were
// reported, the operator would needlessly roll it again with a new generation.
BOOST_AUTO_TEST_CASE(lost_reply_is_resolved_by_reading_back) {
  CurrentObject.AfterWrite = loseReply;
  BOOST_CHECK_EQUAL(roll(7).Generation, 7);
  BOOST_CHECK_EQUAL(CurrentObject.Object->Version, 1);
}

// The request is lost before it takes effect; only a second attempt of the same
// update makes the bundle current.
BOOST_AUTO_TEST_CASE(lost_write_is_retried) {
  CurrentObject.BeforeWrite = [this] {
    CurrentObject.BeforeWrite = [] {};
    loseReply();
  };
  roll(7);
  BOOST_CHECK_EQUAL(current(), 7);
}

// The reply is lost and the object API becomes unavailable right after. If a
// failure were reported, the operator would take the old bundle to be current.
BOOST_AUTO_TEST_CASE(outage_after_a_lost_reply_stays_unknown) {
  CurrentObject.AfterWrite = [this] {
    CurrentObject.BeforeRead = failUnavailable;
    CurrentObject.BeforeWrite = failUnavailable;
    loseReply();
  };
  BOOST_CHECK_THROW(roll(7), WriteOutcomeUnknown);
  CurrentObject.BeforeRead = [] {};
  BOOST_CHECK(roll(7).WasCurrent);
}

BOOST_AUTO_TEST_CASE(outage_before_the_write_leaves_no_bundle) {
  CurrentObject.BeforeWrite = failUnavailable;
  BOOST_CHECK_THROW(roll(7), ObjectApiUnavailable);
  BOOST_CHECK_EQUAL(current(), 0);
}

BOOST_AUTO_TEST_CASE(object_that_is_not_a_bundle_is_replaced) {
  CurrentObject.Object = StoredObject{"not a bundle", 4};
  roll(7);
  BOOST_CHECK_EQUAL(current(), 7);
}

BOOST_AUTO_TEST_CASE(rollout_status_is_unchanged_by_its_codec) {
  RolloutStatusObject status;
  status.Version = VersionId("floor-2");
  status.Service = ServiceId("floor");
  status.Generation = 7;
  status.State = PublishedRolloutState::TakenBack;
  status.Deadline = Instant(seconds(90));
  status.Evidence = {{RouteId("quote"), {200, 31, 4}}};
  status.Reason = "31 of 200 calls failed on quote";
  const std::string text = encodeRolloutStatus(status);
  BOOST_CHECK_EQUAL(encodeRolloutStatus(decodeRolloutStatus(text)), text);
  BOOST_CHECK_THROW(decodeRolloutStatus("{}"), RolloutStatusMalformed);
  BOOST_CHECK_THROW(decodeRolloutStatus("x"), RolloutStatusMalformed);
}

// The tool reads the status right after a roll, before a daemon has written it.
// The status from an earlier bundle must not count as this bundle's.
BOOST_AUTO_TEST_CASE(only_rollouts_of_this_bundle_count_as_settled) {
  RolloutStatusObject status;
  status.Version = VersionId("alarm-1");
  status.State = PublishedRolloutState::Done;
  status.Generation = 6;
  BOOST_CHECK(!areRolloutsSettled(sampleBundle(7), {status}));
  status.Generation = 7;
  BOOST_CHECK(areRolloutsSettled(sampleBundle(7), {status}));
  status.State = PublishedRolloutState::Moving;
  BOOST_CHECK(!areRolloutsSettled(sampleBundle(7), {status}));
}

BOOST_AUTO_TEST_SUITE_END()
