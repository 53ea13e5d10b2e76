#include "standin/store_state_func.h"

#include <algorithm>
#include <utility>

#include "base/error_func.h"

namespace poplarfork::standin {

namespace {

using ValueMap = std::map<std::string, StoredValue>;

constexpr std::size_t kMaxHistoryEvents = 20000;

struct KeyBounds {
  ValueMap::const_iterator first;
  ValueMap::const_iterator last;
};

KeyBounds FindKeyBounds(const ValueMap& values, const KeyRange& range) {
  if (range.range_end.empty())
    return {values.lower_bound(range.key), values.upper_bound(range.key)};
  if (range.range_end == std::string(1, '\0'))
    return {values.lower_bound(range.key), values.end()};
  if (range.range_end <= range.key)
    return {values.end(), values.end()};
  return {values.lower_bound(range.key), values.lower_bound(range.range_end)};
}

void AddEvent(StoreState& state, StoreEvent event) {
  state.history.push_back(std::move(event));
  if (state.history.size() <= kMaxHistoryEvents)
    return;
  state.compacted_revision = state.history.front().stored.mod_revision;
  state.history.pop_front();
}

void DeleteKey(StoreState& state,
               const std::string& key,
               std::uint64_t revision) {
  state.values.erase(key);
  StoredValue tombstone;
  tombstone.mod_revision = revision;
  AddEvent(state, StoreEvent{true, key, tombstone});
}

DeleteResult DeleteRange(StoreState& state,
                         const KeyRange& range,
                         std::uint64_t revision) {
  const KeyBounds bounds = FindKeyBounds(state.values, range);
  std::vector<std::string> keys;
  for (auto entry = bounds.first; entry != bounds.last; ++entry)
    keys.push_back(entry->first);
  for (const std::string& key : keys)
    DeleteKey(state, key, revision);
  return DeleteResult{keys.size()};
}

void PutValue(StoreState& state,
              const PutRequest& put,
              std::uint64_t revision) {
  StoredValue& stored = state.values[put.key];
  if (stored.version == 0)
    stored.create_revision = revision;
  stored.value = put.value;
  stored.mod_revision = revision;
  stored.version += 1;
  stored.lease_id = put.lease_id;
  AddEvent(state, StoreEvent{false, put.key, stored});
}

OperationResult ApplyOperation(StoreState& state,
                               const StoreOperation& operation,
                               std::uint64_t revision) {
  if (const auto* put = std::get_if<PutRequest>(&operation)) {
    PutValue(state, *put, revision);
    return PutResult{};
  }
  if (const auto* deletion = std::get_if<DeleteRequest>(&operation))
    return DeleteRange(state, deletion->range, revision);
  return ReadRange(state, std::get<RangeRequest>(operation));
}

base::Result<void> ValidateOperation(const StoreState& state,
                                     const StoreOperation& operation) {
  const auto* put = std::get_if<PutRequest>(&operation);
  if (put == nullptr)
    return boost::outcome_v2::success();
  if (put->value.size() > kMaxValueBytes) {
    return base::MakeError(base::ErrorCode::kTooLarge, base::Step::kStoreCall,
                           put->key, "the value is larger than 1 MB");
  }
  if (put->lease_id != 0 && !state.leases.contains(put->lease_id)) {
    return base::MakeError(base::ErrorCode::kMissing, base::Step::kStoreCall,
                           put->key, "requested lease not found");
  }
  return boost::outcome_v2::success();
}

// Makes `revision` the current revision if an operation changed something under
// it. Otherwise the number remains free for the next change.
void CommitRevision(StoreState& state, std::uint64_t revision) {
  if (!state.history.empty() &&
      state.history.back().stored.mod_revision == revision) {
    state.revision = revision;
  }
}

std::uint64_t ComparedValue(const StoreState& state,
                            const Comparison& comparison) {
  const auto entry = state.values.find(comparison.key);
  if (entry == state.values.end())
    return 0;
  switch (comparison.target) {
    case CompareTarget::kCreateRevision:
      return entry->second.create_revision;
    case CompareTarget::kModRevision:
      return entry->second.mod_revision;
    case CompareTarget::kVersion:
      return entry->second.version;
  }
  return 0;
}

bool IsComparisonTrue(const StoreState& state, const Comparison& comparison) {
  const std::uint64_t value = ComparedValue(state, comparison);
  switch (comparison.result) {
    case CompareResult::kEqual:
      return value == comparison.operand;
    case CompareResult::kNotEqual:
      return value != comparison.operand;
    case CompareResult::kGreater:
      return value > comparison.operand;
    case CompareResult::kLess:
      return value < comparison.operand;
  }
  return false;
}

}  // namespace

bool IsInRange(const KeyRange& range, const std::string& key) {
  if (range.range_end.empty())
    return key == range.key;
  if (range.range_end == std::string(1, '\0'))
    return key >= range.key;
  return key >= range.key && key < range.range_end;
}

RangeResult ReadRange(const StoreState& state, const RangeRequest& request) {
  const KeyBounds bounds = FindKeyBounds(state.values, request.range);
  RangeResult result;
  for (auto entry = bounds.first; entry != bounds.last; ++entry) {
    result.count += 1;
    if (request.limit != 0 && result.values.size() >= request.limit) {
      result.has_more = true;
      continue;
    }
    result.values.push_back(KeyValue{entry->first, entry->second});
    if (request.is_keys_only)
      result.values.back().stored.value.clear();
  }
  return result;
}

base::Result<OperationResult> RunOperation(StoreState& state,
                                           const StoreOperation& operation) {
  BOOST_OUTCOME_TRYV(ValidateOperation(state, operation));
  const std::uint64_t revision = state.revision + 1;
  OperationResult result = ApplyOperation(state, operation, revision);
  CommitRevision(state, revision);
  return result;
}

base::Result<TxnResult> RunTxn(StoreState& state, const TxnRequest& request) {
  TxnResult result;
  result.has_succeeded =
      std::all_of(request.comparisons.begin(), request.comparisons.end(),
                  [&state](const Comparison& comparison) {
                    return IsComparisonTrue(state, comparison);
                  });
  const auto& operations =
      result.has_succeeded ? request.success : request.failure;
  for (const StoreOperation& operation : operations) {
    BOOST_OUTCOME_TRYV(ValidateOperation(state, operation));
  }
  const std::uint64_t revision = state.revision + 1;
  for (const StoreOperation& operation : operations)
    result.results.push_back(ApplyOperation(state, operation, revision));
  CommitRevision(state, revision);
  return result;
}

std::uint64_t GrantLease(StoreState& state,
                         base::Duration time_to_live,
                         base::TimePoint now) {
  const std::uint64_t lease_id = state.next_lease_id++;
  state.leases[lease_id] = Lease{time_to_live, now + time_to_live};
  return lease_id;
}

base::Duration KeepLeaseAlive(StoreState& state,
                              std::uint64_t lease_id,
                              base::TimePoint now) {
  const auto entry = state.leases.find(lease_id);
  if (entry == state.leases.end())
    return base::Duration{0};
  entry->second.expires_at = now + entry->second.time_to_live;
  return entry->second.time_to_live;
}

bool RevokeLease(StoreState& state, std::uint64_t lease_id) {
  if (state.leases.erase(lease_id) == 0)
    return false;
  std::vector<std::string> keys;
  for (const auto& [key, stored] : state.values) {
    if (stored.lease_id == lease_id)
      keys.push_back(key);
  }
  const std::uint64_t revision = state.revision + 1;
  for (const std::string& key : keys)
    DeleteKey(state, key, revision);
  CommitRevision(state, revision);
  return true;
}

void ExpireLeases(StoreState& state, base::TimePoint now) {
  const auto leases = state.leases;
  for (const auto& [lease_id, lease] : leases) {
    if (lease.expires_at <= now)
      RevokeLease(state, lease_id);
  }
}

void ExpireAllLeases(StoreState& state) {
  const auto leases = state.leases;
  for (const auto& [lease_id, lease] : leases)
    RevokeLease(state, lease_id);
}

std::vector<StoreEvent> EventsSince(const StoreState& state,
                                    const KeyRange& range,
                                    std::uint64_t from_revision) {
  const auto first =
      std::partition_point(state.history.begin(), state.history.end(),
                           [from_revision](const StoreEvent& event) {
                             return event.stored.mod_revision < from_revision;
                           });
  std::vector<StoreEvent> events;
  for (auto event = first; event != state.history.end(); ++event) {
    if (IsInRange(range, event->key))
      events.push_back(*event);
  }
  return events;
}

}  // namespace poplarfork::standin
