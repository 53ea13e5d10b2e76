#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "routing/service_group_func.h"
#include "routing/subset_func.h"

namespace poplarfork::routing {

namespace {

std::vector<GroupMember> MakeFleet(int daemons, int data_centres) {
  std::vector<GroupMember> members;
  members.reserve(daemons);
  for (int index = 0; index < daemons; ++index) {
    members.push_back({{"10.0." + std::to_string(index / 250) + "." +
                        std::to_string(index % 250) + ":7000"},
                       {"dc" + std::to_string(index % data_centres)}});
  }
  return members;
}

std::vector<base::DaemonId> DaemonIds(const std::vector<GroupMember>& members) {
  std::vector<base::DaemonId> ids;
  ids.reserve(members.size());
  for (const GroupMember& member : members)
    ids.push_back(member.id);
  return ids;
}

note::Service MakeService(int upstreams, std::uint32_t max_connections) {
  note::Service service;
  service.id = {"orders"};
  for (int index = 0; index < upstreams; ++index) {
    const base::UpstreamId id{"orders-" + std::to_string(index)};
    note::Upstream& upstream = service.upstreams[id];
    upstream.id = id;
    upstream.max_connections = max_connections;
  }
  return service;
}

// Fails if an upstream gets more than `kConnectionShare` of its connections, or
// none.
void CheckConnectionSums(const std::vector<base::DaemonId>& group,
                         const note::Service& service) {
  std::map<base::UpstreamId, std::uint64_t> sums;
  for (const base::DaemonId& daemon : group) {
    for (const SubsetEntry& entry : ChooseSubset(daemon, group, service))
      sums[entry.upstream] += entry.connections;
  }
  for (const auto& [id, upstream] : service.upstreams) {
    BOOST_TEST(static_cast<double>(sums[id]) <=
               kConnectionShare * upstream.max_connections);
    BOOST_TEST(sums[id] > 0);
  }
}

}  // namespace

// Guards against daemons that together use more connections than an upstream
// accepts, in small and large fleets, with and without groups.
BOOST_AUTO_TEST_CASE(ConnectionsStayWithinTheShare) {
  CheckConnectionSums(DaemonIds(MakeFleet(40, 3)), MakeService(30, 330));
  CheckConnectionSums(DaemonIds(MakeFleet(36, 3)), MakeService(25, 20));
  const std::vector<GroupMember> large = MakeFleet(6900, 14);
  const std::vector<GroupMember> group = ServiceGroup({"orders"}, large);
  CheckConnectionSums(DaemonIds(group), MakeService(27, 330));
  CheckConnectionSums(DaemonIds(large), MakeService(2, 330));
  const std::vector<base::DaemonId> ids = DaemonIds(group);
  note::Upstream upstream;
  upstream.max_connections = 330;
  BOOST_TEST(ConnectionQuota(ids.front(), ids, upstream) == 6U);
}

// Guards against a group that is mostly in one data centre, and against data
// centres without a member of the group.
BOOST_AUTO_TEST_CASE(GroupsSpreadOverDataCentres) {
  const std::vector<GroupMember> fleet = MakeFleet(6900, 14);
  for (int number = 0; number < 50; ++number) {
    std::map<base::DataCentreId, int> member_counts;
    const base::ServiceId service{"service-" + std::to_string(number)};
    for (const GroupMember& member : ServiceGroup(service, fleet))
      ++member_counts[member.data_centre];
    BOOST_TEST(member_counts.size() == 14U);
    for (const auto& [data_centre, count] : member_counts)
      BOOST_TEST(count <= 20);
  }
  BOOST_TEST(ServiceGroup({"orders"}, MakeFleet(40, 3)).size() == 40U);
  BOOST_TEST(ServiceGroup({"orders"}, MakeFleet(500, 1)).size() == 40U);
}

// Guards against a group that changes completely when one daemon is removed,
// and against a group that depends on the order of the members.
BOOST_AUTO_TEST_CASE(OneChangeReplacesAtMostTwoMembers) {
  std::vector<GroupMember> fleet = MakeFleet(400, 5);
  const std::vector<GroupMember> before = ServiceGroup({"orders"}, fleet);
  std::ranges::reverse(fleet);
  BOOST_TEST((DaemonIds(ServiceGroup({"orders"}, fleet)) == DaemonIds(before)));
  for (const GroupMember& removed : before) {
    std::vector<GroupMember> rest;
    std::ranges::copy_if(
        fleet, std::back_inserter(rest),
        [&](const GroupMember& member) { return member.id != removed.id; });
    int kept = 0;
    for (const GroupMember& member : ServiceGroup({"orders"}, rest))
      kept += IsInGroup(before, member.id) ? 1 : 0;
    BOOST_TEST(kept >= 38);
  }
}

}  // namespace poplarfork::routing
