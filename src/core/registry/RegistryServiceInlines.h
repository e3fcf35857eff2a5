#pragma once

#include "core/registry/RegistryService.h"

#include <algorithm>

namespace teaselturn {

namespace registry {
    /// How long a member holds a feed request open when it has nothing new.
    inline constexpr std::chrono::milliseconds feedHold { 300 };
    /// A member that heard nothing of a leader for this long does not answer feeds and calls: what it has may be old.
    inline constexpr std::chrono::milliseconds contactPatience { 1'000 };
    /// How often a process asks to become a member.
    inline constexpr std::chrono::milliseconds joinInterval { 300 };
    /// How long a request to join counts.
    inline constexpr std::chrono::seconds joinMemory { 2 };
    /// Speed at which a long answer arrives at least: compressed to a fifth over a shared link of 1 Mbit/s.
    inline constexpr std::size_t slowestBytesPerMs = 5 * 125;
    /// Entries in one feed answer, in bytes.
    inline constexpr std::size_t feedBytes = 48 * 1024;
    /// Entry VMs that are up to this many entries behind get them in datagrams, a few entries each: a stream that loses a
    /// packet stalls for seconds, and everything behind it.
    inline constexpr std::uint64_t datagramFeedEntries = 96;
    /// Entries in one datagram, in bytes as estimated; compressed they fit.
    inline constexpr std::size_t datagramFeedBytes = 2'000;
    /// Datagrams that answer one request. From another region each further request takes 60 ms, and a link of 2 Mbit/s
    /// carries this many in 50 ms.
    inline constexpr std::size_t feedDatagrams = 8;
    /// Part of a snapshot in one feed answer, in bytes.
    inline constexpr std::size_t feedSnapshotPartBytes = 256 * 1024;
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
CallResult RegistryService<Random, Codec>::elsewhere() const
{
    const auto leader = this->member.leader();
    if (leader == NodeId {} || leader == this->self) {
        return CallUnavailable {};
    }
    return CallElsewhere { leader };
}

template <RandomSource Random, RegistryCodec Codec>
std::optional<CallResult> RegistryService<Random, Codec>::readRefusal(Instant now) const
{
    if (this->leads(now)) {
        return std::nullopt;
    }
    return this->isInContact(now) ? this->elsewhere() : CallResult { CallUnavailable {} };
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
void RegistryService<Random, Codec>::heartbeat(Instant now, CallId call, KeyHeartbeat heartbeat)
{
    if (auto refusal = this->readRefusal(now)) {
        this->answer(call, std::move(*refusal));
        return;
    }
    if (auto command = this->coordinator.registration(heartbeat, this->registry)) {
        if (!this->propose(now, std::move(*command), WaitingHeartbeat { call, std::move(heartbeat) })) {
            this->answer(call, CallUnavailable {});
        }
        return;
    }
    this->takeHeartbeat(now, call, std::move(heartbeat));
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::takeHeartbeat(Instant now, CallId call, KeyHeartbeat heartbeat)
{
    const auto& announcement = heartbeat.announcement;
    const auto* registered = this->registry.findUpstream(announcement.key.name);
    const bool isKnown = registered != nullptr && registered->announcement.key == announcement.key;
    if (!isKnown || !this->coordinator.note(now, heartbeat)) {
        this->answer(call, KeyHeartbeatAnswer {});
        return;
    }
    this->coordinator.takeReleases(now, heartbeat, this->registry);
    const auto* service = this->registry.findService(announcement.service);
    const bool mayHoldKeys = service != nullptr && service->isSharded && this->registry.isAlive(announcement.key);
    if (!mayHoldKeys || this->coordinator.hasNews(heartbeat, this->registry)) {
        this->answer(call, this->coordinator.answer(heartbeat, this->registry));
        return;
    }
    const auto answerBy = now + (announcement.isDraining ? this->options.leases.leavingAnswerHold : this->options.leases.answerHold);
    this->coordinator.answerHeld(announcement.key, answerBy);
    if (const auto earlier = this->heldHeartbeats.add({ call, std::move(heartbeat), answerBy })) {
        this->answer(earlier->call, KeyHeartbeatAnswer {});
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::answerHeartbeats(Instant now)
{
    const auto refusal = this->readRefusal(now);
    const auto settle = [&](const auto& held) {
        this->answer(held->call, refusal ? *refusal : CallResult { this->coordinator.answer(held->heartbeat, this->registry) });
    };
    for (const auto& name : std::exchange(this->upstreamsWithNews, {})) {
        if (const auto held = this->heldHeartbeats.take(name)) {
            settle(held);
        }
    }
    while (const auto held = refusal ? this->heldHeartbeats.takeAny() : this->heldHeartbeats.takeDue(now)) {
        settle(held);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::noteNews(const Command& command)
{
    if (const auto* assigned = std::get_if<AssignKeyRanges>(&command)) {
        for (const auto& grant : assigned->grants) {
            this->upstreamsWithNews.insert(grant.owner.name);
        }
    } else if (const auto* begun = std::get_if<BeginKeyMoves>(&command)) {
        for (const auto& move : begun->moves) {
            if (const auto* range = this->registry.findRange(begun->service, move.first)) {
                this->upstreamsWithNews.insert(range->owner.name);
            }
        }
    } else if (const auto* removed = std::get_if<RemoveUpstream>(&command)) {
        this->upstreamsWithNews.insert(removed->key.name);
    } else if (const auto* registered = std::get_if<RegisterUpstream>(&command)) {
        this->upstreamsWithNews.insert(registered->key.name);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::depart(Instant now, CallId call, std::string_view upstream, std::optional<std::uint64_t> incarnation)
{
    if (auto refusal = this->readRefusal(now)) {
        this->answer(call, std::move(*refusal));
        return;
    }
    const auto* known = this->registry.findUpstream(upstream);
    if (known == nullptr || known->state == UpstreamState::Gone || (incarnation && known->announcement.key.incarnation != *incarnation)) {
        this->answer(call, DepartureAnswer {});
        return;
    }
    if (!this->propose(now, RemoveUpstream { known->announcement.key, true }, WaitingDeparture { call })) {
        this->answer(call, CallUnavailable {});
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::changeItems(Instant now, CallId call, ChangeItems change)
{
    if (auto refusal = this->readRefusal(now)) {
        this->answer(call, std::move(*refusal));
        return;
    }
    if (const auto checked = this->registry.check(change); !checked) {
        this->answer(call, ItemsAnswer { static_cast<ResultCode>(checked.error().value()), checked.failure().detail });
        return;
    }
    if (this->registry.isInForce(change)) {
        this->answer(call, ItemsAnswer {});
        return;
    }
    if (this->joinPending(call, change)) {
        return;
    }
    if (!this->propose(now, change, WaitingItems { change, { call } })) {
        this->answer(call, CallUnavailable {});
    }
}

/// @return True where the same change is on its way; the call is then answered with it.
template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::joinPending(CallId call, const ChangeItems& change)
{
    for (auto& [index, entry] : this->pending) {
        auto* items = std::get_if<WaitingItems>(&entry.waiting);
        if (items != nullptr && items->change == change) {
            items->calls.push_back(call);
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
        contacts.push_back({ spec, this->member.silence(spec.node, now) });
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
void RegistryService<Random, Codec>::takeFeedRequest(Instant now, NodeId from, const FeedRequest& request)
{
    if (!this->isCurrent(now)) {
        return;
    }
    if (request.appliedIndex < this->registry.appliedIndex()) {
        this->feedWaiters.erase(from);
        this->sendFeed(now, from, request);
        return;
    }
    this->feedWaiters[from] = FeedWaiter { request, now + registry::feedHold };
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::answerFeeds(Instant now)
{
    const bool mayAnswer = this->isCurrent(now);
    for (auto waiter = this->feedWaiters.begin(); waiter != this->feedWaiters.end();) {
        const auto hasNews = waiter->second.request.appliedIndex < this->registry.appliedIndex();
        if ((!hasNews || !mayAnswer) && now < waiter->second.answerBy) {
            ++waiter;
            continue;
        }
        if (mayAnswer) {
            this->sendFeed(now, waiter->first, waiter->second.request);
        }
        waiter = this->feedWaiters.erase(waiter);
    }
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::sendFeed(Instant now, NodeId to, const FeedRequest& request)
{
    auto& last = this->sentFeeds[to];
    const bool isRepeat = last.appliedIndex == request.appliedIndex && last.snapshotOffset == request.snapshotOffset;
    if (isRepeat && now < last.arrivesBy) {
        return;
    }
    auto answer = this->feedReply(request);
    std::size_t bytes = answer.snapshotBytes.size();
    for (const auto& entry : answer.entries) {
        bytes += estimatedBytes(entry.command);
    }
    const auto transfer = std::chrono::milliseconds { bytes / registry::slowestBytesPerMs };
    last = SentFeed { request.appliedIndex, request.snapshotOffset, now + transfer };
    if (this->isNear(request)) {
        this->replyInDatagrams(to, std::move(answer));
    } else {
        this->reply(to, std::move(answer));
    }
}

template <RandomSource Random, RegistryCodec Codec>
bool RegistryService<Random, Codec>::isNear(const FeedRequest& request) const noexcept
{
    return this->registry.appliedIndex().value - request.appliedIndex.value <= registry::datagramFeedEntries;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::replyInDatagrams(NodeId to, FeedReply answer)
{
    auto entries = std::exchange(answer.entries, {});
    std::size_t bytes = 0;
    for (auto& entry : entries) {
        const auto size = estimatedBytes(entry.command);
        if (!answer.entries.empty() && bytes + size > registry::datagramFeedBytes) {
            // As answers to an earlier request they do not end the wait for the last one.
            auto part = answer;
            --part.sequence;
            this->reply(to, std::move(part));
            answer.entries.clear();
            bytes = 0;
        }
        bytes += size;
        answer.entries.push_back(std::move(entry));
    }
    this->reply(to, std::move(answer));
}

template <RandomSource Random, RegistryCodec Codec>
FeedReply RegistryService<Random, Codec>::feedReply(const FeedRequest& request)
{
    const auto applied = this->registry.appliedIndex();
    if (request.snapshotIndex == LogIndex {} || request.snapshotIndex != this->feedSnapshotIndex) {
        auto entries = this->member.committedAfter(request.appliedIndex, this->isNear(request) ? registry::feedDatagrams * registry::datagramFeedBytes : registry::feedBytes);
        if (entries) {
            std::erase_if(*entries, [applied](const LogEntry& entry) { return entry.index > applied; });
            return FeedReply { request.sequence, applied, std::move(*entries), 0, 0, {}, {} };
        }
        if (this->feedSnapshotIndex <= request.appliedIndex || this->feedSnapshotIndex < this->member.firstIndex()) {
            this->feedSnapshotIndex = applied;
            this->feedSnapshot = this->codec.encode(this->registry.snapshot());
        }
    }
    const auto offset = request.snapshotIndex == this->feedSnapshotIndex ? request.snapshotOffset : 0;
    const auto begin = std::min<std::size_t>(offset, this->feedSnapshot.size());
    const auto end = std::min(begin + registry::feedSnapshotPartBytes, this->feedSnapshot.size());
    FeedReply answer { request.sequence, applied, {}, begin, this->feedSnapshot.size(), this->feedSnapshotIndex, {} };
    answer.snapshotBytes.assign(this->feedSnapshot.begin() + static_cast<std::ptrdiff_t>(begin), this->feedSnapshot.begin() + static_cast<std::ptrdiff_t>(end));
    return answer;
}

template <RandomSource Random, RegistryCodec Codec>
void RegistryService<Random, Codec>::dropPending()
{
    for (auto& [index, entry] : this->pending) {
        if (const auto* heartbeat = std::get_if<WaitingHeartbeat>(&entry.waiting)) {
            this->answer(heartbeat->call, CallUnavailable {});
        } else if (const auto* items = std::get_if<WaitingItems>(&entry.waiting)) {
            for (const auto call : items->calls) {
                this->answer(call, CallUnavailable {});
            }
        } else if (const auto* departure = std::get_if<WaitingDeparture>(&entry.waiting)) {
            this->answer(departure->call, CallUnavailable {});
        }
    }
    while (const auto held = this->heldHeartbeats.takeAny()) {
        this->answer(held->call, CallUnavailable {});
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
            this->takeHeartbeat(now, heartbeat->call, heartbeat->heartbeat);
        } else {
            this->answer(heartbeat->call, CallUnavailable {});
        }
    } else if (const auto* items = std::get_if<WaitingItems>(&held.waiting)) {
        for (const auto call : items->calls) {
            this->answer(call, isOurs ? CallResult { ItemsAnswer { outcome.code, {} } } : CallResult { CallUnavailable {} });
        }
    } else if (const auto* departure = std::get_if<WaitingDeparture>(&held.waiting)) {
        this->answer(departure->call, isOurs ? CallResult { DepartureAnswer {} } : CallResult { CallUnavailable {} });
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
