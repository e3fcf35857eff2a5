#include "core/support/LedgerNetwork.h"

#include "core/ledger/LedgerLimits.h"

#include <algorithm>
#include <array>

namespace teaselturn::support {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds { 25 };

    bool isContiguous(const MemberState& disk)
    {
        auto expected = disk.snapshot ? disk.snapshot->lastIndex.value : 0;
        return std::all_of(disk.entries.begin(), disk.entries.end(), [&expected](const auto& entry) { return entry.index.value == ++expected; });
    }

}

LedgerNetwork::LedgerNetwork(std::uint64_t seed, std::uint32_t voters, NetworkFaults faults, Mutations mutations)
    : random(seed)
    , faults(faults)
    , mutations(mutations)
    , nextTick(now)
{
    for (std::uint32_t node = 1; node <= voters; ++node) {
        this->initialMembers.push_back({ NodeId { node }, DiskId { this->nextDisk++ }, true });
        this->admittedVoters.emplace(node, this->initialMembers.back().disk.value);
    }
    for (const auto& spec : this->initialMembers) {
        auto& synced = this->members[spec.node.value].synced;
        synced.node = spec.node;
        synced.disk = spec.disk;
        this->start(spec.node.value);
    }
}

Instant LedgerNetwork::localTime(const SimulatedMember& simulated) const
{
    return Instant { simulated.clockOffset + this->now.time_since_epoch() * simulated.clockRate / 10'000 };
}

void LedgerNetwork::step()
{
    auto next = this->nextTick;
    if (!this->inTransit.empty()) {
        next = std::min(next, this->inTransit.begin()->first);
    }
    for (const auto& [node, simulated] : this->members) {
        if (simulated.pendingWrite && !simulated.isFrozen) {
            next = std::min(next, simulated.writeCompletesAt);
        }
    }
    this->now = std::max(this->now, next);
    if (!this->inTransit.empty() && this->inTransit.begin()->first <= this->now) {
        const auto delivery = std::move(this->inTransit.begin()->second);
        this->inTransit.erase(this->inTransit.begin());
        this->deliver(delivery);
    }
    const auto isTick = this->now >= this->nextTick;
    for (auto& [node, simulated] : this->members) {
        if (!simulated.member || simulated.isFrozen) {
            continue;
        }
        if (simulated.pendingWrite && simulated.writeCompletesAt <= this->now) {
            this->finishWrite(node);
        }
        if (isTick) {
            simulated.member->tick(this->localTime(simulated));
        }
        this->executeEffects(node);
    }
    if (isTick) {
        this->nextTick = this->now + tickInterval;
    }
    this->checkLeaders();
}

void LedgerNetwork::run(Duration length)
{
    for (const auto end = this->now + length; this->now < end;) {
        this->step();
    }
}

void LedgerNetwork::send(std::uint32_t from, const std::vector<OutboundMessage>& messages)
{
    for (const auto& message : messages) {
        this->checkVote(from, message);
        const auto copies = this->random.below(100) < this->faults.duplicatePercent ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            if (this->random.below(100) < this->faults.lossPercent) {
                continue;
            }
            const auto spread = static_cast<std::uint64_t>((this->faults.maximumDelay - this->faults.minimumDelay).count());
            const auto delay = this->faults.minimumDelay + Duration { static_cast<Duration::rep>(this->random.below(spread + 1)) };
            this->inTransit.emplace(this->now + delay, Delivery { NodeId { from }, message });
        }
    }
}

void LedgerNetwork::deliver(const Delivery& delivery)
{
    const auto to = delivery.message.to.value;
    const auto found = this->members.find(to);
    if (found == this->members.end() || !found->second.member || this->cuts.contains({ delivery.from.value, to })) {
        return;
    }
    if (this->mutations.losesSnapshots && std::holds_alternative<SnapshotChunk>(delivery.message.message)) {
        return;
    }
    if (found->second.isFrozen) {
        found->second.backlog.emplace_back(delivery.from, delivery.message.message);
        return;
    }
    auto message = delivery.message.message;
    if (auto* request = std::get_if<VoteRequest>(&message); request && this->mutations.ignoresVoterDisk) {
        request->voterDisk = found->second.synced.disk;
    }
    if (auto* reply = std::get_if<VoteReply>(&message); reply && this->mutations.countsRejectedVotes) {
        reply->isGranted = true;
    }
    found->second.member->receive(this->localTime(found->second), delivery.from, message);
}

