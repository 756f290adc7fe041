#include "DutyLease.h"
#include "GatewayFixture.h"
#include "LibBase/BootClock.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

GatewaySettings keeperSettings(Duration lease) {
  GatewaySettings settings;
  settings.Host = HostId("host");
  settings.Zone = ZoneId("z");
  settings.Bounds.Lease = lease;
  settings.Bounds.UsageWindow = seconds(5);
  return settings;
}

/// One host that stands by for the duties, with a store that can lose its
/// answer to the next write.
struct KeeperWorld {
  explicit KeeperWorld(Duration lease = milliseconds(300))
      : State(Loop, keeperSettings(lease), hooks()) {
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
        const bool isLost = IsNextLost;
        IsNextLost = false;
        done(isLost ? StoreResult<Resource>{{}, StoreFailure::Unknown}
                    : result);
      });
    };
    return out;
  }

  bool waitForDuties() {
    for (int n = 0; n < 2000 && !Duties.isHeld(bootNow()); ++n) {
      Duties.tick(bootNow());
      Loop.restart();
      Loop.run_for(milliseconds(5));
      std::this_thread::sleep_for(milliseconds(2));
    }
    return Duties.isHeld(bootNow());
  }

  boost::asio::io_context Loop;
  FakeStore Store;
  bool IsNextLost = false;
  GatewayState State;
  DutyLease Duties{State};
};

} // namespace

BOOST_AUTO_TEST_SUITE(duty_keeper)

// All hosts are killed and start again. For as long as the lease of a process
// that is gone runs, nobody orders replicas or reports usage.
BOOST_AUTO_TEST_CASE(a_host_takes_its_earlier_life_s_lease_at_once) {
  KeeperWorld world(hours(1));
  world.Store.put(ResourceKind::Duties, "duties",
                  R"({"holder":"earlier","host":"host","fencing":7})");
  BOOST_TEST_REQUIRE(world.waitForDuties());
  BOOST_TEST(world.Duties.stamp().FencingToken == 8U);
}

// The store takes the write that makes this host the holder, and its answer is
// lost. The host finds out by reading; if it then went on with the number of
// an earlier term, its orders would be those of a holder that is long gone.
BOOST_AUTO_TEST_CASE(a_lease_whose_answer_was_lost_has_its_own_number) {
  KeeperWorld world;
  world.Store.put(ResourceKind::Duties, "duties",
                  R"({"holder":"another","host":"b","fencing":7})");
  world.IsNextLost = true;
  BOOST_TEST_REQUIRE(world.waitForDuties());
  BOOST_TEST(world.Duties.stamp().FencingToken == 8U);
  BOOST_TEST(world.Duties.term() == 8U);
}

// The platform's store gives no new revision to a write that changes nothing.
// Seen from other hosts a holder that renewed so would look like one that is
// gone, and two hosts would order replicas by turns.
BOOST_AUTO_TEST_CASE(each_renewal_is_seen_by_others) {
  KeeperWorld world;
  BOOST_TEST_REQUIRE(world.waitForDuties());
  FleetMember self;
  world.Duties.addLeaseTo(self, bootNow());
  const std::uint64_t taken = self.LeaseRevision;
  for (int n = 0; n < 1000 && self.LeaseRevision == taken; ++n) {
    world.Duties.tick(bootNow());
    world.Loop.restart();
    world.Loop.run_for(milliseconds(5));
    std::this_thread::sleep_for(milliseconds(2));
    world.Duties.addLeaseTo(self, bootNow());
  }
  BOOST_TEST(self.LeaseRevision > taken);
  BOOST_TEST(self.FencingToken == world.Duties.term());
}

BOOST_AUTO_TEST_SUITE_END()
