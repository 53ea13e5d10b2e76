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

ClaimState Daemon(const char* id = "10.0.0.1:7000",
                  std::uint64_t incarnation = 7) {
  const MintSecret secret = {1, 2, 3, 4, 5, 6, 7, 8};
  return NewClaimState({id}, {incarnation}, secret, kNow);
}

ArrivedRequest Request(std::uint64_t token, const std::string& key) {
  return {.token = {token}, .account = {"acme"}, .key = key};
}

template <class Kind>
const Kind* Find(const Actions& actions) {
  for (const Action& action : actions) {
    if (const Kind* found = std::get_if<Kind>(&action))
      return found;
  }
  return nullptr;
}

RunOutcome Answered(std::size_t body) {
  const auto response = std::make_shared<RetainedResponse>(
      RetainedResponse{.status = 201, .body = std::string(body, 'x')});
  return {.end = RunEnd::kAnswered, .status = 201, .response = response};
}

// Sends a request with a minted key, ends its run with `result`, and returns
// the actions for a repeat after `delay`.
Actions RunThenRepeat(ClaimState& state,
                      const std::string& key,
                      const RunOutcome& outcome,
                      base::Duration later) {
  OnRequestArrived(state, Request(1, key), kNow);
  OnRequestSent(state, {1});
  OnRunFinished(state, {1}, outcome, kNow);
  OnTick(state, kNow + later);
  return OnRequestArrived(state, Request(2, key), kNow + later);
}

// Claims the key of `request` at a daemon whose claim log is empty, and returns
// the append. The log is loaded first, so that the claim leads to an append at
// once.
AppendBatch ClaimKey(ClaimState& state, const ArrivedRequest& request) {
  const Actions read = OnRequestArrived(state, request, kNow);
  const Shard shard = ShardOf(request.account, request.key);
  BOOST_REQUIRE(Find<ReadLog>(read) != nullptr);
  const Actions append = OnLogRead(state, {.shard = shard, .ok = true}, kNow);
  BOOST_REQUIRE(Find<AppendBatch>(append) != nullptr);
  return *Find<AppendBatch>(append);
}

}  // namespace

// Guards against runs for forged keys, for keys of another account and for keys
// of another incarnation.
BOOST_AUTO_TEST_CASE(ForgedAndForeignKeysDoNotRun) {
  ClaimState state = Daemon();
  std::string key = MintKeyFor(state, {"acme"}, kNow);
  ArrivedRequest other = Request(1, key);
  other.account = {"rival"};
  const Actions refused = OnRequestArrived(state, other, kNow);
  BOOST_REQUIRE(Find<AnswerCaller>(refused) != nullptr);
  BOOST_TEST(Find<AnswerCaller>(refused)->answer.status == 400);
  key.back() = key.back() == '0' ? '1' : '0';
  BOOST_TEST(Find<RunNow>(OnRequestArrived(state, Request(2, key), kNow)) ==
             nullptr);
  ClaimState reborn = Daemon("10.0.0.1:7000", 8);
  const std::string old_key = MintKeyFor(state, {"acme"}, kNow);
  const Actions gone = OnRequestArrived(reborn, Request(3, old_key), kNow);
  BOOST_REQUIRE(Find<AnswerCaller>(gone) != nullptr);
  BOOST_TEST((Find<AnswerCaller>(gone)->answer.outcome == Outcome::kUnknown));
  for (const char* text : {"pf1_", "pf1_a_b_c_d", "pf1_x_1_2_3_zz",
                           "pf1_x_1_2_3_4444444444444444444444"}) {
    BOOST_TEST(!ParseMintedKey(text).has_value());
  }
}

// Guards against a daemon that connects to an address from a forged key, and
// against the answer "not run" while the minting daemon cannot be asked.
BOOST_AUTO_TEST_CASE(KeysOfOthersAreRelayedToLiveDaemonsOnly) {
  ClaimState minter = Daemon("10.0.0.2:7000", 3);
  const std::string key = MintKeyFor(minter, {"acme"}, kNow);
  ClaimState state = Daemon();
  const Actions unreachable = OnRequestArrived(state, Request(1, key), kNow);
  BOOST_REQUIRE(Find<AnswerCaller>(unreachable) != nullptr);
  BOOST_TEST(
      (Find<AnswerCaller>(unreachable)->answer.outcome == Outcome::kUnknown));
  OnMembers(state, {{{"10.0.0.1:7000"}, {7}}, {{"10.0.0.2:7000"}, {3}}});
  const Actions relayed = OnRequestArrived(state, Request(2, key), kNow);
  BOOST_REQUIRE(Find<RelayToDaemon>(relayed) != nullptr);
  BOOST_TEST(Find<RelayToDaemon>(relayed)->incarnation.value == 3U);
  const Actions failed = OnRelayFailed(state, {2}, true, kNow);
  BOOST_TEST((Find<AnswerCaller>(failed)->answer.outcome == Outcome::kUnknown));
}

