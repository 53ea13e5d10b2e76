#include "fleet/client_account_func.h"

#include <sodium.h>

namespace poplarfork::fleet {

KeyDigest ComputeKeyDigest(std::string_view key) {
  KeyDigest digest;
  crypto_generichash(digest.bytes.data(), digest.bytes.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), nullptr, 0);
  return digest;
}

const ClientAccount* AddAccountKey(Configuration& configuration,
                                   const ClientAccount& account,
                                   std::string_view key) {
  const auto [entry, inserted] =
      configuration.accounts_by_key.accounts.try_emplace(ComputeKeyDigest(key),
                                                         &account);
  return inserted || entry->second == &account ? nullptr : entry->second;
}

AccountDecision DecideAccount(const Configuration& configuration,
                              bool is_public,
                              const Credential& credential) {
  if (!configuration.has_accounts)
    return {};
  AccountDecision decision;
  switch (credential.state) {
    case CredentialState::kAbsent:
      decision.result = AccountResult::kKeyMissing;
      break;
    case CredentialState::kMalformed:
      decision.result = AccountResult::kKeyMalformed;
      break;
    case CredentialState::kDuplicate:
      decision.result = AccountResult::kKeyDuplicate;
      break;
    case CredentialState::kPresent: {
      const auto& accounts = configuration.accounts_by_key.accounts;
      const auto found = accounts.find(credential.key);
      if (found != accounts.end())
        decision.account = found->second;
      else
        decision.result = AccountResult::kKeyUnknown;
      break;
    }
  }
  if (is_public)
    decision.result = AccountResult::kAllowed;
  return decision;
}

const char* AccountResultName(AccountResult result) {
  switch (result) {
    case AccountResult::kAllowed:
      return "allowed";
    case AccountResult::kKeyMissing:
      return "key_missing";
    case AccountResult::kKeyMalformed:
      return "key_malformed";
    case AccountResult::kKeyDuplicate:
      return "key_duplicate";
    case AccountResult::kKeyUnknown:
      return "key_unknown";
  }
  return "unknown";
}

std::uint32_t EffectivePriority(const Route& route,
                                const ClientAccount* account) {
  return account ? account->priority.value_or(route.priority) : route.priority;
}

bool MayDecideOnKeys(base::TimePoint confirmed_at,
                     bool is_strict,
                     base::Duration limit,
                     base::TimePoint now) {
  return !is_strict || limit == base::Duration(0) ||
         now - confirmed_at <= limit;
}

}  // namespace poplarfork::fleet
