#include "release/publish_func.h"

#include <algorithm>
#include <utility>

#include "note/chain_hash_func.h"
#include "release/install_func.h"
#include "release/key_func.h"
#include "release/learn_func.h"
#include "release/member_func.h"
#include "release/publish_check_func.h"
#include "release/release_type.h"
#include "release/store_traffic_func.h"
#include "release/sync_func.h"

namespace poplarfork::release {

namespace {

// Peers that must acknowledge an entry before its publication is reported as
// accepted, so that the entry survives a store outage and the failure of one
// daemon.
constexpr std::uint32_t kNeededHolders = 2;

void Count(ReleaseCounters& counters, PublishOutcome outcome) {
  if (outcome == PublishOutcome::kAccepted)
    ++counters.accepted;
  else if (outcome == PublishOutcome::kRejected)
    ++counters.rejected;
  else
    ++counters.unknown;
}

void Answer(Context& context, PublishResult result) {
  Count(context.state.counters, result.outcome);
  context.actions.emplace_back(std::move(result));
}

void StartNext(Context& context);

// Reports the result of the publication at the head of the queue, removes it,
// and starts the next one.
void Finish(Context& context,
            PublishOutcome outcome,
            std::string reason,
            std::string detail) {
  ReleaseState& state = context.state;
  const Publication& first = state.publications.front();
  PublishResult result{first.request.id, first.note.id,     outcome,
                       first.revision,   std::move(reason), std::move(detail)};
  state.publications.pop_front();
  Answer(context, std::move(result));
  StartNext(context);
}

// Ends the current publication, whose entry was not found in the log. The
// result is kUnknown if a create may still put it there, and else kRejected.
void FinishWithoutEntry(Context& context,
                        const std::string& reason,
                        const std::string& detail) {
  const Publication& first = context.state.publications.front();
  // After a conflict, the entry that took the revision has not been read; it
  // may hold this note from an earlier attempt.
  const bool in_doubt = first.write_in_doubt || first.refused ||
                        first.phase == PublishPhase::kCreate;
  if (in_doubt) {
    return Finish(
        context, PublishOutcome::kUnknown, reason,
        "the note may have been written; publish it again with the same "
        "note id to learn the outcome");
  }
  Finish(context, PublishOutcome::kRejected, reason, detail);
}

void ReadLog(Context& context, PublishPhase phase) {
  Publication& first = context.state.publications.front();
  first.phase = phase;
  first.call = IssueStoreCall(context, StorePurpose::kPublishRead,
                              ReadLogCall(context.state));
}

void WaitAndRetry(Context& context) {
  const ReleaseSettings& settings = context.state.settings;
  Publication& first = context.state.publications.front();
  first.phase = PublishPhase::kWait;
  first.retry_at = context.now + Backoff(settings.first_backoff,
                                         settings.longest_publish_backoff,
                                         first.attempts++, context.rng);
}

// Sends the published entry to random peers, asks them to acknowledge it, and
// sets the time of the next attempt.
void AskHolders(Context& context) {
  ReleaseState& state = context.state;
  Publication& first = state.publications.front();
  const proto::LogEntry* entry = FindRecent(state.install, first.revision);
  first.retry_at = context.now + state.settings.peer_timeout / 2;
  if (entry == nullptr)
    return;
  const std::vector<Member> peers = ChoosePeers(
      state.members, state.settings.forward_peers, state.self.id, context.rng);
  for (const Member& peer : peers)
    SendEntry(context, peer.id, *entry, true);
}

// Reports the publication as accepted once enough peers have acknowledged the
// entry, the timeout has passed, or the entry is no longer among the recent
// entries and cannot be sent again.
void EndReplicationIfHeld(Context& context) {
  const ReleaseState& state = context.state;
  const Publication& first = state.publications.front();
  const std::size_t needed =
      std::min<std::size_t>(kNeededHolders, state.members.size());
  const bool held = first.holders.size() >= needed;
  const bool over = context.now >= first.replicate_until;
  const bool gone = FindRecent(state.install, first.revision) == nullptr;
  if (!held && !over && !gone)
    return;
  const char* reason = first.already_published ? "already_published" : "";
  Finish(context, PublishOutcome::kAccepted, reason, "");
}

void StartReplication(Context& context, base::Revision revision) {
  Publication& first = context.state.publications.front();
  first.phase = PublishPhase::kReplicate;
  first.revision = revision;
  first.replicate_until =
      context.now + context.state.settings.replicate_timeout;
  AskHolders(context);
  EndReplicationIfHeld(context);
}

proto::LogEntry NextEntry(const ReleaseState& state,
                          const Publication& publication) {
  proto::LogEntry entry;
  entry.set_revision(InstalledNumber(state) + 1);
  entry.set_note_id(publication.note.id.value);
  entry.set_author(publication.note.author);
  entry.set_published_unix_ms(publication.request.unix_ms);
  entry.set_predecessor_hash(state.install.configuration.hash);
  entry.set_note_yaml(publication.request.yaml);
  return entry;
}

// Sends a create-if-absent of the entry under the next revision. The guard on
// the entry before it makes the create fail if the log was compacted beyond the
// installed revision.
void Create(Context& context) {
  ReleaseState& state = context.state;
  Publication& first = state.publications.front();
  const std::uint64_t installed = InstalledNumber(state);
  StoreCall call;
  call.kind = StoreCallKind::kCreate;
  call.key = EntryKey({installed + 1});
  first.sent = NextEntry(state, first);
  call.value = first.sent.SerializeAsString();
  if (installed > 0)
    call.guard_key = EntryKey({installed});
  first.phase = PublishPhase::kCreate;
  first.call =
      IssueStoreCall(context, StorePurpose::kPublishCreate, std::move(call));
}

// Continues a publication once all entries of the store's log are installed:
// ends it if the note is already in the log or can no longer be applied, and
// else creates its entry under the next revision.
void Decide(Context& context) {
  ReleaseState& state = context.state;
  Publication& first = state.publications.front();
  if (const PublishedNote* known = FindNoteId(state.install, first.note.id)) {
    if (known->text_hash != first.text_hash) {
      first.write_in_doubt = false;
      return FinishWithoutEntry(context, "note_id_used",
                                "the id is used by another note, revision " +
                                    std::to_string(known->revision.value));
    }
    first.already_published = first.attempts == 0 && !first.write_in_doubt;
    return StartReplication(context, known->revision);
  }
  const Refusal refusal = CheckNote(state.install, first.note);
  if (refusal.refused)
    return FinishWithoutEntry(context, refusal.reason, refusal.detail);
  Create(context);
}

void OnReadAnswer(Context& context, const StoreAnswer& answer) {
  ReleaseState& state = context.state;
  Publication& first = state.publications.front();
  if (answer.kind == StoreAnswerKind::kNoAnswer) {
    if (first.phase == PublishPhase::kReadHead)
      return FinishWithoutEntry(context, "store_unavailable",
                                "the store did not reply; nothing was written");
    return WaitAndRetry(context);
  }
  if (!LearnItems(context, answer.items, true)) {
    StartSync(context);
    return FinishWithoutEntry(context, "behind_the_log",
                              "this daemon is behind the log; publish again");
  }
  // Once an entry with its revision is installed, an unanswered create can no
  // longer take effect.
  if (InstalledNumber(state) >= first.sent.revision()) {
    first.write_in_doubt = false;
    first.refused = false;
  }
  if (first.refused) {
    StartSync(context);
    first.refused = false;
    return FinishWithoutEntry(context, "behind_the_log",
                              "this daemon is behind the log; publish again");
  }
  if (answer.items.size() >= state.settings.entries_per_read)
    return ReadLog(context, first.phase);
  Decide(context);
}

void OnCreated(Context& context) {
  ReleaseState& state = context.state;
  Publication& first = state.publications.front();
  first.write_in_doubt = false;
  const PublishedNote* known = FindNoteId(state.install, first.note.id);
  if (known == nullptr) {
    LearnEntry(context, first.sent, EntrySource{{}, false});
    known = FindNoteId(state.install, first.note.id);
  }
  if (known == nullptr)
    return WaitAndRetry(context);
  StartReplication(context, known->revision);
}

void StartNext(Context& context) {
  ReleaseState& state = context.state;
  if (state.publications.empty())
    return;
  Publication& first = state.publications.front();
  if (first.phase != PublishPhase::kQueued)
    return;
  first.deadline = context.now + state.settings.publish_timeout;
  // A note that is installed is in the log, so no reply of the store is needed.
  if (FindNoteId(state.install, first.note.id))
    return Decide(context);
  ReadLog(context, PublishPhase::kReadHead);
}

void TickFirst(Context& context) {
  const Publication& first = context.state.publications.front();
  if (first.phase == PublishPhase::kReplicate) {
    if (context.now >= first.retry_at)
      AskHolders(context);
    return EndReplicationIfHeld(context);
  }
  if (context.now >= first.deadline) {
    return FinishWithoutEntry(context, "store_unavailable",
                              "the store did not reply in time");
  }
  if (first.phase == PublishPhase::kWait && context.now >= first.retry_at)
    ReadLog(context, PublishPhase::kReadBack);
}

}  // namespace

void OnPublishRequest(Context& context, const PublishRequest& request) {
  ReleaseState& state = context.state;
  Publication publication;
  publication.request = request;
  const Refusal refusal = ReadPublication(state, publication);
  if (refusal.refused) {
    return Answer(context, PublishResult{request.id,
                                         publication.note.id,
                                         PublishOutcome::kRejected,
                                         {},
                                         refusal.reason,
                                         refusal.detail});
  }
  state.publications.push_back(std::move(publication));
  if (state.publications.size() == 1)
    StartNext(context);
}

void OnPublishAnswer(Context& context,
                     StorePurpose purpose,
                     const StoreAnswer& answer) {
  if (context.state.publications.empty())
    return;
  Publication& first = context.state.publications.front();
  if (answer.call != first.call)
    return;
  const bool reads = first.phase == PublishPhase::kReadHead ||
                     first.phase == PublishPhase::kReadBack;
  if (purpose == StorePurpose::kPublishRead && reads)
    return OnReadAnswer(context, answer);
  if (purpose != StorePurpose::kPublishCreate ||
      first.phase != PublishPhase::kCreate) {
    return;
  }
  if (answer.kind == StoreAnswerKind::kCreated)
    return OnCreated(context);
  if (answer.kind == StoreAnswerKind::kConflict) {
    first.refused = true;
    return ReadLog(context, PublishPhase::kReadBack);
  }
  first.write_in_doubt = true;
  WaitAndRetry(context);
}

void OnEntryAck(Context& context,
                const base::DaemonId& peer,
                const proto::EntryAck& ack) {
  if (context.state.publications.empty())
    return;
  Publication& first = context.state.publications.front();
  const proto::LogEntry* entry =
      FindRecent(context.state.install, first.revision);
  const bool waits = first.phase == PublishPhase::kReplicate &&
                     first.revision.value == ack.revision();
  if (!waits || entry == nullptr || note::ChainHash(*entry) != ack.hash())
    return;
  first.holders.insert(peer);
  EndReplicationIfHeld(context);
}

void TickPublish(Context& context) {
  if (!context.state.publications.empty())
    TickFirst(context);
}

}  // namespace poplarfork::release