// Guards against a second run of a key whose record has expired, and against
// the answer "not run" when it can no longer be proved.
BOOST_AUTO_TEST_CASE(ExpiredKeysNeverRun) {
  ClaimState state = Daemon();
  const std::string used = MintKeyFor(state, {"acme"}, kNow);
  const Actions late = RunThenRepeat(state, used, Answered(10), minutes(21));
  BOOST_REQUIRE(Find<AnswerCaller>(late) != nullptr);
  BOOST_TEST((Find<AnswerCaller>(late)->answer.outcome == Outcome::kUnknown));
  const std::string unused = MintKeyFor(state, {"acme"}, kNow);
  const Actions expired =
      OnRequestArrived(state, Request(3, unused), kNow + minutes(11));
  BOOST_REQUIRE(Find<AnswerCaller>(expired) != nullptr);
  BOOST_TEST((Find<AnswerCaller>(expired)->answer.outcome == Outcome::kNotRun));
  BOOST_TEST(!Find<AnswerCaller>(expired)->answer.minted_key.empty());
}

// Guards against a repeat that gets another response than the first request,
// and against unbounded memory for retained responses.
BOOST_AUTO_TEST_CASE(RepeatsGetTheRetainedResponse) {
  ClaimState state = Daemon();
  const std::string key = MintKeyFor(state, {"acme"}, kNow);
  const Actions repeat = RunThenRepeat(state, key, Answered(100), minutes(9));
  BOOST_REQUIRE(Find<AnswerCaller>(repeat) != nullptr);
  BOOST_REQUIRE(Find<AnswerCaller>(repeat)->answer.response != nullptr);
  BOOST_TEST(Find<AnswerCaller>(repeat)->answer.response->body.size() == 100U);
  OnTick(state, kNow + minutes(11));
  const Actions later =
      OnRequestArrived(state, Request(3, key), kNow + minutes(11));
  BOOST_TEST(Find<AnswerCaller>(later)->answer.response == nullptr);
  BOOST_TEST(Find<AnswerCaller>(later)->answer.status == 409);
  BOOST_TEST(Find<AnswerCaller>(later)->answer.earlier_status == 201);
  BOOST_TEST(state.retained_bytes == 0U);
  for (int count = 0; count < 300; ++count) {
    RunThenRepeat(state, MintKeyFor(state, {"acme"}, kNow),
                  Answered(kMaxRetainedBytes), seconds(0));
    BOOST_REQUIRE(state.retained_bytes <= kMaxRetainedTotal);
  }
  RunThenRepeat(state, MintKeyFor(state, {"acme"}, kNow),
                Answered(kMaxRetainedBytes + 1), seconds(0));
  BOOST_TEST(state.retained_bytes == kMaxRetainedTotal);
}

// Guards against a repeat that runs concurrently with the first request, and
// against a waiting repeat that is never answered.
BOOST_AUTO_TEST_CASE(RepeatsWaitForTheRunningRequest) {
  ClaimState state = Daemon();
  const std::string key = MintKeyFor(state, {"acme"}, kNow);
  OnRequestArrived(state, Request(1, key), kNow);
  const Actions wait = OnRequestArrived(state, Request(2, key), kNow);
  BOOST_TEST(Find<RunNow>(wait) == nullptr);
  BOOST_REQUIRE(Find<Wait>(wait) != nullptr);
  const Actions next = OnCallerGone(state, {1}, kNow);
  BOOST_REQUIRE(Find<StopRun>(next) != nullptr);
  BOOST_REQUIRE(Find<RunNow>(next) != nullptr);
  BOOST_TEST(Find<RunNow>(next)->token.value == 2U);
  OnRequestSent(state, {2});
  BOOST_TEST(OnCallerGone(state, {2}, kNow).empty());
  OnRequestArrived(state, Request(3, key), kNow);
  const Actions end = OnRunFinished(state, {2}, Answered(5), kNow);
  BOOST_REQUIRE(Find<AnswerCaller>(end) != nullptr);
  BOOST_TEST(Find<AnswerCaller>(end)->token.value == 3U);
  BOOST_TEST(end.size() == 1U);
  BOOST_TEST(state.requests.empty());
}

