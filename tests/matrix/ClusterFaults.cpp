#include "matrix/Cluster.h"

#include <algorithm>

namespace teaselturn::matrix {

namespace {

    /// Log entries between snapshots; small, so that every scenario takes snapshots.
    constexpr std::uint64_t snapshotInterval = 64;

    /// Accepts every bundle; other tests cover signatures.
    Status acceptEveryBundle(const SignedBundle&, const Bundle*) { return success(); }

}

Process* Cluster::find(ProcessId id) { return const_cast<Process*>(std::as_const(*this).find(id)); }

const Process* Cluster::find(ProcessId id) const
{
    if (const auto found = this->members.find(id); found != this->members.end()) {
        return &found->second;
    }
    if (const auto found = this->entries.find(id); found != this->entries.end()) {
        return &found->second;
    }
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

ZoneId Cluster::zoneOf(ProcessId process) const
{
    const auto* found = this->find(process);
    return found == nullptr ? ZoneId {} : found->zone;
}

bool Cluster::isCut(ProcessId from, ProcessId to) const
{
    if (this->processCuts.contains({ from, 0 }) || this->processCuts.contains({ 0, to })) {
        return true;
    }
    const auto source = this->zoneOf(from);
    const auto target = this->zoneOf(to);
    return source != target && (this->outgoingCuts.contains(source) || this->incomingCuts.contains(target));
}

Duration Cluster::delayBetween(ProcessId from, ProcessId to)
{
    const auto source = this->zoneOf(from).value;
    const auto target = this->zoneOf(to).value;
    const auto isSameRegion = (source <= 2) == (target <= 2);
    const auto base = source == target ? std::chrono::microseconds { 300 } : isSameRegion ? std::chrono::microseconds { 1'500 }
                                                                                          : std::chrono::microseconds { 30'000 };
    const Duration jitter { std::chrono::microseconds { this->random.below(2'000) } };
    const Duration reordering { this->network.isReordering ? std::chrono::milliseconds { this->random.below(150) } : std::chrono::milliseconds { 0 } };
    return base + jitter + reordering + this->network.extraDelay;
}

void Cluster::send(Packet packet)
{
    if (this->isRecording) {
        if (const auto* content = std::get_if<PeerPacket>(&packet.content)) {
            const auto text = describe(content->message);
            if (!text.empty()) {
                this->transcript.push_back(std::to_string(packet.from) + " -> " + std::to_string(packet.to) + ": " + text);
            }
        }
    }
    if (this->network.isMisroutingReplies && std::holds_alternative<HeartbeatReplyPacket>(packet.content) && this->random.below(2) == 0) {
        packet.to = 100 + static_cast<ProcessId>(this->random.below(this->upstreams.size()));
    }
    const auto from = packet.from;
    const auto to = packet.to;
    const auto isLost = this->isCut(from, to) || this->random.below(100) < this->network.lossPercent;
    if (!isLost) {
        const auto copies = this->random.below(100) < this->network.duplicatePercent ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            this->inTransit.emplace(this->time + this->delayBetween(from, to), packet);
        }
    }
    if (this->observer) {
        this->observer({ Event::Kind::Sent, from, &packet, nullptr });
    }
}

void Cluster::kill(ProcessId id, bool tearsWrite)
{
    auto* process = this->find(id);
    if (process == nullptr || !process->isRunning) {
        return;
    }
    process->isRunning = false;
    process->isFrozen = false;
    this->backlog.erase(id);
    if (const auto found = this->members.find(id); found != this->members.end()) {
        auto& member = found->second;
        if (tearsWrite && member.pendingWrite) {
            // The next start truncates the record whose write was interrupted.
            const auto& append = member.pendingWrite->storage.append;
            if (!member.pendingWrite->storage.hardState) {
                applyWrite(member.disk, member.pendingWrite->storage, append.size() / 2);
            }
        }
        member.pendingWrite.reset();
        member.unsynced.clear();
        // start() destroys the service, because the service may be on the call stack here.
    }
}

void Cluster::start(ProcessId id)
{
    auto* process = this->find(id);
    if (process->isRunning) {
        return;
    }
    process->isRunning = true;
    const auto now = process->clock.at(this->time);
    if (const auto found = this->members.find(id); found != this->members.end()) {
        auto& member = found->second;
        member.isDiskFull = false;
        member.service = std::make_unique<Ledger>(member.disk, MemberTiming {}, SeededRandom { this->random.below(1'000'000) }, BoundedLoadPlacement {}, acceptEveryBundle, OwnershipCodec {}, now, LedgerOptions { { snapshotInterval, limits::snapshotIntervalBytes } });
    } else if (const auto found = this->entries.find(id); found != this->entries.end()) {
        auto& entry = found->second;
        EntryIdentity identity { NodeId { id }, BootId { ++this->bootNumber * 1'000'000 }, entry.zone, RegionId { static_cast<std::uint16_t>(entry.zone.value <= 2 ? 1 : 2) }, {} };
        for (const auto& [number, member] : this->members) {
            identity.bootstrapMembers.push_back({ NodeId { number }, member.zone, RegionId { static_cast<std::uint16_t>(member.zone.value <= 2 ? 1 : 2) } });
        }
        entry.service = std::make_unique<Entry>(std::move(identity), acceptEveryBundle, OwnershipCodec {});
        entry.finished.clear();
        if (this->mutation != Mutation::RevertsState) {
            entry.highestBundle = {};
        }
    } else {
        auto& upstream = this->upstreams.at(id);
        // A restarted process is a new incarnation without grants.
        upstream.heartbeat.incarnation += 1'000;
        upstream.heartbeat.session = {};
        upstream.heartbeat.grantsVersion = 0;
        upstream.heartbeat.released.clear();
        upstream.heartbeat.isLeaving = false;
        upstream.upstream = {};
        upstream.grants.clear();
        upstream.releaseWanted.clear();
        upstream.leaseEnd = {};
        upstream.isHeartbeatOutstanding = false;
        upstream.nextHeartbeat = now;
    }
}

void Cluster::loseDisk(ProcessId id)
{
    this->kill(id);
    auto& member = this->members.at(id);
    MemberState empty;
    empty.node = member.disk.node;
    empty.disk = DiskId { this->nextDiskNumber() };
    empty.initialMembers = this->initialMembers;
    member.disk = std::move(empty);
}

void Cluster::freeze(ProcessId id, bool isFrozen)
{
    auto* process = this->find(id);
    if (process == nullptr || !process->isRunning || process->isFrozen == isFrozen) {
        return;
    }
    process->isFrozen = isFrozen;
    if (!isFrozen) {
        // Messages that arrived in the meantime are processed before any timeout.
        auto waiting = std::move(this->backlog[id]);
        this->backlog.erase(id);
        for (auto& packet : waiting) {
            this->deliver(std::move(packet));
        }
    }
}

void Cluster::fillDisk(ProcessId member, bool isFull) { this->members.at(member).isDiskFull = isFull; }

void Cluster::cutZone(ZoneId zone, bool outgoing, bool incoming)
{
    if (outgoing) {
        this->outgoingCuts.insert(zone);
    }
    if (incoming) {
        this->incomingCuts.insert(zone);
    }
}

void Cluster::cutProcess(ProcessId process, bool outgoing, bool incoming)
{
    if (outgoing) {
        this->processCuts.insert({ process, 0 });
    }
    if (incoming) {
        this->processCuts.insert({ 0, process });
    }
}

void Cluster::heal()
{
    this->network = {};
    this->processCuts.clear();
    this->outgoingCuts.clear();
    this->incomingCuts.clear();
    for (auto& [id, process] : this->members) {
        process.isDiskFull = false;
        this->freeze(id, false);
        this->start(id);
    }
    for (auto& [id, process] : this->entries) {
        this->freeze(id, false);
        this->start(id);
    }
    for (auto& [id, process] : this->upstreams) {
        this->freeze(id, false);
    }
}

}
