#include "release/publish_func.h"

#include <algorithm>
#include <utility>

#include "note/chain_hash_func.h"
#include "release/install_func.h"
#include "release/key_func.h"
#include "release/log_entry_func.h"
#include "release/member_func.h"
#include "release/publish_check_func.h"
#include "release/release_type.h"
#include "release/store_call_queue_func.h"
#include "release/sync_func.h"

namespace poplarfork::release {

namespace {

// Number of peers that should acknowledge an entry before its publication is
// reported as accepted, so that the entry survives a store outage and the
// failure of one daemon. After `replication_timeout`, the publication is
// reported as accepted even if fewer peers have acknowledged the entry.
constexpr std::uint32_t kRequiredAcks = 2;

void CountOutcome(ReleaseCounters& counters, PublishOutcome outcome) {
  if (outcome == PublishOutcome::kAccepted)
    ++counters.accepted;
  else if (outcome == PublishOutcome::kRejected)
    ++counters.rejected;
  else
    ++counters.unknown;
}

void EmitResult(Context& context, PublishResult result) {
  CountOutcome(context.state.counters, result.outcome);
  context.actions.emplace_back(std::move(result));
}

void StartNextPublication(Context& context);

// Reports the result of the publication at the head of the queue, removes it,
// and starts the next one.
void FinishPublication(Context& context,
                       PublishOutcome outcome,
                       std::string reason,
                       std::string detail) {
  ReleaseState& state = context.state;
  const Publication& current = state.publications.front();
  PublishResult result{
      current.request.id, current.note.id,   outcome,
      current.revision,   std::move(reason), std::move(detail)};
  state.publications.pop_front();
  EmitResult(context, std::move(result));
  StartNextPublication(context);
}

// Ends the current publication, whose entry was not found in the log. The
// result is kUnknown if a create may still put it there, and else kRejected.
void FinishUnpublished(Context& context,
                       const std::string& reason,
                       const std::string& detail) {
  const Publication& current = context.state.publications.front();
  // After a conflict, the entry that took the revision has not been read; it
  // may hold this note from an earlier attempt.
  const bool is_in_doubt = current.create_in_doubt ||
                           current.create_conflicted ||
                           current.phase == PublishPhase::kCreate;
  if (is_in_doubt) {
    return FinishPublication(
        context, PublishOutcome::kUnknown, reason,
        "the note may have been written; publish it again with the same "
        "note id to learn the outcome");
  }
  FinishPublication(context, PublishOutcome::kRejected, reason, detail);
}

void ReadLogForPublish(Context& context, PublishPhase phase) {
  Publication& current = context.state.publications.front();
  current.phase = phase;
  current.pending_call = IssueStoreCall(context, StoreCallPurpose::kPublishRead,
                                        MakeReadLogCall(context.state));
}

void ScheduleRetry(Context& context) {
  const ReleaseSettings& settings = context.state.settings;
  Publication& current = context.state.publications.front();
  current.phase = PublishPhase::kBackoff;
  current.retry_at =
      context.now + BackoffDelay(settings.initial_backoff,
                                 settings.max_publish_backoff,
                                 current.attempts++, context.rng);
}

// Sends the published entry to random peers, asks them to acknowledge it, and
// sets the time of the next attempt.
void SendEntryForAck(Context& context) {
  ReleaseState& state = context.state;
  Publication& current = state.publications.front();
  const proto::LogEntry* entry =
      FindRecentEntry(state.install, current.revision);
  current.retry_at = context.now + state.settings.peer_timeout / 2;
  if (entry == nullptr)
    return;
  const std::vector<Member> peers = ChooseRandomPeers(
      state.members, state.settings.forward_fanout, state.self.id, context.rng);
  for (const Member& peer : peers)
    SendEntry(context, peer.id, *entry, true);
}

// Reports the publication as accepted once enough peers have acknowledged the
// entry, the timeout has passed, or the entry is no longer among the recent
// entries and cannot be sent again.
void FinishIfReplicated(Context& context) {
  const ReleaseState& state = context.state;
  const Publication& current = state.publications.front();
  const std::size_t required_acks =
      std::min<std::size_t>(kRequiredAcks, state.members.size());
  const bool is_replicated = current.acked_peers.size() >= required_acks;
  const bool is_timed_out = context.now >= current.replication_deadline;
  const bool is_entry_evicted =
      FindRecentEntry(state.install, current.revision) == nullptr;
  if (!is_replicated && !is_timed_out && !is_entry_evicted)
    return;
  const char* reason = current.already_published ? "already_published" : "";
  FinishPublication(context, PublishOutcome::kAccepted, reason, "");
}

void StartReplication(Context& context, base::Revision revision) {
  Publication& current = context.state.publications.front();
  current.phase = PublishPhase::kReplicate;
  current.revision = revision;
  current.replication_deadline =
      context.now + context.state.settings.replication_timeout;
  SendEntryForAck(context);
  FinishIfReplicated(context);
}

proto::LogEntry MakeNextEntry(const ReleaseState& state,
                              const Publication& publication) {
  proto::LogEntry entry;
  entry.set_revision(InstalledRevisionNumber(state) + 1);
  entry.set_note_id(publication.note.id.value);
  entry.set_author(publication.note.author);
  entry.set_published_unix_ms(publication.request.published_unix_ms);
  entry.set_predecessor_hash(state.install.configuration.hash);
  entry.set_note_yaml(publication.request.yaml);
  return entry;
}

// Sends a create-if-absent of the entry under the next revision. The guard on
// the entry before it makes the create fail if the log was compacted beyond the
// installed revision.
void CreateEntry(Context& context) {
  ReleaseState& state = context.state;
  Publication& current = state.publications.front();
  const std::uint64_t installed = InstalledRevisionNumber(state);
  StoreCall call;
  call.kind = StoreCallKind::kCreate;
  call.key = EntryKey({installed + 1});
  current.sent_entry = MakeNextEntry(state, current);
  call.value = current.sent_entry.SerializeAsString();
  if (installed > 0)
    call.guard_key = EntryKey({installed});
  current.phase = PublishPhase::kCreate;
  current.pending_call = IssueStoreCall(
      context, StoreCallPurpose::kPublishCreate, std::move(call));
}

// Continues a publication once all entries of the store's log are installed:
// ends it if the note is already in the log or can no longer be applied, and
// else creates its entry under the next revision.
void CreateUnlessPublished(Context& context) {
  ReleaseState& state = context.state;
  Publication& current = state.publications.front();
  if (const PublishedNote* published =
          FindPublishedNote(state.install, current.note.id)) {
    if (published->text_hash != current.text_hash) {
      current.create_in_doubt = false;
      return FinishUnpublished(context, "note_id_used",
                               "the id is used by another note, revision " +
                                   std::to_string(published->revision.value));
    }
    current.already_published =
        current.attempts == 0 && !current.create_in_doubt;
    return StartReplication(context, published->revision);
  }
  const PublishRejection rejection =
      CheckNoteApplies(state.install, current.note);
  if (rejection.rejected)
    return FinishUnpublished(context, rejection.reason, rejection.detail);
  CreateEntry(context);
}

void OnPublishReadReply(Context& context, const StoreReply& reply) {
  ReleaseState& state = context.state;
  Publication& current = state.publications.front();
  if (reply.kind == StoreReplyKind::kNoReply) {
    if (current.phase == PublishPhase::kReadHead)
      return FinishUnpublished(context, "store_unavailable",
                               "the store did not reply; nothing was written");
    return ScheduleRetry(context);
  }
  if (!InstallStoreItems(context, reply.items, true)) {
    StartSync(context);
    return FinishUnpublished(context, "behind_the_log",
                             "this daemon is behind the log; publish again");
  }
  // Once an entry with its revision is installed, a create that got no reply
  // can no longer take effect.
  if (InstalledRevisionNumber(state) >= current.sent_entry.revision()) {
    current.create_in_doubt = false;
    current.create_conflicted = false;
  }
  if (current.create_conflicted) {
    StartSync(context);
    current.create_conflicted = false;
    return FinishUnpublished(context, "behind_the_log",
                             "this daemon is behind the log; publish again");
  }
  if (reply.items.size() >= state.settings.max_entries_per_read)
    return ReadLogForPublish(context, current.phase);
  CreateUnlessPublished(context);
}

void OnEntryCreated(Context& context) {
  ReleaseState& state = context.state;
  Publication& current = state.publications.front();
  current.create_in_doubt = false;
  const PublishedNote* published =
      FindPublishedNote(state.install, current.note.id);
  if (published == nullptr) {
    InstallAndForwardEntry(context, current.sent_entry, EntrySource{{}, false});
    published = FindPublishedNote(state.install, current.note.id);
  }
  if (published == nullptr)
    return ScheduleRetry(context);
  StartReplication(context, published->revision);
}

void StartNextPublication(Context& context) {
  ReleaseState& state = context.state;
  if (state.publications.empty())
    return;
  Publication& current = state.publications.front();
  if (current.phase != PublishPhase::kQueued)
    return;
  current.deadline = context.now + state.settings.publish_timeout;
  // A note that is installed is in the log, so no reply of the store is needed.
  if (FindPublishedNote(state.install, current.note.id))
    return CreateUnlessPublished(context);
  ReadLogForPublish(context, PublishPhase::kReadHead);
}

void TickFirstPublication(Context& context) {
  const Publication& current = context.state.publications.front();
  if (current.phase == PublishPhase::kReplicate) {
    if (context.now >= current.retry_at)
      SendEntryForAck(context);
    return FinishIfReplicated(context);
  }
  if (context.now >= current.deadline) {
    return FinishUnpublished(context, "store_unavailable",
                             "the store did not reply in time");
  }
  if (current.phase == PublishPhase::kBackoff &&
      context.now >= current.retry_at)
    ReadLogForPublish(context, PublishPhase::kReadBack);
}

}  // namespace

void OnPublishRequest(Context& context, const PublishRequest& request) {
  ReleaseState& state = context.state;
  Publication publication;
  publication.request = request;
  const PublishRejection rejection = ParsePublishRequest(state, publication);
  if (rejection.rejected) {
    return EmitResult(context, PublishResult{request.id,
                                             publication.note.id,
                                             PublishOutcome::kRejected,
                                             {},
                                             rejection.reason,
                                             rejection.detail});
  }
  state.publications.push_back(std::move(publication));
  if (state.publications.size() == 1)
    StartNextPublication(context);
}

void OnPublishReply(Context& context,
                    StoreCallPurpose purpose,
                    const StoreReply& reply) {
  if (context.state.publications.empty())
    return;
  Publication& current = context.state.publications.front();
  if (reply.call != current.pending_call)
    return;
  const bool is_reading = current.phase == PublishPhase::kReadHead ||
                          current.phase == PublishPhase::kReadBack;
  if (purpose == StoreCallPurpose::kPublishRead && is_reading)
    return OnPublishReadReply(context, reply);
  if (purpose != StoreCallPurpose::kPublishCreate ||
      current.phase != PublishPhase::kCreate) {
    return;
  }
  if (reply.kind == StoreReplyKind::kCreated)
    return OnEntryCreated(context);
  if (reply.kind == StoreReplyKind::kConflict) {
    current.create_conflicted = true;
    return ReadLogForPublish(context, PublishPhase::kReadBack);
  }
  current.create_in_doubt = true;
  ScheduleRetry(context);
}

void OnEntryAck(Context& context,
                const base::DaemonId& peer,
                const proto::EntryAck& ack) {
  if (context.state.publications.empty())
    return;
  Publication& current = context.state.publications.front();
  const proto::LogEntry* entry =
      FindRecentEntry(context.state.install, current.revision);
  const bool is_awaiting_ack = current.phase == PublishPhase::kReplicate &&
                               current.revision.value == ack.revision();
  if (!is_awaiting_ack || entry == nullptr ||
      note::ChainHash(*entry) != ack.hash())
    return;
  current.acked_peers.insert(peer);
  FinishIfReplicated(context);
}

void TickPublish(Context& context) {
  if (!context.state.publications.empty())
    TickFirstPublication(context);
}

}  // namespace poplarfork::release
