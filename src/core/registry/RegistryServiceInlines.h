#pragma once

#include "core/registry/RegistryService.h"

#include <algorithm>

namespace teaselturn {

namespace registry {
    /// A member that heard nothing of a leader for this long does not answer feeds and control requests: what it has
    /// may be old.
    inline constexpr std::chrono::milliseconds contactPatience { 1'000 };
    /// How often a process asks to become a member.
    inline constexpr std::chrono::milliseconds joinInterval { 300 };
    /// How long a request to join counts.
    inline constexpr std::chrono::seconds joinMemory { 2 };
}

template <RandomSource Random, RegistryCodec Codec>
RegistryService<Random, Codec>::RegistryService(MemberState state, std::vector<NodeId> seeds, Random random, Codec codec, Instant now, RegistryOptions options)
    : self(state.node)
    , disk(state.disk)
    , seeds(std::move(seeds))
    , options(options)
    , member(state, options.election, std::move(random), now)
    , coordinator(options.leases)
    , codec(std::move(codec))
    , leaderHeardAt(now - registry::contactPatience)
    , joinAskedAt(now)
{
    if (state.snapshot) {
        this->install(*state.snapshot);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::tick(Instant now)
{
    this->member.tick(now);
    this->followLeadership(now);
    this->decide(now);
    this->askToJoin(now);
    this->answerFeeds(now);
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::receive(Instant now, NodeId from, const PeerMessage& message)
{
    if (const auto* request = std::get_if<FeedRequest>(&message)) {
        this->takeFeedRequest(now, from, *request);
    } else if (const auto* report = std::get_if<KeyLoadReport>(&message)) {
        this->takeLoadReport(now, from, *report);
    } else if (const auto* probe = std::get_if<MemberProbe>(&message)) {
        if (this->isCurrent(now)) {
            this->reply(from, MemberProbeReply { probe->sequence });
        }
    } else if (const auto* join = std::get_if<JoinRequest>(&message)) {
        this->takeJoinRequest(now, from, *join);
    } else {
        this->member.receive(now, from, message);
        this->noteLeader(now, from, message);
    }
    this->followLeadership(now);
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::isInContact(Instant now) const noexcept
{
    return this->leads(now) || (this->member.leader() != NodeId {} && this->member.leader() != this->self && now - this->leaderHeardAt < registry::contactPatience);
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::isCurrent(Instant now) const noexcept
{
    if (this->leads(now)) {
        return true;
    }
    // Before an entry of its term is committed, a leader's commit index may be far behind, zero after a common restart.
    const bool isOfTerm = this->appliedTerm == this->member.term();
    return isOfTerm && this->isInContact(now) && this->earlierLeaderCommit && this->registry.appliedIndex() >= *this->earlierLeaderCommit;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::noteLeader(Instant now, NodeId from, const PeerMessage& message)
{
    std::optional<LogIndex> commit;
    if (const auto* append = std::get_if<AppendRequest>(&message)) {
        commit = append->commitIndex;
    } else if (const auto* chunk = std::get_if<SnapshotChunk>(&message)) {
        commit = chunk->lastIndex;
    }
    if (!commit || this->member.leader() != from) {
        return;
    }
    this->leaderHeardAt = now;
    this->earlierLeaderCommit = std::exchange(this->leaderCommit, commit);
}

template <RandomSource Random, RegistryCodec Codec>
ControlResult RegistryService<Random, Codec>::elsewhere() const
{
    const auto leader = this->member.leader();
    if (leader == NodeId {} || leader == this->self) {
        return LeaderUnavailable {};
    }
    return RedirectToLeader { leader };
}

template <RandomSource Random, RegistryCodec Codec>
std::optional<ControlResult> RegistryService<Random, Codec>::redirectForRead(Instant now) const
{
    if (this->leads(now)) {
        return std::nullopt;
    }
    return this->isInContact(now) ? this->elsewhere() : ControlResult { LeaderUnavailable {} };
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::propose(Instant now, Command command, Waiting waiting)
{
    const auto index = this->member.propose(now, std::move(command));
    if (!index) {
        return false;
    }
    this->pendingDecisions += std::holds_alternative<Decision>(waiting) ? 1 : 0;
    this->pending.emplace(*index, Pending { this->member.term(), std::move(waiting) });
    return true;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::depart(Instant now, ControlRequestId requestId, std::string_view upstream, std::optional<std::uint64_t> incarnation)
{
    if (auto refusal = this->redirectForRead(now)) {
        this->answer(requestId, std::move(*refusal));
        return;
    }
    const auto* known = this->registry.findUpstream(upstream);
    if (known == nullptr || known->state == UpstreamState::Gone || (incarnation && known->announcement.key.incarnation != *incarnation)) {
        this->answer(requestId, DepartureRecorded {});
        return;
    }
    if (!this->propose(now, RemoveUpstream { known->announcement.key, true }, WaitingDeparture { requestId })) {
        this->answer(requestId, LeaderUnavailable {});
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::changeItems(Instant now, ControlRequestId requestId, ChangeItems change)
{
    if (auto refusal = this->redirectForRead(now)) {
        this->answer(requestId, std::move(*refusal));
        return;
    }
    if (const auto checked = this->registry.check(change); !checked) {
        this->answer(requestId, ItemsResult { static_cast<ResultCode>(checked.error().value()), checked.failure().detail });
        return;
    }
    if (this->registry.isInForce(change)) {
        this->answer(requestId, ItemsResult {});
        return;
    }
    if (this->joinPending(requestId, change)) {
        return;
    }
    if (!this->propose(now, change, WaitingItems { change, { requestId } })) {
        this->answer(requestId, LeaderUnavailable {});
    }
}

/// @return True where the same change is on its way; the request is then answered with it.
template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::joinPending(ControlRequestId requestId, const ChangeItems& change)
{
    for (auto& [index, entry] : this->pending) {
        auto* items = std::get_if<WaitingItems>(&entry.waiting);
        if (items != nullptr && items->change == change) {
            items->requestIds.push_back(requestId);
            return true;
        }
    }
    return false;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::followLeadership(Instant now)
{
    const auto isLeader = this->member.role() == MemberRole::Leader;
    if (this->coordinatedTerm != Term {} && (!isLeader || this->member.term() != this->coordinatedTerm)) {
        this->coordinatedTerm = Term {};
        this->dropPending();
    }
    // The leader lease implies that an entry of this term is committed; the applied state then holds every earlier one.
    if (isLeader && this->coordinatedTerm == Term {} && this->member.hasLeaderLease(now) && this->registry.appliedIndex() >= this->member.commitIndex()) {
        this->coordinatedTerm = this->member.term();
        this->coordinator.becameLeader(now, this->registry);
        this->joiners.clear();
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::decide(Instant now)
{
    if (!this->leads(now)) {
        return;
    }
    this->changeMembers(now);
    if (this->pendingDecisions > 0) {
        return;
    }
    for (auto& command : this->coordinator.decide(now, this->registry)) {
        if (!this->propose(now, std::move(command), Decision {})) {
            return;
        }
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::changeMembers(Instant now)
{
    std::vector<JoinCandidate> candidates;
    for (const auto& [node, joiner] : this->joiners) {
        if (now - joiner.heardAt <= registry::joinMemory) {
            candidates.push_back({ node, joiner.disk });
        }
    }
    std::vector<MemberContact> contacts;
    for (const auto& spec : this->member.members()) {
        contacts.push_back({ spec, this->member.timeSinceContact(spec.node, now) });
    }
    for (auto& change : planJoins(contacts, candidates, this->options.joins)) {
        // The member refuses a change while another is pending, and a promotion of a learner that lags.
        if (this->member.propose(now, std::move(change))) {
            return;
        }
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::askToJoin(Instant now)
{
    const auto members = this->member.members();
    const auto isMember = std::ranges::any_of(members, [this](const MemberSpec& spec) { return spec.node == this->self && spec.disk == this->disk; });
    if (isMember || now - this->joinAskedAt < registry::joinInterval) {
        return;
    }
    this->joinAskedAt = now;
    std::vector<NodeId> asked { this->seeds };
    std::ranges::transform(members, std::back_inserter(asked), &MemberSpec::node);
    std::ranges::sort(asked);
    asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
    for (const auto node : asked) {
        if (node != this->self) {
            this->reply(node, JoinRequest { this->self, this->disk });
        }
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::takeJoinRequest(Instant now, NodeId from, const JoinRequest& request)
{
    if (this->leads(now)) {
        this->joiners[request.node] = Joiner { request.disk, now };
    } else if (from == request.node && this->isInContact(now)) {
        this->reply(this->member.leader(), request);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::takeLoadReport(Instant now, NodeId from, const KeyLoadReport& report)
{
    if (this->leads(now)) {
        this->coordinator.addLoad(now, report, this->registry);
        this->reply(report.entry, KeyLoadReply { this->coordinator.entryCount(now) });
    } else if (from == report.entry && this->isInContact(now)) {
        this->reply(this->member.leader(), report);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::dropPending()
{
    for (auto& [index, entry] : this->pending) {
        if (const auto* heartbeat = std::get_if<WaitingHeartbeat>(&entry.waiting)) {
            this->answer(heartbeat->requestId, LeaderUnavailable {});
        } else if (const auto* items = std::get_if<WaitingItems>(&entry.waiting)) {
            for (const auto requestId : items->requestIds) {
                this->answer(requestId, LeaderUnavailable {});
            }
        } else if (const auto* departure = std::get_if<WaitingDeparture>(&entry.waiting)) {
            this->answer(departure->requestId, LeaderUnavailable {});
        }
    }
    while (const auto held = this->heldHeartbeats.takeAny()) {
        this->answer(held->requestId, LeaderUnavailable {});
    }
    this->pending.clear();
    this->pendingDecisions = 0;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::settle(Instant now, const LogEntry& entry, const ApplyOutcome& outcome)
{
    const auto found = this->pending.find(entry.index);
    if (found == this->pending.end()) {
        return;
    }
    const auto held = std::move(found->second);
    this->pending.erase(found);
    const bool isOurs = held.term == entry.term;
    if (std::holds_alternative<Decision>(held.waiting)) {
        --this->pendingDecisions;
    } else if (const auto* heartbeat = std::get_if<WaitingHeartbeat>(&held.waiting)) {
        if (isOurs && this->leads(now)) {
            this->takeHeartbeat(now, heartbeat->requestId, heartbeat->heartbeat);
        } else {
            this->answer(heartbeat->requestId, LeaderUnavailable {});
        }
    } else if (const auto* items = std::get_if<WaitingItems>(&held.waiting)) {
        for (const auto requestId : items->requestIds) {
            this->answer(requestId, isOurs ? ControlResult { ItemsResult { outcome.code, {} } } : ControlResult { LeaderUnavailable {} });
        }
    } else if (const auto* departure = std::get_if<WaitingDeparture>(&held.waiting)) {
        this->answer(departure->requestId, isOurs ? ControlResult { DepartureRecorded {} } : ControlResult { LeaderUnavailable {} });
    }
}

template <RandomSource Random, RegistryCodec Codec>
RegistryEffects RegistryService<Random, Codec>::takeEffects(Instant now)
{
    RegistryEffects effects;
    effects.storage = this->member.takeEffects();
    this->takenThrough = this->member.lastIndex();
    if (effects.storage.install) {
        this->install(*effects.storage.install);
    }
    this->applyCommitted(now, std::move(effects.storage.committed));
    effects.storage.committed.clear();
    this->followLeadership(now);
    this->answerHeartbeats(now);
    this->answerFeeds(now);
    effects.applied = std::exchange(this->appliedCommands, {});
    effects.answers = std::exchange(this->answers, {});
    effects.immediate = std::exchange(effects.storage.immediate, {});
    effects.afterPersist = std::exchange(effects.storage.afterPersist, {});
    std::ranges::move(std::exchange(this->replies, {}), std::back_inserter(effects.immediate));
    const auto applied = this->registry.appliedIndex();
    if (!this->isSnapshotPending && applied.value >= this->member.firstIndex().value + this->options.snapshotInterval) {
        this->isSnapshotPending = true;
        const auto members = this->member.membersAt(applied);
        effects.snapshot = LedgerSnapshot { applied, this->appliedTerm, { members.begin(), members.end() }, this->codec.encode(this->registry.snapshot()) };
    }
    return effects;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::install(const LedgerSnapshot& snapshot)
{
    auto decoded = this->codec.decode(snapshot.bytes);
    if (!decoded) {
        this->failure = decoded.failure();
        return;
    }
    this->registry.restore(std::move(*decoded));
    this->appliedTerm = snapshot.lastTerm;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::applyCommitted(Instant now, std::vector<LogEntry> entries)
{
    for (auto& entry : entries) {
        if (entry.index <= this->registry.appliedIndex()) {
            continue;
        }
        const auto outcome = this->registry.apply(entry.index, entry.command);
        this->appliedTerm = entry.term;
        this->noteNews(entry.command);
        this->settle(now, entry, outcome);
        this->appliedCommands.push_back({ std::move(entry), outcome });
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::persisted(Instant now)
{
    this->member.persisted(now, this->takenThrough);
    this->followLeadership(now);
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::snapshotSaved(const LedgerSnapshot& snapshot)
{
    this->isSnapshotPending = false;
    this->member.compacted(snapshot);
}

}

#include "core/registry/RegistryFeedInlines.h"
#include "core/registry/RegistryHeartbeatInlines.h"
