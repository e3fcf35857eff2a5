#include "core/support/LedgerNetwork.h"

#include <algorithm>
#include <cstring>

namespace teaselturn::support {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds { 25 };

    void applyWrite(MemberState& disk, const MemberEffects& effects)
    {
        if (effects.hardState) {
            disk.hardState = *effects.hardState;
        }
        auto& entries = disk.entries;
        if (effects.truncateFrom) {
            std::erase_if(entries, [&](const auto& entry) { return entry.index >= *effects.truncateFrom; });
        }
        if (effects.install) {
            disk.snapshot = effects.install;
            std::erase_if(entries, [&](const auto& entry) { return entry.index <= effects.install->lastIndex; });
        }
        entries.insert(entries.end(), effects.append.begin(), effects.append.end());
    }

    std::uint64_t mix(std::uint64_t digest, const LogEntry& entry)
    {
        digest ^= entry.term.value * 0x9E3779B97F4A7C15ULL + entry.index.value + entry.command.index() * 7919;
        return digest * 0xBF58476D1CE4E5B9ULL + 1;
    }

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

void LedgerNetwork::violation(std::string what)
{
    this->found.push_back(std::move(what));
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
            simulated.member->tick(this->now);
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
    if (found->second.isFrozen) {
        found->second.backlog.emplace_back(delivery.from, delivery.message.message);
        return;
    }
    found->second.member->receive(this->now, delivery.from, delivery.message.message);
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
    applyWrite(simulated.synced, effects);
    if (!isOnDisk(simulated.synced)) {
        this->violation("the log on the disk of node " + std::to_string(node) + " has a gap");
    }
    simulated.member->persisted(this->now, simulated.writingThrough);
    this->send(node, effects.afterPersist);
}

void LedgerNetwork::apply(std::uint32_t node, const MemberEffects& effects)
{
    auto& simulated = this->members.at(node);
    if (effects.install) {
        simulated.applied = effects.install->lastIndex;
        std::memcpy(&simulated.digest, effects.install->bytes.data(), sizeof(simulated.digest));
        if (simulated.digest != this->digests.at(simulated.applied.value)) {
            this->violation("node " + std::to_string(node) + " installed a snapshot of another history");
        }
    }
    for (const auto& entry : effects.committed) {
        if (entry.index.value != simulated.applied.value + 1) {
            this->violation("node " + std::to_string(node) + " committed index " + std::to_string(entry.index.value) + " after " + std::to_string(simulated.applied.value));
            return;
        }
        simulated.applied = entry.index;
        simulated.digest = mix(simulated.digest, entry);
        if (entry.index.value > this->reference.size()) {
            this->reference.push_back(entry);
            this->digests.push_back(simulated.digest);
        } else if (this->reference[entry.index.value - 1] != entry) {
            this->violation("node " + std::to_string(node) + " committed another entry at index " + std::to_string(entry.index.value));
        }
    }
}

void LedgerNetwork::checkVote(std::uint32_t from, const OutboundMessage& outbound)
{
    const auto* reply = std::get_if<VoteReply>(&outbound.message);
    if (!reply || !reply->isGranted) {
        return;
    }
    if (!this->admitted.contains({ from, reply->disk.value })) {
        this->violation("node " + std::to_string(from) + " voted under a disk identity that was not admitted");
    }
    if (reply->isPreVote) {
        return;
    }
    const auto [vote, isNew] = this->votes.emplace(std::tuple { from, reply->disk.value, reply->term.value }, outbound.to);
    if (vote->second != outbound.to) {
        this->violation("node " + std::to_string(from) + " voted twice in term " + std::to_string(reply->term.value));
    }
}

void LedgerNetwork::checkLeaders()
{
    for (const auto& [node, simulated] : this->members) {
        if (!simulated.member || simulated.member->role() != MemberRole::Leader) {
            continue;
        }
        const auto [leader, isNew] = this->leaders.emplace(simulated.member->term().value, node);
        if (leader->second != node) {
            this->violation("nodes " + std::to_string(leader->second) + " and " + std::to_string(node) + " both lead in term " + std::to_string(leader->first));
        }
        if (!simulated.isFrozen && simulated.member->hasLeaderLease(this->now) && simulated.member->commitIndex() < this->lastCommitted()) {
            this->violation("node " + std::to_string(node) + " holds the leader lease without the newest committed entry");
        }
    }
}

std::uint32_t LedgerNetwork::leaseHolder() const
{
    for (const auto& [node, simulated] : this->members) {
        if (simulated.member && !simulated.isFrozen && simulated.member->hasLeaderLease(this->now)) {
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
    if (simulated.member) {
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
    simulated.member = std::make_unique<Member<SeededRandom>>(std::move(state), MemberTiming {}, SeededRandom { this->random.below(UINT64_MAX) }, this->now);
}

void LedgerNetwork::loseDisk(std::uint32_t node)
{
    this->kill(node);
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
            simulated.member->receive(this->now, from, message);
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
    return simulated.member && !simulated.isFrozen && simulated.member->propose(this->now, std::move(command)).hasValue();
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
    LedgerSnapshot snapshot { simulated.applied, this->reference[simulated.applied.value - 1].term, {}, std::vector<std::uint8_t>(sizeof(std::uint64_t)) };
    const auto specs = simulated.member->membersAt(simulated.applied);
    snapshot.members.assign(specs.begin(), specs.end());
    std::memcpy(snapshot.bytes.data(), &simulated.digest, sizeof(std::uint64_t));
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
