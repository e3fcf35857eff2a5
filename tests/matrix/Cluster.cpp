#include "matrix/Cluster.h"

#include <algorithm>

namespace teaselturn::matrix {

namespace {

    constexpr Duration simulationStep = std::chrono::milliseconds { 5 };
    constexpr Duration syncTime = std::chrono::milliseconds { 3 };
    constexpr Duration heartbeatTimeout = std::chrono::milliseconds { 300 };

    constexpr std::uint32_t zoneOfMember[] = { 1, 1, 2, 3, 4 };
    constexpr std::uint32_t zoneOfEntry[] = { 1, 1, 1, 2, 2, 3, 3, 4, 4 };

    RegionId regionOf(ZoneId zone) { return RegionId { static_cast<std::uint16_t>(zone.value <= 2 ? 1 : 2) }; }

    Heartbeat makeHeartbeat(ProcessId id, ZoneId zone, ServiceId service, bool checksGrants)
    {
        Heartbeat heartbeat;
        heartbeat.name = "upstream-" + std::to_string(id);
        heartbeat.incarnation = id;
        heartbeat.service = service;
        heartbeat.zone = zone;
        heartbeat.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(id) };
        heartbeat.requestSlots = 3;
        heartbeat.connectionLimit = 110;
        heartbeat.checksGrants = checksGrants;
        return heartbeat;
    }

}

Cluster::Cluster(std::uint64_t seed, Mutation mutation)
    : random(seed)
    , mutation(mutation)
{
    // The rates of any two clocks differ by less than the drift bound.
    const auto makeClock = [this] { return Clock { 0.996 + static_cast<double>(this->random.below(8)) / 1000.0 }; };
    for (std::uint32_t i = 0; i < memberCount; ++i) {
        this->initialMembers.push_back({ NodeId { i + 1 }, DiskId { i + 1 }, true });
    }
    for (std::uint32_t i = 0; i < memberCount; ++i) {
        LedgerProcess process;
        process.id = i + 1;
        process.zone = ZoneId { static_cast<std::uint16_t>(zoneOfMember[i]) };
        process.clock = makeClock();
        process.disk.node = NodeId { i + 1 };
        process.disk.disk = DiskId { i + 1 };
        process.disk.initialMembers = this->initialMembers;
        this->members.emplace(process.id, std::move(process));
        this->start(i + 1);
    }
    for (std::uint32_t i = 0; i < entryCount; ++i) {
        EntryProcess process;
        process.id = 11 + i;
        process.zone = ZoneId { static_cast<std::uint16_t>(zoneOfEntry[i]) };
        process.clock = makeClock();
        this->entries.emplace(process.id, std::move(process));
        this->start(11 + i);
    }
}

ProcessId Cluster::addUpstream(ZoneId zone, ServiceId service, bool checksGrants)
{
    const auto id = static_cast<ProcessId>(100 + this->upstreams.size());
    UpstreamProcess process;
    process.id = id;
    process.zone = zone;
    process.clock = Clock { 0.996 + static_cast<double>(this->random.below(8)) / 1000.0 };
    process.heartbeat = makeHeartbeat(id, zone, service, checksGrants);
    process.isRunning = true;
    // An upstream contacts the entry VMs of its own zone first.
    const auto first = std::find(std::begin(zoneOfEntry), std::end(zoneOfEntry), zone.value);
    process.leaseManager = static_cast<std::size_t>(first - std::begin(zoneOfEntry));
    process.nextHeartbeat = process.clock.at(this->time);
    this->upstreams.emplace(id, std::move(process));
    return id;
}

void Cluster::leave(ProcessId upstream) { this->upstreams.at(upstream).heartbeat.isLeaving = true; }