// Guards against the answer "not run" when the driver reports a failed connect
// after it has begun to write.
BOOST_AUTO_TEST_CASE(SentRequestsAreNeverNotRun) {
  ClaimState state = Daemon();
  const std::string key = MintKeyFor(state, {"acme"}, kNow);
  OnRequestArrived(state, Request(1, key), kNow);
  OnRequestSent(state, {1});
  const RunOutcome failed{
      .end = RunEnd::kNotSent, .reason = Reason::kNoUpstream, .status = 503};
  const Actions end = OnRunFinished(state, {1}, failed, kNow);
  BOOST_REQUIRE(Find<AnswerCaller>(end) != nullptr);
  BOOST_TEST((Find<AnswerCaller>(end)->answer.outcome == Outcome::kUnknown));
  const Actions repeat = OnRequestArrived(state, Request(2, key), kNow);
  BOOST_TEST(Find<RunNow>(repeat) == nullptr);
}

// Guards against a caller-supplied key that runs before its append is
// confirmed. Also guards against a daemon that lost the reply to its append and
// then takes its own entry for a claim of another daemon.
BOOST_AUTO_TEST_CASE(SuppliedKeysRunAfterTheAppend) {
  ClaimState state = Daemon();
  const AppendBatch append = ClaimKey(state, Request(1, "order-1"));
  BOOST_TEST(append.number == 1U);
  const Actions run = OnAppendAnswered(state,
                                       {.shard = append.shard,
                                        .number = 1,
                                        .status = AppendStatus::kConflict,
                                        .found = append.batch},
                                       kNow);
  BOOST_TEST(Find<RunNow>(run) != nullptr);
}

// Guards against an incarnation that has forgotten a run and takes its own
// earlier claim as permission to run again.
BOOST_AUTO_TEST_CASE(ForgottenClaimsDoNotRunAgain) {
  ClaimState state = Daemon();
  const AppendBatch append = ClaimKey(state, Request(1, "order-1"));
  OnAppendAnswered(
      state,
      {.shard = append.shard, .number = 1, .status = AppendStatus::kCreated},
      kNow);
  OnRequestSent(state, {1});
  OnRunFinished(state, {1}, Answered(5), kNow);
  EraseRecord(state, append.batch.claims.front().key);
  const Actions repeat = OnRequestArrived(state, Request(2, "order-1"), kNow);
  BOOST_REQUIRE(Find<AnswerCaller>(repeat) != nullptr);
  BOOST_TEST((Find<AnswerCaller>(repeat)->answer.outcome == Outcome::kUnknown));
  BOOST_TEST(Find<AnswerCaller>(repeat)->answer.status == 409);
}

// Guards against the answer "not run" to a repeat while the store is
// unreachable, because the first send may have run at another daemon. Also
// guards against a caller that states a first send and gets no key with which
// to continue.
BOOST_AUTO_TEST_CASE(OnlyFirstSendsAreNotRunInAStoreOutage) {
  ClaimState state = Daemon();
  OnStoreReachable(state, false);
  const Actions repeat = OnRequestArrived(state, Request(1, "order-1"), kNow);
  BOOST_REQUIRE(Find<AnswerCaller>(repeat) != nullptr);
  BOOST_TEST((Find<AnswerCaller>(repeat)->answer.outcome == Outcome::kUnknown));
  BOOST_TEST(Find<AnswerCaller>(repeat)->answer.minted_key.empty());
  ArrivedRequest request = Request(2, "order-2");
  request.first_send = true;
  const Actions first = OnRequestArrived(state, request, kNow);
  BOOST_REQUIRE(Find<AnswerCaller>(first) != nullptr);
  const Answer& answer = Find<AnswerCaller>(first)->answer;
  BOOST_TEST((answer.outcome == Outcome::kNotRun));
  const Actions go_on =
      OnRequestArrived(state, Request(3, answer.minted_key), kNow);
  BOOST_TEST(Find<RunNow>(go_on) != nullptr);
}

