#include "DutyLease.h"
#include "GatewayFixture.h"
#include "LibBase/BootClock.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

GatewaySettings dutyLeaseSettings(Duration lease) {
  GatewaySettings settings;
  settings.Host = HostId("host");
  settings.Zone = ZoneId("z");
  settings.Bounds.Lease = lease;
  settings.Bounds.UsageWindow = seconds(5);
  return settings;
}

/// One host that is ready to acquire the duties. Its store can lose the
/// response to the next write.
struct DutyLeaseFixture {
  explicit DutyLeaseFixture(Duration lease = milliseconds(300))
      : State(Loop, dutyLeaseSettings(lease), hooks()) {
    State.Self = [] {
      FleetMember self;
      self.Host = HostId("host");
      return self;
    };
  }

  GatewayHooks hooks() {
    GatewayHooks out;
    out.Store = Store.hooks(Loop);
    out.Store.Replace = [this, inner = out.Store.Replace](
                            ResourceKind kind, const Resource &object,
                            const StoreCallback<Resource> &done) {
      inner(kind, object, [this, done](const StoreResult<Resource> &result) {
        const bool isLost = LosesNextReply;
        LosesNextReply = false;
        done(isLost ? StoreResult<Resource>{{}, StoreFailure::Unknown}
                    : result);
      });
    };
    return out;
  }

  bool waitForDuties(int attempts = 2000) {
    for (int n = 0; n < attempts && !Duties.isHeld(bootNow()); ++n) {
      Duties.tick(bootNow());
      Loop.restart();
      Loop.run_for(milliseconds(5));
      std::this_thread::sleep_for(milliseconds(2));
    }
    return Duties.isHeld(bootNow());
  }

  boost::asio::io_context Loop;
  FakeStore Store;
  bool LosesNextReply = false;
  GatewayState State;
  DutyLease Duties{State};
};

} // namespace

BOOST_AUTO_TEST_SUITE(duty_lease)

// All hosts are killed and start again. If a host waited for the lease of its
// own earlier process to expire, no host would order replicas or report usage
// until then.
BOOST_AUTO_TEST_CASE(a_host_takes_over_its_earlier_process_s_lease_at_once) {
  DutyLeaseFixture fixture(hours(1));
  fixture.Store.put(ResourceKind::Duties, "duties",
                    R"({"holder":"earlier","host":"host","fencing":7})");
  BOOST_TEST_REQUIRE(fixture.waitForDuties());
  BOOST_TEST(fixture.Duties.leaseHolder().FencingToken == 8U);
}

// The store performs the write that acquires the lease, but its response is
// lost, and the host finds its lease only by reading the store. With the
// fencing token of an earlier term, its orders would count as those of an
// earlier holder.
BOOST_AUTO_TEST_CASE(
    a_lease_whose_response_was_lost_has_its_own_fencing_token) {
  DutyLeaseFixture fixture;
  fixture.Store.put(ResourceKind::Duties, "duties",
                    R"({"holder":"another","host":"b","fencing":7})");
  fixture.LosesNextReply = true;
  BOOST_TEST_REQUIRE(fixture.waitForDuties());
  BOOST_TEST(fixture.Duties.leaseHolder().FencingToken == 8U);
  BOOST_TEST(fixture.Duties.term() == 8U);
}

// The platform's store assigns no new revision to a write that changes nothing.
// If a renewal were such a write, other hosts would treat the lease as expired,
// and two hosts would order replicas alternately.
BOOST_AUTO_TEST_CASE(each_renewal_is_seen_by_others) {
  DutyLeaseFixture fixture;
  BOOST_TEST_REQUIRE(fixture.waitForDuties());
  FleetMember self;
  fixture.Duties.addLeaseTo(self, bootNow());
  const std::uint64_t taken = self.LeaseRevision;
  for (int n = 0; n < 1000 && self.LeaseRevision == taken; ++n) {
    fixture.Duties.tick(bootNow());
    fixture.Loop.restart();
    fixture.Loop.run_for(milliseconds(5));
    std::this_thread::sleep_for(milliseconds(2));
    fixture.Duties.addLeaseTo(self, bootNow());
  }
  BOOST_TEST(self.LeaseRevision > taken);
  BOOST_TEST(self.FencingToken == fixture.Duties.term());
}

// The fencing token of the holder before can't be read. A host that took the
// lease would act under a token that was used before.
BOOST_AUTO_TEST_CASE(a_lease_that_cannot_be_read_is_not_taken) {
  for (const char *body : {"7", R"({"holder":5,"fencing":7})",
                           R"({"holder":"other","fencing":-1.5})"}) {
    DutyLeaseFixture fixture(milliseconds(10));
    fixture.Store.put(ResourceKind::Duties, "duties", body);
    BOOST_TEST(!fixture.waitForDuties(300), body);
    fixture.Store.put(ResourceKind::Duties, "duties",
                      R"({"holder":"earlier","host":"host","fencing":7})");
    BOOST_TEST(fixture.waitForDuties());
    BOOST_TEST(fixture.Duties.leaseHolder().FencingToken == 8U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