SignedBundle Cluster::makeBundle(BundleVersion version, std::uint32_t variant) const
{
    SignedBundle result;
    auto& bundle = result.bundle;
    bundle.version = version;
    bundle.regions = { { RegionId { 1 }, "west" }, { RegionId { 2 }, "east" } };
    for (std::uint16_t zone = 1; zone <= zoneCount; ++zone) {
        bundle.zones.push_back({ ZoneId { zone }, "zone-" + std::to_string(zone), regionOf(ZoneId { zone }) });
    }
    for (const auto& [id, process] : this->entries) {
        bundle.entries.push_back({ NodeId { id }, process.zone, { "127.0.0.1", static_cast<std::uint16_t>(id) } });
    }
    for (const auto& [id, process] : this->members) {
        bundle.members.push_back({ NodeId { id }, process.zone, { "127.0.0.1", static_cast<std::uint16_t>(id) } });
    }
    bundle.services.push_back({ moveService, "dispatch", 12, ZoneRule::Move });
    bundle.services.push_back({ keepService, "tills", 8, ZoneRule::Keep });
    bundle.rollout = { RegionId { 1 }, RegionId { 2 } };
    result.canonicalBytes = "bundle " + std::to_string(version.value) + " variant " + std::to_string(variant);
    result.digest[0] = static_cast<std::uint8_t>(version.value);
    result.digest[1] = static_cast<std::uint8_t>(variant);
    result.signatures.push_back({ "operator-" + std::to_string(variant), {} });
    return result;
}

std::uint64_t Cluster::submit(ProcessId entry, BundleVersion version, std::uint32_t variant)
{
    const auto sequence = this->propose(entry, AcceptBundle { this->makeBundle(version, variant) });
    this->submittedBundles[{ entry, sequence }] = version;
    return sequence;
}

std::uint64_t Cluster::propose(ProcessId entry, Command command)
{
    auto& process = this->entries.at(entry);
    return process.isRunning ? process.service->propose(process.clock.at(this->time), std::move(command)) : 0;
}

bool Cluster::proposeAtLeader(Command command)
{
    const auto id = this->leader();
    if (id == 0) {
        return false;
    }
    auto& process = this->members.at(id);
    process.service->receive(process.clock.at(this->time), NodeId { 99 }, ProposeRequest { ++this->operatorSequence, std::move(command) });
    return true;
}

bool Cluster::runUntil(Duration limit, const std::function<bool()>& condition)
{
    const auto end = this->time + limit;
    while (!condition()) {
        if (this->time >= end) {
            return false;
        }
        this->step();
    }
    return true;
}

void Cluster::run(Duration length)
{
    for (const auto end = this->time + length; this->time < end;) {
        this->step();
    }
}

void Cluster::step()
{
    this->time += simulationStep;
    while (!this->inTransit.empty() && this->inTransit.begin()->first <= this->time) {
        auto packet = std::move(this->inTransit.extract(this->inTransit.begin()).mapped());
        this->deliver(std::move(packet));
    }
    const auto isTick = this->time.count() / simulationStep.count() % 5 == 0;
    for (auto& [id, process] : this->members) {
        if (!process.isRunning || process.isFrozen) {
            continue;
        }
        this->finishWrite(process);
        if (isTick) {
            process.service->tick(process.clock.at(this->time));
        }
        this->executeEffects(process);
    }
    for (auto& [id, process] : this->entries) {
        if (process.isRunning && !process.isFrozen) {
            if (isTick) {
                process.service->tick(process.clock.at(this->time));
            }
            this->executeEffects(process);
        }
    }
    for (auto& [id, process] : this->upstreams) {
        if (process.isRunning && !process.isFrozen) {
            this->tickUpstream(process);
        }
    }
    this->checkOwnership();
    this->trackGaps();
}