// Guards against a collecting daemon that loses claims of other daemons or
// confuses their results. Prints the rate of claims without the time of the
// store.
BOOST_AUTO_TEST_CASE(CollectorAnswersEveryClaim) {
  constexpr std::uint64_t kClaims = 100'000;
  ClaimState state = Daemon();
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
        owned += result->result.owner == result->result.entry.claimant ? 1 : 0;
      if (const auto* found = std::get_if<AppendBatch>(&action))
        append = *found;
    }
    return append;
  };
  for (std::uint64_t first = 0; first < kClaims; first += kMaxBatch) {
    now += kAppendInterval;
    std::optional<AppendBatch> append;
    const std::uint64_t end =
        std::min<std::uint64_t>(kClaims, first + kMaxBatch);
    for (std::uint64_t number = first; number < end; ++number) {
      const ClaimEntry entry{
          SuppliedRunKey({"acme"}, "order-" + std::to_string(number)),
          {{"10.0.0.2:7000"}, {3}, number}};
      const auto started =
          handle(OnClaimMessage(state, {.shard = {0}, .entry = entry}, now));
      append = started ? started : append;
    }
    while (append) {
      ++appends;
      bytes += EncodeBatch(append->batch).size();
      const AppendAnswered created{.shard = {0},
                                   .number = append->number,
                                   .status = AppendStatus::kCreated};
      now += kAppendInterval;
      append = handle(OnAppendAnswered(state, created, now));
    }
  }
  const std::chrono::duration<double> time =
      std::chrono::steady_clock::now() - start;
  std::cout << "claims collected: "
            << static_cast<double>(kClaims) / time.count() << " per second, "
            << appends << " appends, "
            << static_cast<double>(bytes) / static_cast<double>(kClaims)
            << " bytes per claim\n";
  BOOST_TEST(owned == kClaims);
  BOOST_TEST(state.known_claims == kClaims);
}

// Guards against more records than the limit allows. Prints the rate of orders
// with minted keys in the claim core and the memory of a record.
BOOST_AUTO_TEST_CASE(RecordsOfMintedKeysAreLimited) {
  ClaimState state = Daemon();
  std::uint64_t token = 0;
  std::uint64_t ran = 0;
  const std::size_t before = mallinfo2().uordblks;
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t order = 0; order <= kMaxRecords; ++order) {
    const std::string key = MintKeyFor(state, {"acme"}, kNow);
    const Actions actions =
        OnRequestArrived(state, Request(++token, key), kNow);
    if (Find<RunNow>(actions) == nullptr)
      continue;
    ++ran;
    OnRequestSent(state, {token});
    OnRunFinished(state, {token}, {.end = RunEnd::kAnswered, .status = 201},
                  kNow);
  }
  const std::chrono::duration<double> time =
      std::chrono::steady_clock::now() - start;
  const auto used = static_cast<double>(mallinfo2().uordblks - before);
  std::cout << "orders with minted keys: "
            << static_cast<double>(ran) / time.count() << " per second, "
            << used / static_cast<double>(kMaxRecords) << " bytes each\n";
  BOOST_TEST(ran == kMaxRecords);
  OnTick(state, kNow + minutes(21));
  BOOST_TEST(state.runs.empty());
}

// Guards against log entries and messages that are decoded to other claims than
// those that were encoded.
BOOST_AUTO_TEST_CASE(CodecsPreserveClaims) {
  const RunKey key = SuppliedRunKey({"acme"}, "order-1");
  BOOST_TEST((key != SuppliedRunKey({"acm"}, "eorder-1")));
  const Claimant claimant{{"10.0.0.2:7000"}, {3}, 9};
  ClaimBatch batch{.writer = {"w"}, .incarnation = {4}, .number = 5};
  batch.claims = {{key, claimant},
                  {SuppliedRunKey({"b"}, "c"), {{"x"}, {1}, 2}},
                  {SuppliedRunKey({"b"}, "d"), claimant}};
  BOOST_TEST((DecodeBatch(EncodeBatch(batch)).value() == batch));
  BOOST_TEST(!DecodeBatch("not an entry").has_value());
  const ClaimMessage message{.shard = {63}, .entry = {key, claimant}};
  const auto read =
      DecodeClaim(EncodeClaim(message), claimant.daemon, claimant.incarnation);
  BOOST_TEST((read.value().entry == message.entry));
  const ClaimResult result{.entry = {key, claimant},
                           .verdict = ClaimVerdict::kOwned,
                           .owner = {{"y"}, {6}, 1}};
  const auto got = DecodeClaimResult(EncodeClaimResult(result), claimant.daemon,
                                     claimant.incarnation);
  BOOST_TEST((got.value().owner == result.owner));
  BOOST_TEST((got.value().entry == result.entry));
  BOOST_TEST(LogEntryKey({3}, 17) ==
             "poplarfork/claims/03/00000000000000000017");
}

}  // namespace poplarfork::claim
