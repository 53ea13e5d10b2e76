#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "claim/claim_codec_func.h"
#include "claim/claim_func.h"
#include "claim/claim_limits_type.h"
#include "claim/minted_key_func.h"
#include "claim/record_func.h"
#include "claim/supplied_key_func.h"

namespace poplarfork::claim {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr base::TimePoint kNow{seconds(1000)};

ClaimState NewTestState(const char* id = "10.0.0.1:7000",
                        std::uint64_t incarnation = 7) {
  const MintSecret secret = {1, 2, 3, 4, 5, 6, 7, 8};
  return NewClaimState({id}, {incarnation}, secret, kNow);
}

ArrivedRequest MakeRequest(std::uint64_t token, const std::string& key) {
  return {.token = {token}, .account = {"acme"}, .key = key};
}

template <class Kind>
const Kind* FindAction(const Actions& actions) {
  for (const Action& action : actions) {
    if (const Kind* found = std::get_if<Kind>(&action))
      return found;
  }
  return nullptr;
}

RunResult AnsweredResult(std::size_t body) {
  const auto response = std::make_shared<RetainedResponse>(
      RetainedResponse{.status = 201, .body = std::string(body, 'x')});
  return {.end = RunEnd::kAnswered, .status = 201, .response = response};
}

// Sends a request with a minted key, ends its run with `result`, and returns
// the actions for a repeat after `delay`.
Actions RunThenRepeat(ClaimState& state,
                      const std::string& key,
                      const RunResult& result,
                      base::Duration delay) {
  OnRequestArrived(state, MakeRequest(1, key), kNow);
  OnRequestSent(state, {1});
  OnRunFinished(state, {1}, result, kNow);
  OnTick(state, kNow + delay);
  return OnRequestArrived(state, MakeRequest(2, key), kNow + delay);
}

// Claims the key of `request` at a daemon whose claim log is empty, and returns
// the append. The log is loaded first, so that the claim leads to an append at
// once.
AppendBatch ClaimKey(ClaimState& state, const ArrivedRequest& request) {
  const Actions read = OnRequestArrived(state, request, kNow);
  const Shard shard = ShardOf(request.account, request.key);
  BOOST_REQUIRE(FindAction<ReadLog>(read) != nullptr);
  const Actions append =
      OnReadLogReply(state, {.shard = shard, .success = true}, kNow);
  BOOST_REQUIRE(FindAction<AppendBatch>(append) != nullptr);
  return *FindAction<AppendBatch>(append);
}

}  // namespace

// Guards against runs for forged keys, for keys of another account and for keys
// of another incarnation.
BOOST_AUTO_TEST_CASE(ForgedAndForeignKeysDoNotRun) {
  ClaimState state = NewTestState();
  std::string key = MintKeyFor(state, {"acme"}, kNow);
  ArrivedRequest other = MakeRequest(1, key);
  other.account = {"rival"};
  const Actions refused = OnRequestArrived(state, other, kNow);
  BOOST_REQUIRE(FindAction<AnswerCaller>(refused) != nullptr);
  BOOST_TEST(FindAction<AnswerCaller>(refused)->answer.status == 400);
  key.back() = key.back() == '0' ? '1' : '0';
  BOOST_TEST(FindAction<RunNow>(OnRequestArrived(state, MakeRequest(2, key),
                                                 kNow)) == nullptr);
  ClaimState restarted = NewTestState("10.0.0.1:7000", 8);
  const std::string old_key = MintKeyFor(state, {"acme"}, kNow);
  const Actions gone =
      OnRequestArrived(restarted, MakeRequest(3, old_key), kNow);
  BOOST_REQUIRE(FindAction<AnswerCaller>(gone) != nullptr);
  BOOST_TEST(
      (FindAction<AnswerCaller>(gone)->answer.outcome == Outcome::kUnknown));
  for (const char* text : {"pf1_", "pf1_a_b_c_d", "pf1_x_1_2_3_zz",
                           "pf1_x_1_2_3_4444444444444444444444"}) {
    BOOST_TEST(!ParseMintedKey(text).has_value());
  }
}

