#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "base/ids_type.h"
#include "claim/answer_type.h"
#include "claim/claim_batch_type.h"
#include "claim/claim_message_type.h"
#include "claim/run_key_type.h"

namespace poplarfork::claim {

// Asks the driver to send the request to an upstream, once. The driver reports
// the progress with `OnRequestSent`, `OnRunFinished` and possibly
// `OnCallerDisconnected`.
struct RunNow {
  RequestToken token = {};
};

// Asks the driver to keep the request open without reading more of it, because
// its claim is not decided yet or the same work is already running. A later
// action ends the wait.
struct Wait {
  RequestToken token = {};
};

// Asks the driver to relay the request to the only daemon that may run it, with
// `incarnation` and `attempt` in the request. The answer of that daemon goes to
// the caller unchanged. The driver calls `OnRelayFailed` if there is no
// complete answer.
struct RelayToDaemon {
  RequestToken token = {};
  base::DaemonId daemon = {};
  base::Incarnation incarnation = {};
  std::uint64_t attempt = 0;
  // Whether the key of the request is a minted key.
  bool minted = false;
};

// Asks the driver to answer the caller, which ends the request.
struct AnswerCaller {
  RequestToken token = {};
  Answer answer = {};
};

// Asks the driver to abandon a request that was to run and of which no byte was
// sent. The claim state no longer contains the request.
struct StopRun {
  RequestToken token = {};
};

// Asks the driver to send a `CLAIM` envelope, which may be lost.
struct SendClaim {
  base::DaemonId to = {};
  ClaimMessage message = {};
};

// Asks the driver to send a `CLAIM_RESULT` envelope, which may be lost.
struct SendClaimResult {
  base::DaemonId to = {};
  ClaimResult result = {};
};

// Asks the driver to create the entry `entry_number` in the log of `shard` if
// it does not exist. The driver calls `OnAppendReply` exactly once for it,
// within about 2 s.
struct AppendBatch {
  Shard shard = {};
  std::uint64_t entry_number = 0;
  ClaimBatch batch = {};
};

// Asks the driver to read the entries of the log of `shard` from
// `first_entry_number` on. The driver calls `OnReadLogReply` exactly once for
// it.
struct ReadLog {
  Shard shard = {};
  std::uint64_t first_entry_number = 0;
};

using Action = std::variant<RunNow,
                            Wait,
                            RelayToDaemon,
                            AnswerCaller,
                            StopRun,
                            SendClaim,
                            SendClaimResult,
                            AppendBatch,
                            ReadLog>;

using Actions = std::vector<Action>;

}  // namespace poplarfork::claim
