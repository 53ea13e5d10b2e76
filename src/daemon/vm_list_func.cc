#include "daemon/vm_list_func.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "daemon/health_func.h"
#include "daemon/membership_func.h"
#include "daemon/release_driver_func.h"
#include "membership/membership_func.h"
#include "metrics/registry_func.h"
#include "vm_list/client_func.h"

namespace poplarfork::daemon {

namespace {

constexpr base::Duration kMinFetchInterval = std::chrono::seconds(2);
// An interval of 50 ms per live daemon makes 20 calls/s for the whole fleet.
constexpr base::Duration kFetchIntervalPerDaemon =
    std::chrono::milliseconds(50);

// Tells the health state which upstreams the platform has begun or stopped to
// drain. The VM list identifies a VM by the address of the process that runs on
// it: a daemon by its peer address, an upstream by its address in the release
// note.
void UpdateDrainingUpstreams(Daemon& daemon,
                             const std::set<std::string>& leaving) {
  for (auto& [id, service] : daemon.services) {
    for (const UpstreamRuntime& entry : service.upstreams) {
      const bool is_leaving = leaving.contains(entry.address);
      const bool was_leaving = daemon.leaving_vms.contains(entry.address);
      if (is_leaving != was_leaving)
        HandleHealthEvent(daemon, service,
                          health::DrainChanged{entry.id, is_leaving});
    }
  }
}

bool IsUpstreamAddress(const Daemon& daemon, const std::string& address) {
  for (const auto& [id, service] : daemon.services) {
    for (const UpstreamRuntime& entry : service.upstreams) {
      if (entry.address == address)
        return true;
    }
  }
  return false;
}

void HandleFetchedVms(Daemon& daemon, const std::vector<vm_list::Vm>& vms) {
  std::set<std::string> leaving;
  std::set<base::DataCentreId> data_centres;
  membership::VmList list;
  release::VmListUpdated vm_list_updated;
  for (const vm_list::Vm& vm : vms) {
    const bool is_leaving = vm.state == vm_list::VmState::kLeaving;
    if (is_leaving)
      leaving.insert(vm.address);
    if (IsUpstreamAddress(daemon, vm.address))
      continue;
    list.vms.push_back({{vm.address}, is_leaving});
    if (is_leaving || vm.address == daemon.self.value)
      continue;
    ++vm_list_updated.live_vms;
    data_centres.insert(vm.data_centre);
  }
  vm_list_updated.data_centres =
      static_cast<std::uint32_t>(data_centres.size());
  UpdateDrainingUpstreams(daemon, leaving);
  daemon.leaving_vms = std::move(leaving);
  ExecuteMembershipActions(
      daemon, membership::HandleVmListUpdate(daemon.membership, list));
  HandleReleaseEvent(daemon, vm_list_updated);
}

}  // namespace

void FetchVmListIfDue(Daemon& daemon, base::TimePoint now) {
  if (!daemon.vm_list_client || now < daemon.next_vm_list_fetch_at)
    return;
  const auto daemon_count =
      static_cast<std::int64_t>(daemon.live_daemons.size());
  daemon.next_vm_list_fetch_at =
      now + std::max(kMinFetchInterval, daemon_count * kFetchIntervalPerDaemon);
  vm_list::FetchVms(
      daemon.vm_list_client,
      [&daemon](const base::Result<std::vector<vm_list::Vm>>& vms) {
        if (vms.has_value())
          HandleFetchedVms(daemon, vms.value());
        else
          metrics::IncrementCounter(daemon.metrics,
                                    "poplarfork_vm_list_failures_total");
      });
}

}  // namespace poplarfork::daemon