// Guards against a daemon that connects to an address from a forged key, and
// against the answer "not run" while the minting daemon cannot be asked.
BOOST_AUTO_TEST_CASE(KeysOfOthersAreRelayedToLiveDaemonsOnly) {
  ClaimState minter = NewTestState("10.0.0.2:7000", 3);
  const std::string key = MintKeyFor(minter, {"acme"}, kNow);
  ClaimState state = NewTestState();
  const Actions unreachable =
      OnRequestArrived(state, MakeRequest(1, key), kNow);
  BOOST_REQUIRE(FindAction<AnswerCaller>(unreachable) != nullptr);
  BOOST_TEST((FindAction<AnswerCaller>(unreachable)->answer.outcome ==
              Outcome::kUnknown));
  OnLiveDaemonsChanged(state,
                       {{{"10.0.0.1:7000"}, {7}}, {{"10.0.0.2:7000"}, {3}}});
  const Actions relayed = OnRequestArrived(state, MakeRequest(2, key), kNow);
  BOOST_REQUIRE(FindAction<RelayToDaemon>(relayed) != nullptr);
  BOOST_TEST(FindAction<RelayToDaemon>(relayed)->incarnation.value == 3U);
  const Actions failed = OnRelayFailed(state, {2}, true, kNow);
  BOOST_TEST(
      (FindAction<AnswerCaller>(failed)->answer.outcome == Outcome::kUnknown));
}

// Guards against a second run of a key whose record has expired, and against
// the answer "not run" when it can no longer be proved.
BOOST_AUTO_TEST_CASE(ExpiredKeysNeverRun) {
  ClaimState state = NewTestState();
  const std::string used = MintKeyFor(state, {"acme"}, kNow);
  const Actions late =
      RunThenRepeat(state, used, AnsweredResult(10), minutes(21));
  BOOST_REQUIRE(FindAction<AnswerCaller>(late) != nullptr);
  BOOST_TEST(
      (FindAction<AnswerCaller>(late)->answer.outcome == Outcome::kUnknown));
  const std::string unused = MintKeyFor(state, {"acme"}, kNow);
  const Actions expired =
      OnRequestArrived(state, MakeRequest(3, unused), kNow + minutes(11));
  BOOST_REQUIRE(FindAction<AnswerCaller>(expired) != nullptr);
  BOOST_TEST(
      (FindAction<AnswerCaller>(expired)->answer.outcome == Outcome::kNotRun));
  BOOST_TEST(!FindAction<AnswerCaller>(expired)->answer.minted_key.empty());
}

// Guards against a repeat that gets another response than the first request,
// and against unbounded memory for retained responses.
BOOST_AUTO_TEST_CASE(RepeatsGetTheRetainedResponse) {
  ClaimState state = NewTestState();
  const std::string key = MintKeyFor(state, {"acme"}, kNow);
  const Actions repeat =
      RunThenRepeat(state, key, AnsweredResult(100), minutes(9));
  BOOST_REQUIRE(FindAction<AnswerCaller>(repeat) != nullptr);
  BOOST_REQUIRE(FindAction<AnswerCaller>(repeat)->answer.response != nullptr);
  BOOST_TEST(FindAction<AnswerCaller>(repeat)->answer.response->body.size() ==
             100U);
  OnTick(state, kNow + minutes(11));
  const Actions later =
      OnRequestArrived(state, MakeRequest(3, key), kNow + minutes(11));
  BOOST_TEST(FindAction<AnswerCaller>(later)->answer.response == nullptr);
  BOOST_TEST(FindAction<AnswerCaller>(later)->answer.status == 409);
  BOOST_TEST(FindAction<AnswerCaller>(later)->answer.earlier_status == 201);
  BOOST_TEST(state.retained_bytes == 0U);
  for (int count = 0; count < 300; ++count) {
    RunThenRepeat(state, MintKeyFor(state, {"acme"}, kNow),
                  AnsweredResult(kMaxRetainedResponseBytes), seconds(0));
    BOOST_REQUIRE(state.retained_bytes <= kMaxRetainedTotalBytes);
  }
  RunThenRepeat(state, MintKeyFor(state, {"acme"}, kNow),
                AnsweredResult(kMaxRetainedResponseBytes + 1), seconds(0));
  BOOST_TEST(state.retained_bytes == kMaxRetainedTotalBytes);
}

