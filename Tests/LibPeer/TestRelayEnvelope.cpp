#include "LibPeer/PeerFailures.h"
#include "LibPeer/RelayEnvelope.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

RelayEnvelope exampleEnvelope() {
  RelayEnvelope out;
  out.From = HostId("a");
  out.To = HostId("b");
  out.CallId = "call";
  out.RequestDigest = digestOfRequest("POST", "/x?y=1");
  out.Service = ServiceId("desk");
  out.WaitLimit = milliseconds(1234);
  out.Attempts = 2;
  out.PlanVersion = 7;
  out.ResumeAfter = "12";
  out.IsDemandCounted = true;
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_envelope)

BOOST_AUTO_TEST_CASE(an_envelope_arrives_as_it_was_sealed) {
  const std::string secret = makeRelaySecret();
  const RelayEnvelope sent = exampleEnvelope();
  const RelayEnvelope got =
      openRelayEnvelope(sealRelayEnvelope(sent, secret), secret);
  BOOST_TEST(got.From.text() == sent.From.text());
  BOOST_TEST(got.To.text() == sent.To.text());
  BOOST_TEST(got.CallId == sent.CallId);
  BOOST_TEST(got.RequestDigest == sent.RequestDigest);
  BOOST_TEST(got.Service.text() == sent.Service.text());
  BOOST_TEST(got.WaitLimit.count() == sent.WaitLimit.count());
  BOOST_TEST(got.Attempts == sent.Attempts);
  BOOST_TEST(got.PlanVersion == sent.PlanVersion);
  BOOST_TEST(got.ResumeAfter == sent.ResumeAfter);
  BOOST_TEST(got.IsDemandCounted == sent.IsDemandCounted);
}

// A caller that could make or change an envelope would have its calls served
// without being charged for them.
BOOST_AUTO_TEST_CASE(a_changed_or_foreign_envelope_is_refused) {
  const std::string secret = makeRelaySecret();
  const std::string text = sealRelayEnvelope(exampleEnvelope(), secret);
  for (std::size_t n = 0; n < text.size(); ++n) {
    std::string changed = text;
    changed[n] = changed[n] == '0' ? '1' : '0';
    BOOST_CHECK_THROW(openRelayEnvelope(changed, secret), PeerMessageRefused);
  }
  for (const std::string &it : {std::string(), text.substr(0, text.size() - 2),
                                text + "00", text.substr(0, text.find('.')),
                                std::string("."), std::string(20000, 'a')})
    BOOST_CHECK_THROW(openRelayEnvelope(it, secret), PeerMessageRefused);
  BOOST_CHECK_THROW(openRelayEnvelope(text, makeRelaySecret()),
                    PeerMessageRefused);
  BOOST_CHECK_THROW(
      openRelayEnvelope(sealRelayEnvelope(exampleEnvelope(), ""), ""),
      PeerMessageRefused);
}

BOOST_AUTO_TEST_CASE(a_digest_is_of_one_request) {
  BOOST_TEST(digestOfRequest("GET", "/a") == digestOfRequest("GET", "/a"));
  BOOST_TEST(digestOfRequest("GET", "/a") != digestOfRequest("PUT", "/a"));
  BOOST_TEST(digestOfRequest("GET", "/a") != digestOfRequest("GET", "/a?b"));
  BOOST_TEST(digestOfRequest("GET", std::string(99999, 'a')).size() == 64U);
}

BOOST_AUTO_TEST_SUITE_END()
