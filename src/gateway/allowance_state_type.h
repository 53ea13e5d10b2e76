#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>

#include "allowance/owner_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::gateway {

// The member that is asked for the tokens of a group of accounts.
struct RankedOwner {
  base::DaemonId id;
  base::TimePoint ranked_at{};
};

// State of the rate limits of client accounts in one gateway, apart from the
// balances of its dispatcher.
struct AllowanceState {
  explicit AllowanceState(boost::asio::io_context& loop) : timer(loop) {}

  // Buckets of the accounts that this daemon owns.
  allowance::Owner owner;
  // Owners of the groups whose accounts this dispatcher has asked for.
  std::map<std::uint32_t, RankedOwner> ranked_owners;
  // Owners that did not reply are passed over until this time.
  std::map<base::DaemonId, base::TimePoint> suspected_until;
  // Sends the asks that are due.
  boost::asio::steady_timer timer;
  base::TimePoint timer_expiry = base::TimePoint::max();
};

}  // namespace poplarfork::gateway
