#include "core/support/LedgerNetwork.h"

#include "core/ledger/LedgerLimits.h"

#include <algorithm>
#include <array>

namespace teaselturn::support {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds { 25 };

    bool isOnDisk(const MemberState& disk)
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
        this->admitted.emplace(node, this->initialMembers.back().disk.value);
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
    if (!this->wire.empty()) {
        next = std::min(next, this->wire.begin()->first);
    }
    for (const auto& [node, simulated] : this->members) {
        if (simulated.writing && !simulated.isFrozen) {
            next = std::min(next, simulated.writtenAt);
        }
    }
    this->now = std::max(this->now, next);
    if (!this->wire.empty() && this->wire.begin()->first <= this->now) {
        const auto delivery = std::move(this->wire.begin()->second);
        this->wire.erase(this->wire.begin());
        this->deliver(delivery);
    }
    const auto isTick = this->now >= this->nextTick;
    for (auto& [node, simulated] : this->members) {
        if (!simulated.member || simulated.isFrozen) {
            continue;
        }
        if (simulated.writing && simulated.writtenAt <= this->now) {
            this->finishWrite(node);
        }
        if (isTick) {
            simulated.member->tick(this->localTime(simulated));
        }
        this->drive(node);
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
            this->wire.emplace(this->now + delay, Delivery { NodeId { from }, message });
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
    if (auto* request = std::get_if<VoteRequest>(&message); request && this->mutations.asksAnyDisk) {
        request->voterDisk = found->second.synced.disk;
    }
    if (auto* reply = std::get_if<VoteReply>(&message); reply && this->mutations.countsRefusals) {
        reply->isGranted = true;
    }
    found->second.member->receive(this->localTime(found->second), delivery.from, message);
}

void LedgerNetwork::drive(std::uint32_t node)
{
    auto& simulated = this->members.at(node);
    if (simulated.writing) {
        return;
    }
    const auto through = simulated.member->lastIndex();
    auto effects = simulated.member->takeEffects();
    this->send(node, std::exchange(effects.immediate, {}));
    if (this->mutations.losesCommitted && !effects.committed.empty() && this->random.below(100) == 0) {
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
    simulated.writing = std::move(effects);
    simulated.writingThrough = through;
    simulated.writtenAt = this->now + Duration { static_cast<Duration::rep>(this->random.below(static_cast<std::uint64_t>(this->faults.maximumSync.count()))) };
}

void LedgerNetwork::finishWrite(std::uint32_t node)
{
    auto& simulated = this->members.at(node);
    auto effects = std::move(*simulated.writing);
    simulated.writing.reset();
    this->applyWrite(simulated.synced, effects);
    if (!isOnDisk(simulated.synced)) {
        this->violation(Invariant::LogOnDiskIsWhole, "the log on the disk of node " + std::to_string(node) + " has a gap");
    }
    simulated.member->persisted(this->localTime(simulated), simulated.writingThrough);
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
    simulated.writing.reset();
    simulated.backlog.clear();
    simulated.isFrozen = false;
}

void LedgerNetwork::start(std::uint32_t node)
{
    auto& simulated = this->members.at(node);
    // A data folder refuses a log with a gap.
    if (simulated.member || !isOnDisk(simulated.synced)) {
        return;
    }
    auto state = simulated.synced;
    state.initialMembers = this->initialMembers;
    if (this->mutations.forgetsVote) {
        state.hardState.votedFor = {};
        state.hardState.votedForDisk = {};
    }
    simulated.applied = state.snapshot ? state.snapshot->lastIndex : LogIndex {};
    simulated.digest = this->digests.at(simulated.applied.value);
    const auto deviation = this->mutations.driftsBeyondBound ? 4'000U : this->faults.clockDeviation;
    simulated.clockRate = 10'000 - static_cast<std::int64_t>(deviation) + static_cast<std::int64_t>(this->random.below(2 * deviation + 1));
    simulated.clockOffset = std::chrono::seconds { this->random.below(1'000'000) };
    simulated.member = std::make_unique<Member<SeededRandom>>(std::move(state), MemberTiming {}, SeededRandom { this->random.below(UINT64_MAX) }, this->localTime(simulated));
}

void LedgerNetwork::loseDisk(std::uint32_t node)
{
    this->kill(node);
    ++this->diskLosses;
    auto& synced = this->members.at(node).synced;
    const auto disk = this->mutations.keepsDiskIdentity ? synced.disk : DiskId { 1000 + this->nextDisk++ };
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

bool LedgerNetwork::mayLoseDisk() const
{
    auto committed = this->initialMembers;
    for (const auto& entry : this->reference) {
        if (const auto* change = std::get_if<ChangeMembers>(&entry.command)) {
            committed = change->members;
        }
    }
    const auto sound = std::count_if(committed.begin(), committed.end(), [this](const auto& spec) { return spec.voter && spec.disk == this->members.at(spec.node.value).synced.disk; });
    return static_cast<std::size_t>(sound - 1) > this->members.size() / 2;
}

bool LedgerNetwork::repair()
{
    const auto leader = this->leaseHolder();
    if (leader == 0) {
        return false;
    }
    const auto& member = *this->members.at(leader).member;
    const auto current = member.members();
    std::vector<MemberSpec> wanted { current.begin(), current.end() };
    for (auto& spec : wanted) {
        const auto disk = this->members.at(spec.node.value).synced.disk;
        if (spec.disk == disk && spec.voter) {
            continue;
        }
        spec = { spec.node, disk, spec.disk == disk };
        const auto promoted = spec.voter ? std::optional { spec } : std::nullopt;
        if (this->propose(leader, ChangeMembers { wanted }) && promoted) {
            this->admitted.emplace(promoted->node.value, promoted->disk.value);
        }
        return false;
    }
    const auto committed = member.membersAt(member.commitIndex());
    return std::equal(wanted.begin(), wanted.end(), committed.begin(), committed.end());
}

void LedgerNetwork::compact(std::uint32_t node)
{
    auto& simulated = this->members.at(node);
    if (!simulated.member || simulated.isFrozen || simulated.writing || simulated.applied == LogIndex {} || (simulated.synced.snapshot && simulated.synced.snapshot->lastIndex >= simulated.applied)) {
        return;
    }
    // Of one, two or three parts in transfer.
    constexpr std::array<std::size_t, 3> sizes { 2 * sizeof(std::uint64_t), limits::snapshotChunkBytes + 1, 2 * limits::snapshotChunkBytes + 9 };
    const auto size = sizes.at(this->random.below(2) == 0 ? 1 + this->random.below(2) : 0);
    const auto digest = simulated.digest ^ (this->mutations.corruptsSnapshot ? 1U : 0U);
    LedgerSnapshot snapshot { simulated.applied, this->reference[simulated.applied.value - 1].term, {}, this->snapshotBytes(digest, this->random.below(UINT64_MAX), size) };
    const auto specs = simulated.member->membersAt(simulated.applied);
    snapshot.members.assign(specs.begin(), specs.end());
    // The entries above the snapshot stay on the disk, as in DataFolder.
    std::erase_if(simulated.synced.entries, [&](const auto& entry) { return entry.index <= snapshot.lastIndex; });
    simulated.member->compacted(snapshot);
    simulated.synced.snapshot = std::move(snapshot);
}

bool LedgerNetwork::isConverged() const
{
    return std::all_of(this->members.begin(), this->members.end(), [this](const auto& item) { return !item.second.member || item.second.applied == this->lastCommitted(); });
}

}
