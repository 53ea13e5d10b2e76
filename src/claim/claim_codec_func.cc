#include "claim/claim_codec_func.h"

#include <cstring>
#include <map>
#include <utility>

#include "base/error_func.h"
#include "claim.pb.h"

namespace poplarfork::claim {

namespace {

using ClaimantKey = std::pair<base::DaemonId, base::Incarnation>;

constexpr std::size_t kEncodedKeyBytes = 16;

std::string EncodeKey(const RunKey& key) {
  std::string bytes(kEncodedKeyBytes, '\0');
  std::memcpy(bytes.data(), &key.high, sizeof(key.high));
  std::memcpy(bytes.data() + sizeof(key.high), &key.low, sizeof(key.low));
  return bytes;
}

RunKey DecodeKey(const std::string& bytes) {
  RunKey key;
  std::memcpy(&key.high, bytes.data(), sizeof(key.high));
  std::memcpy(&key.low, bytes.data() + sizeof(key.high), sizeof(key.low));
  return key;
}

base::Error MalformedError(base::Step step, const char* detail) {
  return base::MakeError(base::ErrorCode::kMalformed, step, "", detail);
}

template <class Message>
bool ParsePayload(Message& message, std::string_view payload) {
  return message.ParseFromArray(payload.data(),
                                static_cast<int>(payload.size()));
}

void EncodeClaimant(const Claimant& claimant, proto::Claimant& message) {
  message.set_daemon(claimant.daemon.value);
  message.set_incarnation(claimant.incarnation.value);
  message.set_attempt(claimant.attempt);
}

Claimant DecodeClaimant(const proto::Claimant& message) {
  return {.daemon = {message.daemon()},
          .incarnation = {message.incarnation()},
          .attempt = message.attempt()};
}

proto::ClaimVerdict EncodeVerdict(ClaimVerdict verdict) {
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
ClaimVerdict DecodeVerdict(proto::ClaimVerdict verdict) {
  if (verdict == proto::OWNED)
    return ClaimVerdict::kOwned;
  return verdict == proto::UNAVAILABLE ? ClaimVerdict::kUnavailable
                                       : ClaimVerdict::kInDoubt;
}

}  // namespace

std::string EncodeClaim(const ClaimMessage& message) {
  proto::Claim claim;
  claim.set_shard(static_cast<std::uint32_t>(message.shard.value));
  claim.set_key(EncodeKey(message.claim.key));
  claim.set_attempt(message.claim.claimant.attempt);
  return claim.SerializeAsString();
}

base::Result<ClaimMessage> DecodeClaim(std::string_view payload,
                                       const base::DaemonId& sender,
                                       base::Incarnation incarnation) {
  proto::Claim claim;
  if (!ParsePayload(claim, payload) || claim.key().size() != kEncodedKeyBytes ||
      claim.shard() >= kShardCount) {
    return MalformedError(base::Step::kPeerDecode, "claim");
  }
  const Claimant claimant{
      .daemon = sender, .incarnation = incarnation, .attempt = claim.attempt()};
  return ClaimMessage{
      .shard = {claim.shard()},
      .claim = {.key = DecodeKey(claim.key()), .claimant = claimant}};
}

std::string EncodeClaimResult(const ClaimResult& result) {
  proto::ClaimResult message;
  message.set_key(EncodeKey(result.claim.key));
  message.set_attempt(result.claim.claimant.attempt);
  message.set_verdict(EncodeVerdict(result.verdict));
  EncodeClaimant(result.owner, *message.mutable_owner());
  return message.SerializeAsString();
}

base::Result<ClaimResult> DecodeClaimResult(std::string_view payload,
                                            const base::DaemonId& receiver,
                                            base::Incarnation incarnation) {
  proto::ClaimResult message;
  if (!ParsePayload(message, payload) ||
      message.key().size() != kEncodedKeyBytes)
    return MalformedError(base::Step::kPeerDecode, "claim result");
  const Claimant claimant{.daemon = receiver,
                          .incarnation = incarnation,
                          .attempt = message.attempt()};
  return ClaimResult{
      .claim = {.key = DecodeKey(message.key()), .claimant = claimant},
      .verdict = DecodeVerdict(message.verdict()),
      .owner = DecodeClaimant(message.owner())};
}

std::string EncodeBatch(const ClaimBatch& batch) {
  proto::ClaimBatch message;
  message.set_writer(batch.writer.value);
  message.set_writer_incarnation(batch.writer_incarnation.value);
  message.set_batch(batch.batch_number);
  std::map<ClaimantKey, int> claimant_indexes;
  for (const Claim& claim : batch.claims) {
    const Claimant& claimant = claim.claimant;
    const auto [at, added] = claimant_indexes.try_emplace(
        ClaimantKey(claimant.daemon, claimant.incarnation),
        message.claimants_size());
    if (added) {
      EncodeClaimant({claimant.daemon, claimant.incarnation},
                     *message.add_claimants());
    }
    proto::ClaimBatch::Entry& entry = *message.add_entries();
    entry.set_key(EncodeKey(claim.key));
    entry.set_claimant(static_cast<std::uint32_t>(at->second));
    entry.set_attempt(claimant.attempt);
  }
  return message.SerializeAsString();
}

base::Result<ClaimBatch> DecodeBatch(std::string_view value) {
  proto::ClaimBatch message;
  if (!ParsePayload(message, value))
    return MalformedError(base::Step::kStoreCall, "claim log entry");
  ClaimBatch batch{.writer = {message.writer()},
                   .writer_incarnation = {message.writer_incarnation()},
                   .batch_number = message.batch()};
  batch.claims.reserve(message.entries_size());
  for (const proto::ClaimBatch::Entry& entry : message.entries()) {
    const auto index = static_cast<int>(entry.claimant());
    if (entry.key().size() != kEncodedKeyBytes || index < 0 ||
        index >= message.claimants_size()) {
      return MalformedError(base::Step::kStoreCall,
                            "claim in a claim log entry");
    }
    Claimant claimant = DecodeClaimant(message.claimants(index));
    claimant.attempt = entry.attempt();
    batch.claims.push_back(
        {.key = DecodeKey(entry.key()), .claimant = std::move(claimant)});
  }
  return batch;
}

std::string LogEntryKey(Shard shard, std::uint64_t entry_number) {
  constexpr std::size_t kShardDigits = 2;
  constexpr std::size_t kNumberDigits = 20;
  std::string shard_text = std::to_string(shard.value);
  shard_text.insert(0, kShardDigits - shard_text.size(), '0');
  std::string number_text = std::to_string(entry_number);
  number_text.insert(0, kNumberDigits - number_text.size(), '0');
  return "poplarfork/claims/" + shard_text + "/" + number_text;
}

}  // namespace poplarfork::claim