void Cluster::tickUpstream(UpstreamProcess& process)
{
    const auto now = process.clock.at(this->time);
    if (process.isHeartbeatOutstanding && now >= process.sentAt + heartbeatTimeout) {
        process.isHeartbeatOutstanding = false;
        process.leaseManager = (process.leaseManager + 1) % entryCount;
        process.nextHeartbeat = now;
    }
    if (process.isHeartbeatOutstanding || now < process.nextHeartbeat) {
        return;
    }
    process.isHeartbeatOutstanding = true;
    process.sentAt = now;
    process.nextHeartbeat = now + timing::heartbeatInterval;
    // Requests in flight on a slot to be released take at most one heartbeat interval in this fake.
    process.heartbeat.released = process.releaseWanted;
    process.heartbeat.sequence = ++process.attempt;
    this->send({ process.id, static_cast<ProcessId>(11 + process.leaseManager), HeartbeatPacket { process.heartbeat } });
}

void Cluster::deliver(Packet packet)
{
    if (this->isCut(packet.from, packet.to)) {
        return;
    }
    const auto* process = this->find(packet.to);
    if (process == nullptr || !process->isRunning) {
        return;
    }
    if (process->isFrozen) {
        this->backlog[packet.to].push_back(std::move(packet));
        return;
    }
    if (const auto member = this->members.find(packet.to); member != this->members.end()) {
        this->deliverTo(member->second, packet);
    } else if (const auto entry = this->entries.find(packet.to); entry != this->entries.end()) {
        this->deliverTo(entry->second, packet);
    } else {
        this->deliverTo(this->upstreams.at(packet.to), packet);
    }
}

void Cluster::deliverTo(LedgerProcess& process, const Packet& packet)
{
    const auto* content = std::get_if<PeerPacket>(&packet.content);
    if (content == nullptr || !process.service) {
        return;
    }
    if (const auto* append = std::get_if<AppendRequest>(&content->message); append != nullptr && this->mutation == Mutation::LosesAssignments) {
        const auto isAssignment = [](const LogEntry& item) { return std::holds_alternative<AssignSlots>(item.command); };
        if (this->time > std::chrono::seconds { 12 } && std::ranges::any_of(append->entries, isAssignment)) {
            return;
        }
    }
    process.service->receive(process.clock.at(this->time), NodeId { packet.from }, content->message);
    this->executeEffects(process);
}

void Cluster::deliverTo(EntryProcess& process, const Packet& packet)
{
    if (!process.service) {
        return;
    }
    const auto now = process.clock.at(this->time);
    if (const auto* content = std::get_if<PeerPacket>(&packet.content)) {
        process.service->receive(now, NodeId { packet.from }, content->message);
    } else if (const auto* content = std::get_if<HeartbeatPacket>(&packet.content)) {
        ResultCode code {};
        auto reply = process.service->handleHeartbeat(now, content->heartbeat, code);
        this->send({ process.id, packet.from, HeartbeatReplyPacket { code, reply } });
        process.service->handleHeartbeatReplySent(now, reply);
    }
    this->executeEffects(process);
}

void Cluster::deliverTo(UpstreamProcess& process, const Packet& packet)
{
    const auto* content = std::get_if<HeartbeatReplyPacket>(&packet.content);
    const auto isForThisProcess = content != nullptr && content->reply.incarnation == process.heartbeat.incarnation;
    const auto isExpected = isForThisProcess && process.isHeartbeatOutstanding && content->reply.sequence == process.attempt;
    if (!isForThisProcess || (!isExpected && this->mutation != Mutation::AcceptsLateReplies)) {
        return;
    }
    const auto now = process.clock.at(this->time);
    process.isHeartbeatOutstanding = false;
    const auto& reply = content->reply;
    if (reply.session == SessionId {} || reply.session < process.heartbeat.session) {
        return;
    }
    process.upstream = reply.upstream;
    if (reply.session != process.heartbeat.session) {
        process.heartbeat.session = reply.session;
        process.nextHeartbeat = now;
    }
    if (reply.grantsIncluded) {
        process.grants.clear();
        for (const auto& grant : reply.grants) {
            process.grants[grant.slot] = grant.fence;
        }
        process.heartbeat.grantsVersion = reply.grantsVersion;
    }
    process.releaseWanted = reply.releaseWanted;
    for (const auto& wanted : reply.releaseWanted) {
        process.grants.erase(wanted.slot);
    }
    if (reply.lease > std::chrono::milliseconds::zero()) {
        const auto start = this->mutation == Mutation::AcceptsLateReplies ? now : process.sentAt;
        process.leaseEnd = start + reply.lease;
    }
}

