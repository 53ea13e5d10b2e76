#include "membership/vm_list_func.h"

#include <unordered_set>

#include "membership/member_list_func.h"

namespace poplarfork::membership {

namespace {

void MarkLeaving(Membership& membership,
                 const base::DaemonId& daemon,
                 Actions& actions) {
  if (daemon == membership.local_member.daemon) {
    if (!membership.local_member.is_leaving)
      ReportChange(actions, ChangeKind::kLeaving, daemon,
                   membership.local_member.incarnation, {},
                   "the VM list marks this daemon's VM as leaving");
    return;
  }
  Member* member = FindMember(membership, daemon);
  if (member == nullptr || member->is_vm_leaving || !IsLive(*member))
    return;
  member->is_vm_leaving = true;
  ++membership.member_list_version;
  ReportChange(actions, ChangeKind::kLeaving, daemon, member->incarnation, {},
               "the VM list marks the member's VM as leaving");
}

}  // namespace

void ApplyVmList(Membership& membership, const VmList& list, Actions& actions) {
  if (list.vms.empty())
    return;
  std::unordered_set<base::DaemonId> listed;
  membership.seeds.clear();
  for (const VmStatus& vm : list.vms) {
    listed.insert(vm.daemon);
    if (vm.is_leaving)
      MarkLeaving(membership, vm.daemon, actions);
    else
      membership.seeds.push_back(vm.daemon);
  }
  for (auto& [daemon, member] : membership.members)
    member.is_vm_missing = !listed.contains(daemon);
  const bool is_alone = CountLiveMembers(membership) == 0;
  if (is_alone)
    membership.is_list_complete = false;
}

}  // namespace poplarfork::membership
