#include "gateway/crash_sharing_driver.h"

#include <algorithm>
#include <vector>

#include "base/rng_func.h"
#include "clock/now_func.h"
#include "dispatch/crash_record_func.h"
#include "gateway/log_func.h"
#include "gateway/peer_driver.h"
#include "metrics/registry_func.h"

namespace poplarfork::gateway {

namespace {

// Time in which changes are collected before they are sent.
constexpr base::Duration kShareDelay = std::chrono::milliseconds(200);

std::vector<base::DaemonId> OtherMembers(const Gateway& gateway) {
  std::vector<base::DaemonId> members;
  for (const auto& [id, record] : gateway.view.members) {
    if (!record.removed && id != gateway.view.self)
      members.push_back(id);
  }
  return members;
}

// Sends the notices to one daemon, in datagrams of limited size.
void SendNotices(Gateway& gateway,
                 const base::DaemonId& to,
                 const dispatch::CrashNotices& notices) {
  for (std::size_t first = 0; first < notices.size();
       first += dispatch::kMaxCrashNotices) {
    const std::size_t last =
        std::min(first + dispatch::kMaxCrashNotices, notices.size());
    SendToDaemon(gateway, to,
                 dispatch::CrashNotices(
                     notices.begin() + static_cast<std::ptrdiff_t>(first),
                     notices.begin() + static_cast<std::ptrdiff_t>(last)));
  }
}

void SendUnsharedNotices(Gateway& gateway) {
  const dispatch::CrashNotices notices =
      dispatch::TakeUnsharedNotices(gateway.dispatcher, clock::Now());
  if (notices.empty())
    return;
  for (const base::DaemonId& member : OtherMembers(gateway))
    SendNotices(gateway, member, notices);
}

}  // namespace

void ShareCrashRecords(Gateway& gateway) {
  if (gateway.crash_timer_armed || gateway.dispatcher.unshared_crashes.empty())
    return;
  gateway.crash_timer_armed = true;
  gateway.crash_timer.expires_after(kShareDelay);
  gateway.crash_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (error)
          return;
        gateway.crash_timer_armed = false;
        SendUnsharedNotices(gateway);
      });
}

void SendCrashRecords(Gateway& gateway, const base::DaemonId& to) {
  SendNotices(gateway, to,
              dispatch::MakeCrashNotices(gateway.dispatcher, clock::Now()));
}

void GossipCrashRecords(Gateway& gateway) {
  const dispatch::CrashNotices notices =
      dispatch::MakeCrashNotices(gateway.dispatcher, clock::Now());
  const std::vector<base::DaemonId> members = OtherMembers(gateway);
  if (notices.empty() || members.empty())
    return;
  SendNotices(gateway, members[base::UniformBelow(gateway.rng, members.size())],
              notices);
}

void OnCrashNotices(Gateway& gateway,
                    const base::DaemonId& from,
                    const dispatch::CrashNotices& notices) {
  for (const dispatch::CrashNotice& notice : notices) {
    metrics::IncrementCounter(gateway.metrics, "crash_notices_total");
    if (!dispatch::OnCrashNotice(gateway.dispatcher, notice, clock::Now()))
      continue;
    Log(gateway, "crash_known",
        {{"fingerprint", notice.fingerprint.value},
         {"crashes", notice.crashes},
         {"source", from.value}});
  }
}

}  // namespace poplarfork::gateway
