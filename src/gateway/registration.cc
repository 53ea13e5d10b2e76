#include "gateway/registration.h"

#include <algorithm>
#include <string>

#include "clock/now_func.h"
#include "fleet/view_func.h"
#include "gateway/log_func.h"
#include "gateway/member_codec_func.h"
#include "gateway/store_call.h"
#include "platform/store_func.h"

namespace poplarfork::gateway {

namespace {

// Time to live of the lease of the member entry, and the interval at which the
// lease is renewed. The lease outlasts a few renewals that fail. A daemon that
// ends without revoking its lease is noticed long before the lease ends,
// because it sends no more messages.
constexpr base::Duration kLeaseTtl = std::chrono::seconds(12);
constexpr base::Duration kLeaseRenewInterval = std::chrono::milliseconds(3500);

// Time after a registration during which a list without this daemon is not
// treated as a loss of the registration, because the list may be older than the
// registration.
constexpr base::Duration kRegistrationGrace = std::chrono::seconds(2);

void ScheduleRegistrationStep(Gateway& gateway, base::Duration delay);

// Ratio of link and processor of the smallest VMs in use (0.1 core, 10 Mbit/s).
// The capacity of a VM with a smaller ratio is limited by its link.
constexpr double kLinkMbpsPerCore = 100;

// Returns the capacity of the VM in processor cores. It is limited by the
// processor or the link, whichever allows less.
double ComputeCapacity(const Settings& settings) {
  return fleet::ClampCapacity(std::min(settings.cpu_share * settings.cpu_speed,
                                       settings.link_mbps / kLinkMbpsPerCore));
}

// Writes the member entry of this daemon under its lease.
void WriteMember(Gateway& gateway) {
  fleet::Member member;
  member.id = gateway.view.self;
  member.front_address = gateway.settings.front_address;
  member.control_address = gateway.settings.control_address;
  member.data_centre = {gateway.settings.data_centre};
  member.capacity = ComputeCapacity(gateway.settings);
  const std::string key =
      std::string(platform::kMemberKeyPrefix) + member.id.value;
  WriteStore(
      gateway,
      platform::MakePutRequest(key, EncodeMember(member), gateway.store.lease),
      [&gateway, member,
       lease = gateway.store.lease](const StoreResponse& response) {
        if (lease != gateway.store.lease)
          return;
        const auto revision =
            platform::ParseRevision(response.body, response.era);
        if (response.status == 404)
          gateway.store.lease = {};
        if (response.status != 200 || !revision || response.is_late) {
          ScheduleRegistrationStep(gateway, RandomStoreRetryDelay(gateway));
          return;
        }
        gateway.store.registered = true;
        gateway.store.registered_at = clock::Now();
        fleet::MemberRecord record;
        record.member = member;
        record.change_revision = revision.value();
        record.learned_at = clock::Now();
        fleet::MergeMember(gateway.view, record);
        Log(gateway, "registered",
            {{"lease", gateway.store.lease.value},
             {"revision", revision.value().value}});
        ScheduleRegistrationStep(gateway, kLeaseRenewInterval);
      });
}

void GrantLease(Gateway& gateway) {
  WriteStore(gateway, platform::MakeGrantLeaseRequest(kLeaseTtl),
             [&gateway](const StoreResponse& response) {
               const auto lease = platform::ParseLeaseId(response.body);
               // Another call, begun when a new era was noticed, was faster.
               if (gateway.store.lease.value != 0)
                 return;
               if (response.status != 200 || !lease || response.is_late) {
                 ScheduleRegistrationStep(gateway,
                                          RandomStoreRetryDelay(gateway));
                 return;
               }
               gateway.registration_timer.cancel();
               gateway.store.lease = lease.value();
               WriteMember(gateway);
             });
}

void RenewLease(Gateway& gateway) {
  WriteStore(
      gateway, platform::MakeRenewLeaseRequest(gateway.store.lease),
      [&gateway, lease = gateway.store.lease](const StoreResponse& response) {
        if (lease != gateway.store.lease)
          return;
        if (response.status == 404 && !response.is_late) {
          Log(gateway, "lease_lost", {{"lease", gateway.store.lease.value}});
          gateway.store.lease = {};
          gateway.store.registered = false;
          ScheduleRegistrationStep(gateway, base::Duration(0));
          return;
        }
        ScheduleRegistrationStep(gateway, response.status == 200
                                              ? kLeaseRenewInterval
                                              : RandomStoreRetryDelay(gateway));
      });
}

// Takes the next step of the registration: granting a lease, writing the member
// entry or renewing the lease. Each step schedules the next one.
void RunRegistrationStep(Gateway& gateway) {
  if (gateway.draining)
    return;
  if (gateway.store.lease.value == 0)
    GrantLease(gateway);
  else if (!gateway.store.registered)
    WriteMember(gateway);
  else
    RenewLease(gateway);
}

void ScheduleRegistrationStep(Gateway& gateway, base::Duration delay) {
  gateway.registration_timer.expires_after(delay);
  gateway.registration_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (!error)
          RunRegistrationStep(gateway);
      });
}

}  // namespace

void StartRegistration(Gateway& gateway) {
  RunRegistrationStep(gateway);
}

void RestartRegistration(Gateway& gateway) {
  const base::TimePoint now = clock::Now();
  if (!gateway.store.registered || gateway.draining ||
      now - gateway.store.registered_at < kRegistrationGrace)
    return;
  gateway.store.registered = false;
  gateway.store.registered_at = now;
  Log(gateway, "registration_lost", {{"lease", gateway.store.lease.value}});
  ScheduleRegistrationStep(gateway, base::Duration(0));
}

void RestartRegistrationInNewEra(Gateway& gateway) {
  gateway.store.lease = {};
  gateway.store.registered = false;
  if (!gateway.draining)
    ScheduleRegistrationStep(gateway, base::Duration(0));
}

void Unregister(Gateway& gateway) {
  gateway.registration_timer.cancel();
  if (gateway.store.lease.value == 0)
    return;
  WriteStore(gateway, platform::MakeRevokeLeaseRequest(gateway.store.lease),
             [&gateway](const StoreResponse& response) {
               Log(gateway, "unregistered",
                   {{"lease", gateway.store.lease.value},
                    {"status", response.status}});
             });
}

}  // namespace poplarfork::gateway