void Cluster::executeEffects(LedgerProcess& process)
{
    if (process.pendingWrite || !process.isRunning) {
        return;
    }
    auto effects = process.service->takeEffects(process.clock.at(this->time));
    for (const auto& applied : effects.applied) {
        this->recordApplied(process.id, applied);
    }
    for (auto& outbound : std::exchange(effects.immediate, {})) {
        this->send({ process.id, outbound.to.value, PeerPacket { std::move(outbound.message) } });
    }
    process.pendingWrite = std::move(effects);
    const auto isWrite = process.pendingWrite->storage.needsWrite() || process.pendingWrite->snapshot;
    process.writeCompletesAt = this->time + (isWrite ? syncTime : Duration::zero());
    if (process.isDiskFull && isWrite) {
        // The daemon would exit with LogWriteFailed.
        this->kill(process.id);
        return;
    }
    this->finishWrite(process);
}

void Cluster::finishWrite(LedgerProcess& process)
{
    if (!process.isRunning || !process.pendingWrite || this->time < process.writeCompletesAt) {
        return;
    }
    auto effects = std::move(*process.pendingWrite);
    process.pendingWrite.reset();
    if (this->mutation == Mutation::AcknowledgesBeforeSync) {
        process.unsynced.push_back(effects.storage);
    } else {
        applyWrite(process.disk, effects.storage, effects.storage.append.size());
    }
    const auto now = process.clock.at(this->time);
    process.service->persisted(now);
    for (auto& outbound : effects.afterPersist) {
        this->send({ process.id, outbound.to.value, PeerPacket { std::move(outbound.message) } });
    }
    process.service->sent(now);
    if (effects.snapshot) {
        process.disk.snapshot = *effects.snapshot;
        std::erase_if(process.disk.entries, [&](const LogEntry& entry) { return entry.index <= effects.snapshot->lastIndex; });
        process.service->snapshotSaved(*effects.snapshot);
        if (this->observer) {
            this->observer({ Event::Kind::SnapshotWritten, process.id, nullptr, nullptr });
        }
    }
}

void Cluster::applyWrite(MemberState& disk, const MemberEffects& effects, std::size_t entryLimit)
{
    if (effects.hardState) {
        disk.hardState = *effects.hardState;
    }
    if (effects.truncateFrom) {
        std::erase_if(disk.entries, [&](const LogEntry& entry) { return entry.index >= *effects.truncateFrom; });
    }
    if (effects.install) {
        disk.snapshot = *effects.install;
        std::erase_if(disk.entries, [&](const LogEntry& entry) { return entry.index <= effects.install->lastIndex; });
    }
    const auto count = std::min(entryLimit, effects.append.size());
    disk.entries.insert(disk.entries.end(), effects.append.begin(), effects.append.begin() + static_cast<std::ptrdiff_t>(count));
}

void Cluster::executeEffects(EntryProcess& process)
{
    auto effects = process.service->takeEffects();
    for (const auto& applied : effects.applied) {
        this->recordApplied(process.id, applied);
    }
    for (auto& outbound : effects.messages) {
        this->send({ process.id, outbound.to.value, PeerPacket { std::move(outbound.message) } });
    }
    for (const auto& finished : effects.finished) {
        process.finished.push_back(finished);
        const auto found = this->submittedBundles.find({ process.id, finished.sequence });
        if (found != this->submittedBundles.end() && finished.code == ResultCode::Ok) {
            this->acknowledgedBundles[found->second] = finished.sequence;
        }
    }
    this->recordBundleInForce(process);
}

}