void LedgerNetwork::executeEffects(std::uint32_t node)
{
    auto& simulated = this->members.at(node);
    if (simulated.pendingWrite) {
        return;
    }
    const auto through = simulated.member->lastIndex();
    auto effects = simulated.member->takeEffects();
    this->send(node, std::exchange(effects.immediate, {}));
    if (this->mutations.skipsCommitted && !effects.committed.empty() && this->random.below(100) == 0) {
        effects.committed.erase(effects.committed.begin());
    }
    this->apply(node, effects);
    if (this->mutations.sendsBeforeSync) {
        this->send(node, std::exchange(effects.afterPersist, {}));
    }
    if (!effects.needsWrite()) {
        this->send(node, effects.afterPersist);
        return;
    }
    simulated.pendingWrite = std::move(effects);
    simulated.pendingWriteThrough = through;
    simulated.writeCompletesAt = this->now + Duration { static_cast<Duration::rep>(this->random.below(static_cast<std::uint64_t>(this->faults.maximumSync.count()))) };
}

void LedgerNetwork::finishWrite(std::uint32_t node)
{
    auto& simulated = this->members.at(node);
    auto effects = std::move(*simulated.pendingWrite);
    simulated.pendingWrite.reset();
    this->applyWrite(simulated.synced, effects);
    if (!isContiguous(simulated.synced)) {
        this->recordViolation(Invariant::LogOnDiskIsContiguous, "the log on the disk of node " + std::to_string(node) + " has a gap");
    }
    simulated.member->persisted(this->localTime(simulated), simulated.pendingWriteThrough);
    this->send(node, effects.afterPersist);
}

std::uint32_t LedgerNetwork::leaseHolder() const
{
    for (const auto& [node, simulated] : this->members) {
        if (simulated.member && !simulated.isFrozen && simulated.member->hasLeaderLease(this->localTime(simulated))) {
            return node;
        }
    }
    return 0;
}

void LedgerNetwork::kill(std::uint32_t node)
{
    auto& simulated = this->members.at(node);
    simulated.member.reset();
    simulated.pendingWrite.reset();
    simulated.backlog.clear();
    simulated.isFrozen = false;
}

void LedgerNetwork::start(std::uint32_t node)
{
    auto& simulated = this->members.at(node);
    // The real data folder rejects a log with a gap, so the process would not start.
    if (simulated.member || !isContiguous(simulated.synced)) {
        return;
    }
    auto state = simulated.synced;
    state.initialMembers = this->initialMembers;
    if (this->mutations.losesVote) {
        state.hardState.votedFor = {};
        state.hardState.votedForDisk = {};
    }
    simulated.applied = state.snapshot ? state.snapshot->lastIndex : LogIndex {};
    simulated.digest = this->digests.at(simulated.applied.value);
    const auto deviation = this->mutations.exceedsDriftBound ? 4'000U : this->faults.clockDeviation;
    simulated.clockRate = 10'000 - static_cast<std::int64_t>(deviation) + static_cast<std::int64_t>(this->random.below(2 * deviation + 1));
    simulated.clockOffset = std::chrono::seconds { this->random.below(1'000'000) };
    simulated.member = std::make_unique<Member<SeededRandom>>(std::move(state), MemberTiming {}, SeededRandom { this->random.below(UINT64_MAX) }, this->localTime(simulated));
}

void LedgerNetwork::loseDisk(std::uint32_t node)
{
    this->kill(node);
    ++this->diskLossCount;
    auto& synced = this->members.at(node).synced;
    const auto disk = this->mutations.reusesDiskIdentity ? synced.disk : DiskId { 1000 + this->nextDisk++ };
    synced = {};
    synced.node = NodeId { node };
    synced.disk = disk;
}

