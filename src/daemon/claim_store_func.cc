#include "daemon/claim_store_func.h"

#include <limits>
#include <string>
#include <utility>

#include "claim/claim_codec_func.h"
#include "claim/claim_func.h"
#include "clock/now_func.h"
#include "daemon/claim_func.h"
#include "daemon/release_store_func.h"
#include "store/client_func.h"

namespace poplarfork::daemon {

namespace {

// At the request rates of docs/CAPACITY.md, 64 entries of at most 512 claims
// each stay below the 1 MB that one reply of the store may have.
constexpr std::uint64_t kMaxEntriesPerRead = 64;

std::optional<claim::ClaimBatch> DecodeExistingBatch(
    const std::optional<store::KeyValue>& existing) {
  if (!existing)
    return std::nullopt;
  auto batch = claim::DecodeBatch(existing->value);
  if (!batch.has_value())
    return std::nullopt;
  return std::move(batch.value());
}

claim::AppendReply MakeAppendReply(const claim::AppendBatch& action,
                                   const store::WriteResult& result) {
  claim::AppendReply reply;
  reply.shard = action.shard;
  reply.entry_number = action.entry_number;
  switch (result.status) {
    case store::WriteStatus::kWritten:
      reply.status = claim::AppendStatus::kCreated;
      break;
    case store::WriteStatus::kConflict:
      reply.existing = DecodeExistingBatch(result.existing);
      reply.status = reply.existing ? claim::AppendStatus::kConflict
                                    : claim::AppendStatus::kUnavailable;
      break;
    case store::WriteStatus::kRefused:
    case store::WriteStatus::kNotSent:
      reply.status = claim::AppendStatus::kUnavailable;
      break;
    case store::WriteStatus::kNoReply:
      reply.status = claim::AppendStatus::kNoReply;
      break;
  }
  return reply;
}

// Returns the claim core's form of a range read from the claim log. The read
// fails unless the entries are numbered without gaps from `first_entry_number`
// on, because a gap would hide claims.
claim::ReadLogReply MakeReadLogReply(claim::Shard shard,
                                     std::uint64_t first_entry_number,
                                     base::Result<store::RangeResult>& result) {
  claim::ReadLogReply reply;
  reply.shard = shard;
  if (!result.has_value())
    return reply;
  for (store::KeyValue& entry : result.value().entries) {
    const std::uint64_t entry_number =
        first_entry_number + reply.entries.size();
    auto batch = claim::DecodeBatch(entry.value);
    if (!batch.has_value() ||
        entry.key != claim::LogEntryKey(shard, entry_number))
      return claim::ReadLogReply{shard, false, {}, false};
    reply.entries.push_back(std::move(batch.value()));
  }
  reply.success = true;
  reply.has_more = result.value().has_more;
  return reply;
}

}  // namespace

void AppendToClaimLog(Daemon& daemon, const claim::AppendBatch& action) {
  const std::string key = claim::LogEntryKey(action.shard, action.entry_number);
  store::CreateIfAbsent(
      daemon.store_client, key, claim::EncodeBatch(action.batch),
      store::LeaseId{}, [&daemon, action](const store::WriteResult& result) {
        const auto reply = MakeAppendReply(action, result);
        UpdateStoreReachability(
            daemon, reply.status == claim::AppendStatus::kCreated ||
                        reply.status == claim::AppendStatus::kConflict);
        ExecuteClaimActions(
            daemon, claim::OnAppendReply(daemon.claims, reply, clock::Now()));
      });
}

void ReadClaimLog(Daemon& daemon, const claim::ReadLog& action) {
  const std::string first_key =
      claim::LogEntryKey(action.shard, action.first_entry_number);
  const std::string last_key = claim::LogEntryKey(
      action.shard, std::numeric_limits<std::uint64_t>::max());
  store::GetRange(
      daemon.store_client, {first_key, last_key}, kMaxEntriesPerRead,

      [&daemon, shard = action.shard,
       first_entry_number =
           action.first_entry_number](base::Result<store::RangeResult> result) {
        UpdateStoreReachability(daemon, result.has_value());
        ExecuteClaimActions(
            daemon, claim::OnReadLogReply(
                        daemon.claims,
                        MakeReadLogReply(shard, first_entry_number, result),
                        clock::Now()));
      });
}

}  // namespace poplarfork::daemon