// Guards against a repeat that runs concurrently with the first request, and
// against a waiting repeat that is never answered.
BOOST_AUTO_TEST_CASE(RepeatsWaitForTheRunningRequest) {
  ClaimState state = NewTestState();
  const std::string key = MintKeyFor(state, {"acme"}, kNow);
  OnRequestArrived(state, MakeRequest(1, key), kNow);
  const Actions wait = OnRequestArrived(state, MakeRequest(2, key), kNow);
  BOOST_TEST(FindAction<RunNow>(wait) == nullptr);
  BOOST_REQUIRE(FindAction<Wait>(wait) != nullptr);
  const Actions next = OnCallerDisconnected(state, {1}, kNow);
  BOOST_REQUIRE(FindAction<StopRun>(next) != nullptr);
  BOOST_REQUIRE(FindAction<RunNow>(next) != nullptr);
  BOOST_TEST(FindAction<RunNow>(next)->token.value == 2U);
  OnRequestSent(state, {2});
  BOOST_TEST(OnCallerDisconnected(state, {2}, kNow).empty());
  OnRequestArrived(state, MakeRequest(3, key), kNow);
  const Actions end = OnRunFinished(state, {2}, AnsweredResult(5), kNow);
  BOOST_REQUIRE(FindAction<AnswerCaller>(end) != nullptr);
  BOOST_TEST(FindAction<AnswerCaller>(end)->token.value == 3U);
  BOOST_TEST(end.size() == 1U);
  BOOST_TEST(state.request_keys.empty());
}

// Guards against the answer "not run" when the driver reports a failed connect
// after it has begun to write.
BOOST_AUTO_TEST_CASE(SentRequestsAreNeverNotRun) {
  ClaimState state = NewTestState();
  const std::string key = MintKeyFor(state, {"acme"}, kNow);
  OnRequestArrived(state, MakeRequest(1, key), kNow);
  OnRequestSent(state, {1});
  const RunResult failed{
      .end = RunEnd::kNotSent, .reason = Reason::kNoUpstream, .status = 503};
  const Actions end = OnRunFinished(state, {1}, failed, kNow);
  BOOST_REQUIRE(FindAction<AnswerCaller>(end) != nullptr);
  BOOST_TEST(
      (FindAction<AnswerCaller>(end)->answer.outcome == Outcome::kUnknown));
  const Actions repeat = OnRequestArrived(state, MakeRequest(2, key), kNow);
  BOOST_TEST(FindAction<RunNow>(repeat) == nullptr);
}

// Guards against a caller-supplied key that runs before its append is
// confirmed. Also guards against a daemon that lost the reply to its append and
// then takes its own entry for a claim of another daemon.
BOOST_AUTO_TEST_CASE(SuppliedKeysRunAfterTheAppend) {
  ClaimState state = NewTestState();
  const AppendBatch append = ClaimKey(state, MakeRequest(1, "order-1"));
  BOOST_TEST(append.entry_number == 1U);
  const Actions run = OnAppendReply(state,
                                    {.shard = append.shard,
                                     .entry_number = 1,
                                     .status = AppendStatus::kConflict,
                                     .existing = append.batch},
                                    kNow);
  BOOST_TEST(FindAction<RunNow>(run) != nullptr);
}

