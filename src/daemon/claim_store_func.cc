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
constexpr std::uint64_t kEntriesPerRead = 64;

std::optional<claim::ClaimBatch> DecodeFound(
    const std::optional<store::KeyValue>& existing) {
  if (!existing)
    return std::nullopt;
  auto batch = claim::DecodeBatch(existing->value);
  if (!batch.has_value())
    return std::nullopt;
  return std::move(batch.value());
}

claim::AppendReply AnswerOf(const claim::AppendBatch& action,
                            const store::WriteResult& result) {
  claim::AppendReply answer;
  answer.shard = action.shard;
  answer.entry_number = action.entry_number;
  switch (result.status) {
    case store::WriteStatus::kWritten:
      answer.status = claim::AppendStatus::kCreated;
      break;
    case store::WriteStatus::kConflict:
      answer.existing = DecodeFound(result.existing);
      answer.status = answer.existing ? claim::AppendStatus::kConflict
                                      : claim::AppendStatus::kUnavailable;
      break;
    case store::WriteStatus::kRefused:
    case store::WriteStatus::kNotSent:
      answer.status = claim::AppendStatus::kUnavailable;
      break;
    case store::WriteStatus::kNoAnswer:
      answer.status = claim::AppendStatus::kNoAnswer;
      break;
  }
  return answer;
}

// Returns the claim core's form of a range read from the claim log. The read
// fails unless the entries are numbered without gaps from `first_entry_number`
// on, because a gap would hide claims.
claim::ReadLogReply ReadOf(claim::Shard shard,
                           std::uint64_t from,
                           base::Result<store::RangeResult>& result) {
  claim::ReadLogReply read;
  read.shard = shard;
  if (!result.has_value())
    return read;
  for (store::KeyValue& entry : result.value().values) {
    const std::uint64_t number = from + read.entries.size();
    auto batch = claim::DecodeBatch(entry.value);
    if (!batch.has_value() || entry.key != claim::LogEntryKey(shard, number))
      return claim::ReadLogReply{shard, false, {}, false};
    read.entries.push_back(std::move(batch.value()));
  }
  read.success = true;
  read.has_more = result.value().has_more;
  return read;
}

}  // namespace

void AppendClaims(Daemon& daemon, const claim::AppendBatch& action) {
  const std::string key = claim::LogEntryKey(action.shard, action.entry_number);
  store::CreateIfAbsent(
      daemon.store, key, claim::EncodeBatch(action.batch), store::LeaseId{},
      [&daemon, action](const store::WriteResult& result) {
        const auto answer = AnswerOf(action, result);
        NoteStoreAnswer(daemon,
                        answer.status == claim::AppendStatus::kCreated ||
                            answer.status == claim::AppendStatus::kConflict);
        CarryOutClaims(
            daemon, claim::OnAppendReply(daemon.claims, answer, clock::Now()));
      });
}

void ReadClaims(Daemon& daemon, const claim::ReadLog& action) {
  const std::string first =
      claim::LogEntryKey(action.shard, action.first_entry_number);
  const std::string last = claim::LogEntryKey(
      action.shard, std::numeric_limits<std::uint64_t>::max());
  store::GetRange(
      daemon.store, {first, last}, kEntriesPerRead,

      [&daemon, shard = action.shard, from = action.first_entry_number](
          base::Result<store::RangeResult> result) {
        NoteStoreAnswer(daemon, result.has_value());
        CarryOutClaims(daemon, claim::OnReadLogReply(
                                   daemon.claims, ReadOf(shard, from, result),
                                   clock::Now()));
      });
}

}  // namespace poplarfork::daemon
