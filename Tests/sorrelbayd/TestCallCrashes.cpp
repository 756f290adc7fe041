#include "CrashingEngines.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

constexpr int EngineCount = 12;
/// A call under which so many engines ended is sent to none again.
constexpr int AllowedCrashes = 3;
/// Hosts have each other's reports after this time.
constexpr Duration NoticeTime = seconds(2);
constexpr Duration CallInterval = milliseconds(40);
constexpr int MaxCalls = 20;
constexpr int CallsAfterBound = 9;
const std::string FatalBody = "crash";
const std::string SoundBody = "please";

const CrashMoment Moments[] = {CrashMoment::BeforeFirstByte,
                               CrashMoment::InsideFirstEvent,
                               CrashMoment::AfterEvents};

/// How a caller comes back.
struct Caller {
  const char *Name;
  std::string Path;
  /// Empty for a call without a prompt.
  std::string Parts;
  Duration Pause{};
  bool IsResuming = false;
};

const Caller Callers[] = {
    {"repeats a stream at once", "/n/1", "shared", Duration{}, false},
    {"repeats a stream after a pause", "/n/1", "shared", CallInterval, false},
    {"resumes a stream", "/s/1", "shared", Duration{}, true},
    {"repeats a call without a prompt", "/q/1", "", Duration{}, false},
};

/// Three hosts; a caller goes on to the next one with each attempt.
class Hosts {
public:
  explicit Hosts(GatewayFixture &fixture)
      : Fixture(fixture), Second(fixture.addHost("second", true)),
        Third(fixture.addHost("third", true)) {}

  HttpReply call(const CallerRequest &request) {
    const std::string addresses[] = {
        Fixture.CallerAddress, Second->CallerAddress, Third->CallerAddress};
    try {
      return Fixture.callAt(addresses[Turn++ % 3], request);
    } catch (const HttpOutcomeUnknown &) {
      // The response was cut.
      return {};
    }
  }

private:
  GatewayFixture &Fixture;
  std::unique_ptr<GatewayHost> Second;
  std::unique_ptr<GatewayHost> Third;
  std::size_t Turn = 0;
};

CallerRequest fatalRequest(const Caller &caller) {
  CallerRequest out;
  out.Path = caller.Path;
  out.Parts = caller.Parts;
  out.OwnPart = caller.Parts.empty() ? "" : "conversation";
  out.Body = FatalBody;
  return out;
}

/// Whether the call was rejected so that its caller does not send it again, and
/// may rely on that it did not run.
bool isRejected(const HttpReply &reply) {
  return reply.Status == 400 && !hasHeader(reply.Headers, "Retry-After");
}

/// Sends the call until so many engines have crashed under it that no host may
/// send it, and waits until all hosts know.
void crashUntilBound(Hosts &hosts, CrashingEngines &engines,
                     const Caller &caller) {
  CallerRequest request = fatalRequest(caller);
  for (int n = 0; n < MaxCalls && engines.crashes() < AllowedCrashes; ++n) {
    hosts.call(request);
    if (caller.IsResuming)
      request.LastEventId = "1";
    std::this_thread::sleep_for(caller.Pause);
  }
  BOOST_REQUIRE(engines.crashes() >= AllowedCrashes);
  std::this_thread::sleep_for(NoticeTime);
}

void checkBound(CrashMoment moment, const Caller &caller) {
  GatewayFixture fixture;
  Hosts hosts(fixture);
  CrashingEngines engines(fixture, EngineCount, moment, RestartId::New);
  engines.addFatalPart(FatalBody);
  crashUntilBound(hosts, engines, caller);
  const int reached = engines.reached(FatalBody);
  CallerRequest sound = fatalRequest(caller);
  sound.Body = SoundBody;
  int served = 0;
  int rejected = 0;
  for (int n = 0; n < CallsAfterBound; ++n) {
    rejected += isRejected(hosts.call(fatalRequest(caller))) ? 1 : 0;
    served += hosts.call(sound).Status == 200 ? 1 : 0;
  }
  BOOST_TEST(engines.reached(FatalBody) == reached);
  BOOST_TEST(rejected == CallsAfterBound);
  BOOST_TEST(served == CallsAfterBound);
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_crashes)

// A caller sends a call that crashes engines again and again, each time to
// another host and with a new id. Unless hosts recognise it, each sends it on.
BOOST_AUTO_TEST_CASE(a_call_that_comes_back_is_not_sent_on) {
  for (const CrashMoment moment : Moments)
    for (const Caller &caller : Callers)
      BOOST_TEST_CONTEXT(caller.Name << ", engines crash " << moment)
  checkBound(moment, caller);
}

// A call that crashes engines has the id and the prompt of another caller's
// call, which must not be rejected for it.
BOOST_AUTO_TEST_CASE(a_call_whose_id_is_copied_is_served) {
  GatewayFixture fixture;
  Hosts hosts(fixture);
  CrashingEngines engines(fixture, EngineCount, CrashMoment::BeforeFirstByte,
                          RestartId::New);
  engines.addFatalPart(FatalBody);
  CallerRequest copy = fatalRequest(Callers[0]);
  copy.Id = "copied";
  for (int n = 0; n < MaxCalls && engines.crashes() < AllowedCrashes; ++n)
    hosts.call(copy);
  BOOST_REQUIRE(engines.crashes() >= AllowedCrashes);
  std::this_thread::sleep_for(NoticeTime);
  BOOST_TEST(isRejected(hosts.call(copy)));
  CallerRequest own = copy;
  own.Body = SoundBody;
  for (int n = 0; n < CallsAfterBound; ++n)
    BOOST_TEST(hosts.call(own).Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
