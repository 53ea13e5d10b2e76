#pragma once

#include <optional>
#include <string>

#include "allowance/owner_type.h"
#include "allowance/token_ask_type.h"
#include "allowance/token_grant_type.h"
#include "fleet/client_account_type.h"

namespace poplarfork::allowance {

// Returns the group of an account, and the key by which the members of the
// fleet are ranked to find the owner of a group.
std::uint32_t GroupOf(const base::AccountId& account);
std::string GroupKey(std::uint32_t group);

// Sets the share of the fleet that is in contact with this daemon, and whether
// the daemon itself sees no other owner of the group. The buckets of the group
// are refilled accordingly from now on. It is called at least once a second for
// each group in use: the credit clock advances by one second at most between
// two calls, so that a process that was paused does not grant what another
// owner has granted in the meantime.
void SetContact(Owner& owner,
                std::uint32_t group,
                double contact_share,
                bool is_first,
                base::TimePoint now);

// Handles a dispatcher's ask for tokens of an account. SetContact() has been
// called for its group. An account without a limit gets what it asks for. The
// reply to a repeated ask is repeated; an ask that arrives after a later one of
// the same dispatcher gets none.
std::optional<TokenGrant> OnTokenAsk(Owner& owner,
                                     const base::DaemonId& dispatcher,
                                     const TokenAsk& ask,
                                     const fleet::AccountLimit& limit,
                                     base::TimePoint now);

// Removes the buckets that are full and have not been asked for lately.
void EvictIdleBuckets(Owner& owner, base::TimePoint now);

}  // namespace poplarfork::allowance
