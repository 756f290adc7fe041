#include "LibServing/CallFingerprint.h"
#include "LibServing/CrashChance.h"
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace sorrelbay;

namespace {

const TeamId Team("team");
const std::string Body = "please";

ServingCall sampleCall() {
  ServingCall call;
  call.Id = "first";
  call.Method = "POST";
  call.Path = "/n/1?x=2";
  call.Key = "key";
  call.Prompt = {{"shared", 10}, {"own", 20}};
  call.WaitLimit = seconds(10);
  call.MaxOutputTokens = 100;
  return call;
}

std::string fingerprintAfter(const std::function<void(ServingCall &)> &change) {
  ServingCall call = sampleCall();
  change(call);
  return callFingerprint(call, Team, Body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_fingerprint)

// A caller's repeat, or its resuming of a stream, is taken for another call.
BOOST_AUTO_TEST_CASE(attempts_for_one_request_have_one_fingerprint) {
  const std::string own = callFingerprint(sampleCall(), Team, Body);
  BOOST_TEST(own.size() == 25);
  BOOST_TEST(fingerprintAfter([](ServingCall &it) { it.Id = "second"; }) ==
             own);
  BOOST_TEST(fingerprintAfter([](ServingCall &it) { it.LastEventId = "7"; }) ==
             own);
  BOOST_TEST(fingerprintAfter([](ServingCall &it) {
               it.WaitLimit = seconds(3);
               it.MaxOutputTokens = 50;
               it.Key = "the team's other key";
             }) == own);
}

// Another call of the conversation or team, or another caller's with a copied
// id, is rejected for a call that crashes upstreams.
BOOST_AUTO_TEST_CASE(other_requests_have_other_fingerprints) {
  const std::string own = callFingerprint(sampleCall(), Team, Body);
  BOOST_TEST(callFingerprint(sampleCall(), TeamId("other"), Body) != own);
  BOOST_TEST(callFingerprint(sampleCall(), Team, "thanks") != own);
  BOOST_TEST(fingerprintAfter([](ServingCall &it) { it.Method = "PUT"; }) !=
             own);
  BOOST_TEST(fingerprintAfter([](ServingCall &it) { it.Path = "/n/1?x=3"; }) !=
             own);
  BOOST_TEST(fingerprintAfter([](ServingCall &it) { it.Prompt.pop_back(); }) !=
             own);
  BOOST_TEST(fingerprintAfter(
                 [](ServingCall &it) { it.Prompt.back().Tokens = 21; }) != own);
  // Texts that are the same when they are joined.
  BOOST_TEST(fingerprintAfter([](ServingCall &it) {
               it.Method = "POST/n";
               it.Path = "/1?x=2";
             }) != own);
}

// A rate of crashes that is taken for too low rejects long calls.
BOOST_AUTO_TEST_CASE(crashes_for_other_reasons_are_likely_under_long_sends) {
  const CrashRate rate{10, seconds(10), 10, 12};
  BOOST_TEST(chanceOfCrash(rate, Duration{}) == 0);
  BOOST_TEST(chanceOfCrash(rate, seconds(10)) > 0.6);
  BOOST_TEST(chanceOfCrash(rate, milliseconds(100)) < 0.02);
  BOOST_TEST(chanceOfCrash({10, seconds(10), 0, 0}, seconds(10)) == 0);
  BOOST_TEST(chanceOfSameUpstream(rate) == 1.0 / 12);
  BOOST_TEST(chanceOfSameUpstream({}) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
