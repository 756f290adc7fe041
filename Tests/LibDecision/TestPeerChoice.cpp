#include "LibDecision/PeerChoice.h"
#include "LibDecision/PeerKnowledge.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <ostream>
#include <set>

using namespace sorrelbay;

namespace {

struct MeshRow {
  std::size_t Hosts;
  std::size_t Zones;
  /// The maximum number of hops between any two hosts.
  std::size_t MaxHops;
  /// The maximum number of connections of one host.
  std::size_t MaxLinks;
};

std::ostream &operator<<(std::ostream &out, const MeshRow &row) {
  return out << row.Hosts << " hosts in " << row.Zones << " zones";
}

const MeshRow MeshRows[] = {
    {2, 1, 1, 1},   {7, 4, 1, 6},   {16, 4, 1, 15},   {17, 4, 2, 16},
    {18, 1, 2, 17}, {40, 4, 3, 24}, {120, 12, 3, 28}, {350, 21, 4, 28},
};

using Graph = std::map<HostId, std::set<HostId>>;

Graph linksOf(const std::vector<PeerCandidate> &all) {
  Graph graph;
  for (const PeerCandidate &self : all) {
    std::vector<PeerCandidate> others;
    for (const PeerCandidate &it : all)
      if (it.Host != self.Host)
        others.push_back(it);
    for (const HostId &it : choosePeers(self.Host, others)) {
      graph[self.Host].insert(it);
      graph[it].insert(self.Host);
    }
  }
  return graph;
}

/// The hops to the farthest host, or the number of hosts if one is unreachable.
std::size_t hopsFrom(const HostId &start, const Graph &graph) {
  std::map<HostId, std::size_t> hops{{start, 0}};
  std::deque<HostId> queue{start};
  std::size_t most = 0;
  while (!queue.empty()) {
    const HostId at = queue.front();
    queue.pop_front();
    most = std::max(most, hops[at]);
    for (const HostId &it : graph.at(at))
      if (hops.emplace(it, hops[at] + 1).second)
        queue.push_back(it);
  }
  return hops.size() == graph.size() ? most : graph.size();
}

std::vector<PeerCandidate> candidates(const MeshRow &row, int seed) {
  std::vector<PeerCandidate> out;
  for (std::size_t n = 0; n < row.Hosts; ++n)
    out.push_back(
        {HostId("10." + std::to_string(seed) + ".0." + std::to_string(n)),
         ZoneId("zone-" + std::to_string(n % row.Zones))});
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerChoiceTests)

BOOST_DATA_TEST_CASE(chosen_links_reach_all_in_few_hops,
                     boost::unit_test::data::make(MeshRows), row) {
  std::size_t maxHops = 0;
  std::size_t maxLinks = 0;
  for (int seed = 0; seed < 5; ++seed) {
    const Graph graph = linksOf(candidates(row, seed));
    for (const auto &[host, links] : graph) {
      maxLinks = std::max(maxLinks, links.size());
      maxHops = std::max(maxHops, hopsFrom(host, graph));
    }
  }
  BOOST_TEST_MESSAGE(row << ": " << maxHops << " hops, " << maxLinks
                         << " links");
  BOOST_CHECK_LE(maxHops, row.MaxHops);
  BOOST_CHECK_LE(maxLinks, row.MaxLinks);
}

BOOST_AUTO_TEST_CASE(chosen_peers_cover_the_zones) {
  const MeshRow row{40, 4, 0, 0};
  std::vector<PeerCandidate> all = candidates(row, 1);
  const PeerCandidate self = all.back();
  all.pop_back();
  std::set<ZoneId> zones;
  for (const HostId &chosen : choosePeers(self.Host, all))
    for (const PeerCandidate &it : all)
      if (it.Host == chosen)
        zones.insert(it.Zone);
  BOOST_CHECK_EQUAL(zones.size(), 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PeerKnowledgeTests)

BOOST_AUTO_TEST_CASE(merge_is_a_join_and_deltas_are_its_difference) {
  PeerKnowledge a;
  a.Bundle = {7, "seven"};
  a.Leaving[UpstreamId("u1")] = Instant(seconds(10));
  a.Hosts[HostId("h1")].Sequence = 4;
  PeerKnowledge b;
  b.Bundle = {6, "six"};
  b.Leaving[UpstreamId("u1")] = Instant(seconds(30));
  b.Hosts[HostId("h1")].Sequence = 3;
  b.Hosts[HostId("h2")].Sequence = 1;
  PeerKnowledge ab = a;
  PeerKnowledge ba = b;
  BOOST_CHECK(merge(ab, b));
  BOOST_CHECK(merge(ba, deltaFor(a, b)));
  BOOST_CHECK(isEmpty(deltaFor(ab, ba)) && isEmpty(deltaFor(ba, ab)));
  BOOST_CHECK(!merge(ab, b));
  BOOST_CHECK_EQUAL(ab.Bundle.Generation, 7);
  BOOST_CHECK(ab.Leaving.at(UpstreamId("u1")) == Instant(seconds(30)));
  BOOST_CHECK_EQUAL(ab.Hosts.at(HostId("h1")).Sequence, 4);
  eraseExpiredLeaving(ab, Instant(seconds(31)));
  BOOST_CHECK(ab.Leaving.empty());
}

BOOST_AUTO_TEST_SUITE_END()