// Guards against an incarnation that has forgotten a run and takes its own
// earlier claim as permission to run again.
BOOST_AUTO_TEST_CASE(ForgottenClaimsDoNotRunAgain) {
  ClaimState state = NewTestState();
  const AppendBatch append = ClaimKey(state, MakeRequest(1, "order-1"));
  OnAppendReply(state,
                {.shard = append.shard,
                 .entry_number = 1,
                 .status = AppendStatus::kCreated},
                kNow);
  OnRequestSent(state, {1});
  OnRunFinished(state, {1}, AnsweredResult(5), kNow);
  EraseRecord(state, append.batch.claims.front().key);
  const Actions repeat =
      OnRequestArrived(state, MakeRequest(2, "order-1"), kNow);
  BOOST_REQUIRE(FindAction<AnswerCaller>(repeat) != nullptr);
  BOOST_TEST(
      (FindAction<AnswerCaller>(repeat)->answer.outcome == Outcome::kUnknown));
  BOOST_TEST(FindAction<AnswerCaller>(repeat)->answer.status == 409);
}

// Guards against the answer "not run" to a repeat while the store is
// unreachable, because the first send may have run at another daemon. Also
// guards against a caller that states a first send and gets no key with which
// to continue.
BOOST_AUTO_TEST_CASE(OnlyFirstSendsAreNotRunInAStoreOutage) {
  ClaimState state = NewTestState();
  OnStoreReachabilityChanged(state, false);
  const Actions repeat =
      OnRequestArrived(state, MakeRequest(1, "order-1"), kNow);
  BOOST_REQUIRE(FindAction<AnswerCaller>(repeat) != nullptr);
  BOOST_TEST(
      (FindAction<AnswerCaller>(repeat)->answer.outcome == Outcome::kUnknown));
  BOOST_TEST(FindAction<AnswerCaller>(repeat)->answer.minted_key.empty());
  ArrivedRequest request = MakeRequest(2, "order-2");
  request.first_send = true;
  const Actions first = OnRequestArrived(state, request, kNow);
  BOOST_REQUIRE(FindAction<AnswerCaller>(first) != nullptr);
  const Answer& answer = FindAction<AnswerCaller>(first)->answer;
  BOOST_TEST((answer.outcome == Outcome::kNotRun));
  const Actions continued =
      OnRequestArrived(state, MakeRequest(3, answer.minted_key), kNow);
  BOOST_TEST(FindAction<RunNow>(continued) != nullptr);
}

