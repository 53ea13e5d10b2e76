#include <boost/test/unit_test.hpp>

#include <string>

#include "fleet/client_account_func.h"

namespace poplarfork::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Credential MakeCredential(const std::string& key) {
  return {CredentialState::kPresent, ComputeKeyDigest(key)};
}

ClientAccount& AddAccount(Configuration& configuration,
                          const std::string& name) {
  configuration.has_accounts = true;
  ClientAccount& account = configuration.accounts[{name}];
  account.id = {name};
  return account;
}

}  // namespace

// Guards against requests that are served without a valid key, or refused with
// one.
BOOST_AUTO_TEST_CASE(RequestsNeedTheKeyOfAnAccount) {
  Configuration configuration;
  AddAccountKey(configuration, AddAccount(configuration, "first"), "one");
  AddAccountKey(configuration, AddAccount(configuration, "second"), "two");
  const auto decide = [&](const Credential& credential) {
    return DecideAccount(configuration, false, credential);
  };
  BOOST_TEST(decide(MakeCredential("one")).account->id.value == "first");
  BOOST_TEST(decide(MakeCredential("two")).account->id.value == "second");
  BOOST_TEST((decide(MakeCredential("two")).result == AccountResult::kAllowed));
  const std::pair<Credential, AccountResult> refused[] = {
      {MakeCredential("three"), AccountResult::kKeyUnknown},
      {MakeCredential("One"), AccountResult::kKeyUnknown},
      {MakeCredential("one "), AccountResult::kKeyUnknown},
      {MakeCredential(""), AccountResult::kKeyUnknown},
      {{CredentialState::kAbsent, {}}, AccountResult::kKeyMissing},
      {{CredentialState::kMalformed, {}}, AccountResult::kKeyMalformed},
      {{CredentialState::kDuplicate, {}}, AccountResult::kKeyDuplicate},
  };
  for (const auto& [credential, result] : refused) {
    BOOST_TEST((decide(credential).result == result),
               AccountResultName(result));
    BOOST_TEST(!decide(credential).account);
  }
}

// Guards against public routes that refuse a request because of its key, or
// that name an account for an invalid key.
BOOST_AUTO_TEST_CASE(PublicRoutesNeedNoKey) {
  Configuration configuration;
  AddAccountKey(configuration, AddAccount(configuration, "first"), "one");
  const auto decide = [&](const Credential& credential) {
    return DecideAccount(configuration, true, credential);
  };
  BOOST_TEST(decide(MakeCredential("one")).account->id.value == "first");
  for (const Credential& credential :
       {MakeCredential("three"), Credential{CredentialState::kAbsent, {}},
        Credential{CredentialState::kMalformed, {}},
        Credential{CredentialState::kDuplicate, {}}}) {
    BOOST_TEST((decide(credential).result == AccountResult::kAllowed));
    BOOST_TEST(!decide(credential).account);
  }
}

// Guards against keys that are required where the operator has no accounts, and
// against none being required because the list of accounts is empty.
BOOST_AUTO_TEST_CASE(KeysAreRequiredIfThereAreAccounts) {
  Configuration configuration;
  BOOST_TEST((DecideAccount(configuration, false, {}).result ==
              AccountResult::kAllowed));
  configuration.has_accounts = true;
  BOOST_TEST((DecideAccount(configuration, false, {}).result ==
              AccountResult::kKeyMissing));
}

// Guards against a key that two accounts share, and against an account that is
// rejected because its list contains a key twice.
BOOST_AUTO_TEST_CASE(AKeyBelongsToOneAccount) {
  Configuration configuration;
  const ClientAccount& first = AddAccount(configuration, "first");
  const ClientAccount& second = AddAccount(configuration, "second");
  BOOST_TEST(!AddAccountKey(configuration, first, "one"));
  BOOST_TEST(!AddAccountKey(configuration, first, "one"));
  BOOST_TEST(AddAccountKey(configuration, second, "one") == &first);
  BOOST_TEST(
      DecideAccount(configuration, false, MakeCredential("one")).account ==
      &first);
}

// Guards against keys that are confused with one another when there are many,
// and against an index that refers to accounts of another configuration after
// it was moved.
BOOST_AUTO_TEST_CASE(AHundredThousandKeysAreFound) {
  constexpr int kAccounts = 500;
  constexpr int kKeysPerAccount = 200;
  Configuration decoded;
  for (int i = 0; i < kAccounts; ++i) {
    const ClientAccount& account =
        AddAccount(decoded, "account-" + std::to_string(i));
    for (int j = 0; j < kKeysPerAccount; ++j)
      BOOST_REQUIRE(
          !AddAccountKey(decoded, account,
                         "key-" + std::to_string(i) + "-" + std::to_string(j)));
  }
  const Configuration configuration = std::move(decoded);
  BOOST_TEST(configuration.accounts_by_key.accounts.size() ==
             static_cast<std::size_t>(kAccounts * kKeysPerAccount));
  int wrong = 0;
  for (int i = 0; i < kAccounts; ++i) {
    const auto account =
        configuration.accounts.find({"account-" + std::to_string(i)});
    for (int j = 0; j < kKeysPerAccount; ++j) {
      const std::string key =
          "key-" + std::to_string(i) + "-" + std::to_string(j);
      wrong +=
          DecideAccount(configuration, false, MakeCredential(key)).account !=
          &account->second;
      wrong += DecideAccount(configuration, false, MakeCredential(key + "x"))
                   .result != AccountResult::kKeyUnknown;
    }
  }
  BOOST_TEST(wrong == 0);
}

// Guards against requests of an urgent account that wait as long as the route's
// priority says.
BOOST_AUTO_TEST_CASE(ThePriorityOfTheAccountGoesFirst) {
  Route route;
  route.priority = 3;
  ClientAccount account;
  BOOST_TEST(EffectivePriority(route, nullptr) == 3U);
  BOOST_TEST(EffectivePriority(route, &account) == 3U);
  account.priority = 0;
  BOOST_TEST(EffectivePriority(route, &account) == 0U);
  account.priority = 7;
  BOOST_TEST(EffectivePriority(route, &account) == 7U);
}

// Guards against a gateway without contact that serves withdrawn keys for
// longer than the operator allows, or that stops where this was not asked for.
BOOST_AUTO_TEST_CASE(StrictRevocationNeedsACurrentView) {
  const base::TimePoint confirmed_at{seconds(100)};
  const base::Duration limit = seconds(5);
  BOOST_TEST(MayDecideOnKeys(confirmed_at, true, limit, confirmed_at + limit));
  BOOST_TEST(!MayDecideOnKeys(confirmed_at, true, limit,
                              confirmed_at + limit + milliseconds(1)));
  BOOST_TEST(
      MayDecideOnKeys(confirmed_at, false, limit, confirmed_at + 10 * limit));
  BOOST_TEST(MayDecideOnKeys(confirmed_at, true, base::Duration(0),
                             confirmed_at + 10 * limit));
}

}  // namespace poplarfork::fleet
