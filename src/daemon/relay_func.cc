#include "daemon/relay_func.h"

#include <sodium.h>

#include <charconv>
#include <memory>
#include <string>
#include <string_view>

#include "clock/now_func.h"
#include "daemon/claim_func.h"
#include "daemon/delivery_func.h"
#include "daemon/header_func.h"
#include "load/deadline_func.h"
#include "membership/member_list_func.h"
#include "peer/tag_func.h"

namespace poplarfork::daemon {

namespace {

constexpr char kRelayIncarnationField[] = "Poplarfork-Relay-Incarnation";
constexpr char kRelayAttemptField[] = "Poplarfork-Relay-Attempt";
constexpr char kRelayTagField[] = "Poplarfork-Relay-Tag";

std::string GetFieldValue(const edge::HttpRequest& request, const char* name) {
  const auto field = request[name];
  return {field.data(), field.size()};
}

std::optional<std::uint64_t> ParseUnsigned(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

// Returns the tag, in hexadecimal, that proves that a daemon with the cluster
// key set the relay fields.
std::string MakeRelayTag(const Daemon& daemon,
                         const std::string& incarnation,
                         const std::string& attempt,
                         const std::string& key) {
  const std::string tag = peer::ComputeTag(
      daemon.transport->cluster_key, incarnation + "/" + attempt + "/" + key);
  std::string hex(tag.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(),
                 reinterpret_cast<const unsigned char*>(tag.data()),
                 tag.size());
  hex.pop_back();
  return hex;
}

std::shared_ptr<const upstream::HttpRequest> MakeRelayRequest(
    const Daemon& daemon,
    const Request& request,
    const claim::RelayToDaemon& action,
    base::TimePoint now) {
  auto relay_request =
      std::make_shared<upstream::HttpRequest>(*request.http_request);
  RemoveHopByHopFields(relay_request->base());
  relay_request->version(11);
  const std::string incarnation = std::to_string(action.incarnation.value);
  const std::string attempt = std::to_string(action.attempt);
  const std::string key =
      GetFieldValue(*request.http_request, "Idempotency-Key");
  relay_request->set(kRelayIncarnationField, incarnation);
  relay_request->set(kRelayAttemptField, attempt);
  relay_request->set(kRelayTagField,
                     MakeRelayTag(daemon, incarnation, attempt, key));
  relay_request->set(
      "Poplarfork-Deadline-Ms",
      std::to_string(load::RemainingTime(request.deadline, now).count()));
  relay_request->prepare_payload();
  return relay_request;
}

}  // namespace

void StartRelay(Daemon& daemon,
                const RequestPtr& request,
                const claim::RelayToDaemon& action) {
  const membership::Member* member =
      membership::FindMember(daemon.membership, action.daemon);
  if (!member) {
    OnRelayFailed(daemon, request);
    return;
  }
  const base::TimePoint now = clock::Now();
  request->relaying = true;
  request->attempt_started_at = now;
  request->exchange = std::make_shared<upstream::Exchange>(
      daemon.loop, daemon.upstream_pool, MakeExchangeHandlers(daemon, request));
  request->exchange->Start(
      member->edge_address, MakeRelayRequest(daemon, *request, action, now),
      upstream::ConnectionReuse::kForbidden, request->deadline - now);
}

std::optional<claim::RelayInfo> ParseRelayInfo(
    const Daemon& daemon,
    const edge::HttpRequest& request) {
  const std::string incarnation =
      GetFieldValue(request, kRelayIncarnationField);
  const std::string attempt = GetFieldValue(request, kRelayAttemptField);
  const std::string key = GetFieldValue(request, "Idempotency-Key");
  const auto incarnation_number = ParseUnsigned(incarnation);
  const auto attempt_number = ParseUnsigned(attempt);
  if (!incarnation_number || !attempt_number)
    return std::nullopt;
  if (GetFieldValue(request, kRelayTagField) !=
      MakeRelayTag(daemon, incarnation, attempt, key))
    return std::nullopt;
  claim::RelayInfo info;
  info.incarnation = {*incarnation_number};
  info.attempt = *attempt_number;
  return info;
}

}  // namespace poplarfork::daemon