// Guards against a collecting daemon that loses claims of other daemons or
// confuses their results. Prints the rate of claims without the time of the
// store.
BOOST_AUTO_TEST_CASE(CollectorAnswersEveryClaim) {
  constexpr std::uint64_t kClaimCount = 100'000;
  ClaimState state = NewTestState();
  state.shards[{0}].loaded = true;
  std::uint64_t owned = 0;
  std::uint64_t appends = 0;
  std::size_t bytes = 0;
  base::TimePoint now = kNow;
  const auto start = std::chrono::steady_clock::now();
  const auto handle = [&](const Actions& actions) {
    std::optional<AppendBatch> append;
    for (const Action& action : actions) {
      if (const auto* result = std::get_if<SendClaimResult>(&action))
        owned += result->result.owner == result->result.claim.claimant ? 1 : 0;
      if (const auto* found = std::get_if<AppendBatch>(&action))
        append = *found;
    }
    return append;
  };
  for (std::uint64_t first = 0; first < kClaimCount; first += kMaxBatchClaims) {
    now += kAppendInterval;
    std::optional<AppendBatch> append;
    const std::uint64_t end =
        std::min<std::uint64_t>(kClaimCount, first + kMaxBatchClaims);
    for (std::uint64_t number = first; number < end; ++number) {
      const Claim claim{
          SuppliedRunKey({"acme"}, "order-" + std::to_string(number)),
          {{"10.0.0.2:7000"}, {3}, number}};
      const auto started =
          handle(OnClaimMessage(state, {.shard = {0}, .claim = claim}, now));
      append = started ? started : append;
    }
    while (append) {
      ++appends;
      bytes += EncodeBatch(append->batch).size();
      const AppendReply created{.shard = {0},
                                .entry_number = append->entry_number,
                                .status = AppendStatus::kCreated};
      now += kAppendInterval;
      append = handle(OnAppendReply(state, created, now));
    }
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  std::cout << "claims collected: "
            << static_cast<double>(kClaimCount) / elapsed.count()
            << " per second, " << appends << " appends, "
            << static_cast<double>(bytes) / static_cast<double>(kClaimCount)
            << " bytes per claim\n";
  BOOST_TEST(owned == kClaimCount);
  BOOST_TEST(state.known_claims == kClaimCount);
}

// Guards against more records than the limit allows. Prints the rate of orders
// with minted keys in the claim core and the memory of a record.
BOOST_AUTO_TEST_CASE(RecordsOfMintedKeysAreLimited) {
  ClaimState state = NewTestState();
  std::uint64_t token = 0;
  std::uint64_t ran = 0;
  const std::size_t before = mallinfo2().uordblks;
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t order = 0; order <= kMaxRecords; ++order) {
    const std::string key = MintKeyFor(state, {"acme"}, kNow);
    const Actions actions =
        OnRequestArrived(state, MakeRequest(++token, key), kNow);
    if (FindAction<RunNow>(actions) == nullptr)
      continue;
    ++ran;
    OnRequestSent(state, {token});
    OnRunFinished(state, {token}, {.end = RunEnd::kAnswered, .status = 201},
                  kNow);
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  const auto used = static_cast<double>(mallinfo2().uordblks - before);
  std::cout << "orders with minted keys: "
            << static_cast<double>(ran) / elapsed.count() << " per second, "
            << used / static_cast<double>(kMaxRecords) << " bytes each\n";
  BOOST_TEST(ran == kMaxRecords);
  OnTick(state, kNow + minutes(21));
  BOOST_TEST(state.records.empty());
}

// Guards against log entries and messages that are decoded to other claims than
// those that were encoded.
BOOST_AUTO_TEST_CASE(CodecsPreserveClaims) {
  const RunKey key = SuppliedRunKey({"acme"}, "order-1");
  BOOST_TEST((key != SuppliedRunKey({"acm"}, "eorder-1")));
  const Claimant claimant{{"10.0.0.2:7000"}, {3}, 9};
  ClaimBatch batch{
      .writer = {"w"}, .writer_incarnation = {4}, .batch_number = 5};
  batch.claims = {{key, claimant},
                  {SuppliedRunKey({"b"}, "c"), {{"x"}, {1}, 2}},
                  {SuppliedRunKey({"b"}, "d"), claimant}};
  BOOST_TEST((DecodeBatch(EncodeBatch(batch)).value() == batch));
  BOOST_TEST(!DecodeBatch("not an entry").has_value());
  const ClaimMessage message{.shard = {63}, .claim = {key, claimant}};
  const auto read =
      DecodeClaim(EncodeClaim(message), claimant.daemon, claimant.incarnation);
  BOOST_TEST((read.value().claim == message.claim));
  const ClaimResult result{.claim = {key, claimant},
                           .verdict = ClaimVerdict::kOwned,
                           .owner = {{"y"}, {6}, 1}};
  const auto got = DecodeClaimResult(EncodeClaimResult(result), claimant.daemon,
                                     claimant.incarnation);
  BOOST_TEST((got.value().owner == result.owner));
  BOOST_TEST((got.value().claim == result.claim));
  BOOST_TEST(LogEntryKey({3}, 17) ==
             "poplarfork/claims/03/00000000000000000017");
}

}  // namespace poplarfork::claim
