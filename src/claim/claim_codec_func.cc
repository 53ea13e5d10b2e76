#include "claim/claim_codec_func.h"

#include <cstring>
#include <map>
#include <utility>

#include "base/error_func.h"
#include "claim.pb.h"

namespace poplarfork::claim {

namespace {

using ClaimantKey = std::pair<base::DaemonId, base::Incarnation>;

constexpr std::size_t kKeyBytes = 16;

std::string KeyBytes(const RunKey& key) {
  std::string bytes(kKeyBytes, '\0');
  std::memcpy(bytes.data(), &key.high, sizeof(key.high));
  std::memcpy(bytes.data() + sizeof(key.high), &key.low, sizeof(key.low));
  return bytes;
}

RunKey ReadKey(const std::string& bytes) {
  RunKey key;
  std::memcpy(&key.high, bytes.data(), sizeof(key.high));
  std::memcpy(&key.low, bytes.data() + sizeof(key.high), sizeof(key.low));
  return key;
}

base::Error Malformed(base::Step step, const char* detail) {
  return base::MakeError(base::ErrorCode::kMalformed, step, "", detail);
}

template <class Message>
bool Parse(Message& message, std::string_view payload) {
  return message.ParseFromArray(payload.data(),
                                static_cast<int>(payload.size()));
}

void WriteClaimant(const Claimant& claimant, proto::Claimant& message) {
  message.set_daemon(claimant.daemon.value);
  message.set_incarnation(claimant.incarnation.value);
  message.set_attempt(claimant.attempt);
}

Claimant ReadClaimant(const proto::Claimant& message) {
  return {.daemon = {message.daemon()},
          .incarnation = {message.incarnation()},
          .attempt = message.attempt()};
}

proto::ClaimVerdict WriteVerdict(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kOwned:
      return proto::OWNED;
    case ClaimVerdict::kUnavailable:
      return proto::UNAVAILABLE;
    case ClaimVerdict::kInDoubt:
      return proto::IN_DOUBT;
  }
  return proto::IN_DOUBT;
}

// Returns `kInDoubt` for an unknown verdict, because it allows neither a run
// nor the answer "not run".
ClaimVerdict ReadVerdict(proto::ClaimVerdict verdict) {
  if (verdict == proto::OWNED)
    return ClaimVerdict::kOwned;
  return verdict == proto::UNAVAILABLE ? ClaimVerdict::kUnavailable
                                       : ClaimVerdict::kInDoubt;
}

}  // namespace

std::string EncodeClaim(const ClaimMessage& message) {
  proto::Claim claim;
  claim.set_shard(static_cast<std::uint32_t>(message.shard.value));
  claim.set_key(KeyBytes(message.entry.key));
  claim.set_attempt(message.entry.claimant.attempt);
  return claim.SerializeAsString();
}

base::Result<ClaimMessage> DecodeClaim(std::string_view payload,
                                       const base::DaemonId& sender,
                                       base::Incarnation incarnation) {
  proto::Claim claim;
  if (!Parse(claim, payload) || claim.key().size() != kKeyBytes ||
      claim.shard() >= kShards) {
    return Malformed(base::Step::kPeerDecode, "claim");
  }
  const Claimant claimant{
      .daemon = sender, .incarnation = incarnation, .attempt = claim.attempt()};
  return ClaimMessage{
      .shard = {claim.shard()},
      .entry = {.key = ReadKey(claim.key()), .claimant = claimant}};
}

std::string EncodeClaimResult(const ClaimResult& result) {
  proto::ClaimResult message;
  message.set_key(KeyBytes(result.entry.key));
  message.set_attempt(result.entry.claimant.attempt);
  message.set_verdict(WriteVerdict(result.verdict));
  WriteClaimant(result.owner, *message.mutable_owner());
  return message.SerializeAsString();
}

base::Result<ClaimResult> DecodeClaimResult(std::string_view payload,
                                            const base::DaemonId& receiver,
                                            base::Incarnation incarnation) {
  proto::ClaimResult message;
  if (!Parse(message, payload) || message.key().size() != kKeyBytes)
    return Malformed(base::Step::kPeerDecode, "claim result");
  const Claimant claimant{.daemon = receiver,
                          .incarnation = incarnation,
                          .attempt = message.attempt()};
  return ClaimResult{
      .entry = {.key = ReadKey(message.key()), .claimant = claimant},
      .verdict = ReadVerdict(message.verdict()),
      .owner = ReadClaimant(message.owner())};
}

std::string EncodeBatch(const ClaimBatch& batch) {
  proto::ClaimBatch message;
  message.set_writer(batch.writer.value);
  message.set_writer_incarnation(batch.incarnation.value);
  message.set_batch(batch.number);
  std::map<ClaimantKey, int> indexes;
  for (const ClaimEntry& claim : batch.claims) {
    const Claimant& claimant = claim.claimant;
    const auto [at, added] =
        indexes.try_emplace(ClaimantKey(claimant.daemon, claimant.incarnation),
                            message.claimants_size());
    if (added) {
      WriteClaimant({claimant.daemon, claimant.incarnation},
                    *message.add_claimants());
    }
    proto::ClaimBatch::Entry& entry = *message.add_entries();
    entry.set_key(KeyBytes(claim.key));
    entry.set_claimant(static_cast<std::uint32_t>(at->second));
    entry.set_attempt(claimant.attempt);
  }
  return message.SerializeAsString();
}

base::Result<ClaimBatch> DecodeBatch(std::string_view value) {
  proto::ClaimBatch message;
  if (!Parse(message, value))
    return Malformed(base::Step::kStoreCall, "claim log entry");
  ClaimBatch batch{.writer = {message.writer()},
                   .incarnation = {message.writer_incarnation()},
                   .number = message.batch()};
  batch.claims.reserve(message.entries_size());
  for (const proto::ClaimBatch::Entry& entry : message.entries()) {
    const auto index = static_cast<int>(entry.claimant());
    if (entry.key().size() != kKeyBytes || index < 0 ||
        index >= message.claimants_size()) {
      return Malformed(base::Step::kStoreCall, "claim in a claim log entry");
    }
    Claimant claimant = ReadClaimant(message.claimants(index));
    claimant.attempt = entry.attempt();
    batch.claims.push_back(
        {.key = ReadKey(entry.key()), .claimant = std::move(claimant)});
  }
  return batch;
}

std::string LogEntryKey(Shard shard, std::uint64_t number) {
  constexpr std::size_t kShardDigits = 2;
  constexpr std::size_t kNumberDigits = 20;
  std::string shard_text = std::to_string(shard.value);
  shard_text.insert(0, kShardDigits - shard_text.size(), '0');
  std::string number_text = std::to_string(number);
  number_text.insert(0, kNumberDigits - number_text.size(), '0');
  return "poplarfork/claims/" + shard_text + "/" + number_text;
}

}  // namespace poplarfork::claim
