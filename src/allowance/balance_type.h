#pragma once

#include <cstdint>
#include <optional>

#include "base/time_type.h"
#include "fleet/client_account_type.h"

namespace poplarfork::allowance {

// An ask to which the owner has not replied yet.
struct OpenAsk {
  std::uint64_t sequence = 0;
  double wanted = 0;
  double returned = 0;
  // Number of times that it has been sent to the present owner.
  std::uint32_t sends = 0;
  base::TimePoint sent_at{};
};

// Tokens of one account that a dispatcher holds.
struct Balance {
  fleet::AccountLimit limit;
  // Below zero while the overdraft is in use.
  double tokens = 0;
  // Smoothed first attempts and refusals per second.
  double request_rate = 0;
  double refusal_rate = 0;
  base::TimePoint smoothed_at{};
  base::TimePoint last_request_at{};
  std::optional<OpenAsk> open_ask;
  // An ask that was granted in part is not followed by another before this
  // time.
  base::TimePoint ask_not_before{};
  // When the owner expects to have another token.
  base::TimePoint next_token_at{};
  // Number of owners in succession that have not replied.
  std::uint32_t silent_owners = 0;
  // Up to when tokens have been added while no owner could be reached.
  base::TimePoint refilled_at{};
  // When the balance has something to do, as entered in Balances::wake_ups.
  base::TimePoint wake_at{};
};

}  // namespace poplarfork::allowance