void LedgerNetwork::freeze(std::uint32_t node, bool isFrozen)
{
    auto& simulated = this->members.at(node);
    simulated.isFrozen = isFrozen && simulated.member;
    if (!simulated.isFrozen && simulated.member) {
        for (const auto& [from, message] : std::exchange(simulated.backlog, {})) {
            simulated.member->receive(this->localTime(simulated), from, message);
        }
    }
}

void LedgerNetwork::cut(std::uint32_t from, std::uint32_t to, bool isCut)
{
    if (isCut) {
        this->cuts.emplace(from, to);
    } else {
        this->cuts.erase({ from, to });
    }
}

void LedgerNetwork::healAll()
{
    this->cuts.clear();
    for (auto& [node, simulated] : this->members) {
        this->freeze(node, false);
        this->start(node);
    }
}

bool LedgerNetwork::propose(std::uint32_t node, Command command)
{
    auto& simulated = this->members.at(node);
    return simulated.member && !simulated.isFrozen && simulated.member->propose(this->localTime(simulated), std::move(command)).hasValue();
}

bool LedgerNetwork::canLoseDisk() const
{
    auto committed = this->initialMembers;
    for (const auto& entry : this->committedEntries) {
        if (const auto* change = std::get_if<ChangeMembers>(&entry.command)) {
            committed = change->members;
        }
    }
    const auto intactVoters = std::count_if(committed.begin(), committed.end(), [this](const auto& spec) { return spec.voter && spec.disk == this->members.at(spec.node.value).synced.disk; });
    return static_cast<std::size_t>(intactVoters - 1) > this->members.size() / 2;
}

bool LedgerNetwork::repairMembership()
{
    const auto leader = this->leaseHolder();
    if (leader == 0) {
        return false;
    }
    const auto& member = *this->members.at(leader).member;
    const auto current = member.members();
    std::vector<MemberSpec> target { current.begin(), current.end() };
    for (auto& spec : target) {
        const auto disk = this->members.at(spec.node.value).synced.disk;
        if (spec.disk == disk && spec.voter) {
            continue;
        }
        spec = { spec.node, disk, spec.disk == disk };
        const auto promoted = spec.voter ? std::optional { spec } : std::nullopt;
        if (this->propose(leader, ChangeMembers { target }) && promoted) {
            this->admittedVoters.emplace(promoted->node.value, promoted->disk.value);
        }
        return false;
    }
    const auto committed = member.membersAt(member.commitIndex());
    return std::equal(target.begin(), target.end(), committed.begin(), committed.end());
}

void LedgerNetwork::compact(std::uint32_t node)
{
    auto& simulated = this->members.at(node);
    if (!simulated.member || simulated.isFrozen || simulated.pendingWrite || simulated.applied == LogIndex {} || (simulated.synced.snapshot && simulated.synced.snapshot->lastIndex >= simulated.applied)) {
        return;
    }
    // Snapshots that take one, two or three chunks to transfer.
    constexpr std::array<std::size_t, 3> sizes { 2 * sizeof(std::uint64_t), limits::snapshotChunkBytes + 1, 2 * limits::snapshotChunkBytes + 9 };
    const auto size = sizes.at(this->random.below(2) == 0 ? 1 + this->random.below(2) : 0);
    const auto digest = simulated.digest ^ (this->mutations.corruptsSnapshot ? 1U : 0U);
    LedgerSnapshot snapshot { simulated.applied, this->committedEntries[simulated.applied.value - 1].term, {}, this->snapshotBytes(digest, this->random.below(UINT64_MAX), size) };
    const auto specs = simulated.member->membersAt(simulated.applied);
    snapshot.members.assign(specs.begin(), specs.end());
    // Entries above the snapshot stay on the disk, as in DataFolder.
    std::erase_if(simulated.synced.entries, [&](const auto& entry) { return entry.index <= snapshot.lastIndex; });
    simulated.member->compacted(snapshot);
    simulated.synced.snapshot = std::move(snapshot);
}

bool LedgerNetwork::isConverged() const
{
    return std::all_of(this->members.begin(), this->members.end(), [this](const auto& item) { return !item.second.member || item.second.applied == this->lastCommitted(); });
}

}
