#pragma once

#include <functional>
#include <optional>

#include "base/error_type.h"
#include "store/key_value_type.h"

namespace poplarfork::store {

// Outcome of a write.
enum class WriteStatus {
  // The write took effect at `revision`.
  kWritten,
  // The write's condition did not hold, and nothing was written. `existing` is
  // the key as the store holds it, and is empty if the key does not exist.
  kConflict,
  // The store replied that it does not accept the write. Nothing was written.
  kRefused,
  // No byte of the write was sent. Nothing was written.
  kNotSent,
  // The write may have been sent, but no usable reply arrived. It may have
  // taken effect or may still do so; read the key to find out.
  kNoReply,
};

// Result of a write. `error` is set if `status` is kRefused, kNotSent or
// kNoReply.
struct WriteResult {
  WriteStatus status = WriteStatus::kNoReply;
  StoreRevision revision;
  std::optional<KeyValue> existing;
  base::Error error;
};

using WriteCallback = std::function<void(const WriteResult&)>;

}  // namespace poplarfork::store
