#pragma once

#include <cstdint>

namespace poplarfork::membership {

// Counters since the start of the daemon.
struct Counters {
  // Messages and member updates that were ignored because they were malformed.
  std::uint64_t malformed_inputs = 0;
  std::uint64_t probes = 0;
  std::uint64_t probes_failed = 0;
  std::uint64_t indirect_probes = 0;
  // Requests for an indirect probe that were refused because too many were open
  // or the target was unknown.
  std::uint64_t relays_refused = 0;
  // Requests for the member list that were ignored because of the rate limit.
  std::uint64_t list_requests_refused = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  // Suspicions and deaths that this daemon did not declare because it was not
  // healthy enough itself.
  std::uint64_t declarations_withheld = 0;
};

}  // namespace poplarfork::membership
