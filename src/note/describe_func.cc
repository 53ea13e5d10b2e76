#include "note/describe_func.h"

#include <sstream>

#include "note/policy_text_func.h"

namespace poplarfork::note {

std::string Describe(const ServicePolicy& policy) {
  const auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(policy.deadline);
  std::ostringstream text;
  text << std::boolalpha << DetectionPolicyName(policy.detection) << ", "
       << UrgencyName(policy.urgency) << ", floor " << policy.floor
       << ", deadline_ms " << deadline.count() << ", retry_ratio "
       << policy.retry_ratio << ", max_in_flight " << policy.max_in_flight
       << ", require_key " << policy.require_key << ", resume_by_range "
       << policy.resume_by_range;
  return text.str();
}

std::string Describe(const UpstreamOfService& service_upstream) {
  std::ostringstream text;
  text << "service " << service_upstream.service.value << ", "
       << service_upstream.upstream.address << ", "
       << service_upstream.upstream.data_centre.value << ", slots "
       << service_upstream.upstream.slots << ", max_connections "
       << service_upstream.upstream.max_connections;
  return text.str();
}

std::string Describe(const Route& route) {
  std::ostringstream text;
  text << std::boolalpha << "service " << route.service.value << ", repeatable "
       << route.repeatable;
  return text.str();
}

std::string Describe(const Account& account) {
  std::ostringstream text;
  text << "rate " << account.rate << ", burst " << account.burst;
  return text.str();
}

}  // namespace poplarfork::note
