#include "matrix/Cluster.h"

#include <algorithm>

namespace teaselturn::matrix {

void Cluster::recordViolation(const std::string& description)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::milliseconds>(this->time).count();
    if (this->violationTexts.size() < 20) {
        this->violationTexts.push_back("at " + std::to_string(seconds) + " ms: " + description);
    }
}

void Cluster::recordApplied(ProcessId process, const AppliedEntry& applied)
{
    const auto [existing, isNew] = this->appliedEntries.emplace(applied.entry.index, applied.entry);
    if (!isNew && !(existing->second == applied.entry)) {
        this->recordViolation("process " + std::to_string(process) + " applied a different entry at index " + std::to_string(applied.entry.index.value));
    }
    if (this->isRecording && isNew) {
        const auto text = describe(applied.entry.command);
        if (!text.empty()) {
            this->transcript.push_back("commit " + text + " = " + std::string { resultCodeName(applied.outcome.code) });
        }
    }
    if (this->observer) {
        this->observer({ Event::Kind::Applied, process, nullptr, &applied.entry.command });
    }
}

void Cluster::recordBundleInForce(EntryProcess& process)
{
    const auto* inForce = process.service->state().bundleInForce(RegionId { static_cast<std::uint16_t>(process.zone.value <= 2 ? 1 : 2) });
    const auto version = inForce == nullptr ? BundleVersion {} : inForce->bundle.version;
    if (version < process.highestBundle) {
        this->recordViolation("entry VM " + std::to_string(process.id) + " reverted to bundle " + std::to_string(version.value));
    }
    process.highestBundle = std::max(process.highestBundle, version);
}

void Cluster::checkOwnership()
{
    struct Holder {
        UpstreamId upstream;
        std::string source;
    };
    std::map<SlotId, Holder> owners;
    const auto recordOwner = [&](SlotId slot, UpstreamId upstream, std::string source) {
        const auto [existing, isNew] = owners.emplace(slot, Holder { upstream, std::move(source) });
        if (!isNew && existing->second.upstream != upstream) {
            this->recordViolation("slot " + std::to_string(slot.service.value) + "/" + std::to_string(slot.index) + " is served by upstreams " + std::to_string(existing->second.upstream.value) + " (" + existing->second.source + ") and " + std::to_string(upstream.value));
        }
    };
    for (const auto& [id, process] : this->upstreams) {
        if (!process.isRunning) {
            continue;
        }
        const auto isLeased = process.clock.at(this->time) < process.leaseEnd;
        if (isLeased || (this->mutation == Mutation::IgnoresLeaseEnd && process.leaseEnd != Instant {})) {
            for (const auto& [slot, fence] : process.grants) {
                recordOwner(slot, process.upstream, "by its lease");
            }
        }
    }
    // An upstream that does not check grants serves every request that an entry VM forwards to it.
    for (const auto& [id, process] : this->entries) {
        if (!process.service || !process.isRunning || process.isFrozen || !process.service->isTableFresh(process.clock.at(this->time))) {
            continue;
        }
        const auto& state = process.service->state();
        for (const auto service : { moveService, keepService }) {
            std::uint32_t index = 0;
            for (const auto& slot : state.partitions(service)) {
                const auto* owner = slot.owner == UpstreamId {} ? nullptr : state.findUpstream(slot.owner);
                if (owner != nullptr && !owner->attachment.checksGrants) {
                    recordOwner({ service, index }, slot.owner, "by entry VM " + std::to_string(id));
                }
                ++index;
            }
        }
    }
}

bool Cluster::isServed(SlotId slot) const
{
    return std::ranges::any_of(this->upstreams, [&](const auto& item) {
        const auto& process = item.second;
        return process.isRunning && !process.isFrozen && process.clock.at(this->time) < process.leaseEnd && process.grants.contains(slot);
    });
}

bool Cluster::areAllServed() const
{
    const auto* state = this->leaderState();
    if (state == nullptr || state->acceptedBundle() == nullptr) {
        return false;
    }
    for (const auto service : { moveService, keepService }) {
        const auto count = static_cast<std::uint32_t>(state->partitions(service).size());
        for (std::uint32_t index = 0; index < count; ++index) {
            if (!this->isServed({ service, index })) {
                return false;
            }
        }
    }
    return true;
}

bool Cluster::hasQuorum() const
{
    const auto isUp = [this](const MemberSpec& spec) {
        const auto& process = this->members.at(spec.node.value);
        return spec.voter && process.isRunning && !process.isFrozen && !process.isDiskFull && process.disk.disk == spec.disk;
    };
    const auto voters = std::ranges::count_if(this->lastConfiguration, &MemberSpec::voter);
    return std::ranges::any_of(this->lastConfiguration, [&](const MemberSpec& one) {
        const auto reachable = std::ranges::count_if(this->lastConfiguration, [&](const MemberSpec& other) {
            return isUp(other) && !this->isCut(one.node.value, other.node.value) && !this->isCut(other.node.value, one.node.value);
        });
        return isUp(one) && reachable > voters / 2;
    });
}

void Cluster::trackGaps()
{
    if (this->leader() != 0) {
        this->lastConfiguration = this->configuration();
    }
    // Without a quorum slots need not be served, so gaps are measured only while there is one.
    if (!this->hasQuorum()) {
        for (auto& [slot, servedAt] : this->lastServed) {
            servedAt = this->time;
        }
        return;
    }
    for (auto& [slot, servedAt] : this->lastServed) {
        if (this->isServed(slot)) {
            servedAt = this->time;
        } else {
            auto& longest = this->gaps[slot.service];
            longest = std::max(longest, this->time - servedAt);
        }
    }
}

void Cluster::resetGaps()
{
    this->gaps.clear();
    this->lastServed.clear();
    const auto* state = this->leaderState();
    for (const auto service : { moveService, keepService }) {
        const auto count = state == nullptr ? 0U : static_cast<std::uint32_t>(state->partitions(service).size());
        for (std::uint32_t index = 0; index < count; ++index) {
            this->lastServed[{ service, index }] = this->time;
        }
    }
}

Duration Cluster::longestGap(ServiceId service) const
{
    const auto found = this->gaps.find(service);
    return found == this->gaps.end() ? Duration::zero() : found->second;
}

ProcessId Cluster::leader() const
{
    for (const auto& [id, process] : this->members) {
        if (process.isRunning && process.service && process.service->ledgerMember().hasLeaderLease(process.clock.at(this->time))) {
            return id;
        }
    }
    return 0;
}

const OwnershipState* Cluster::leaderState() const
{
    const auto id = this->leader();
    return id == 0 ? nullptr : &this->members.at(id).service->state();
}

ProcessId Cluster::anyFollower() const
{
    const auto current = this->leader();
    for (const auto& [id, process] : this->members) {
        if (id != current && process.isRunning) {
            return id;
        }
    }
    return 0;
}

ProcessId Cluster::leaseManagerOf(ProcessId upstream) const
{
    const auto* state = this->leaderState();
    const auto& process = this->upstreams.at(upstream);
    const auto* record = state == nullptr ? nullptr : state->findUpstream(process.upstream);
    return record == nullptr ? static_cast<ProcessId>(11 + process.leaseManager) : record->attachment.leaseManager.value;
}

std::vector<MemberSpec> Cluster::configuration() const
{
    const auto id = this->leader();
    if (id == 0) {
        return {};
    }
    const auto members = this->members.at(id).service->ledgerMember().members();
    return { members.begin(), members.end() };
}

bool Cluster::isConverged() const
{
    const auto* state = this->leaderState();
    if (state == nullptr) {
        return false;
    }
    const auto applied = state->appliedIndex();
    const auto configured = this->configuration();
    for (const auto& item : this->members) {
        const auto& process = item.second;
        const auto isMember = std::ranges::any_of(configured, [&process](const MemberSpec& spec) { return spec.node == process.disk.node && spec.disk == process.disk.disk; });
        if (isMember && process.service->ledgerMember().commitIndex() < applied) {
            return false;
        }
    }
    return std::ranges::all_of(this->entries, [&](const auto& item) { return item.second.service->state().appliedIndex() >= applied; });
}

void Cluster::checkAcknowledged()
{
    if (this->acknowledgedBundles.empty()) {
        return;
    }
    const auto highest = this->acknowledgedBundles.rbegin()->first;
    for (const auto& [id, process] : this->entries) {
        const auto* inForce = process.service->state().bundleInForce(RegionId { static_cast<std::uint16_t>(process.zone.value <= 2 ? 1 : 2) });
        if (inForce == nullptr || inForce->bundle.version < highest) {
            this->recordViolation("entry VM " + std::to_string(id) + " does not have the acknowledged bundle " + std::to_string(highest.value) + " in force");
        }
    }
}

std::string describe(const Command& command)
{
    struct Describe {
        std::string operator()(const NoOperation&) const { return ""; }
        std::string operator()(const AttachUpstream& c) const { return "AttachUpstream " + c.name + " to " + std::to_string(c.leaseManager.value); }
        std::string operator()(const ExpireUpstream& c) const { return "ExpireUpstream " + std::to_string(c.upstream.value) + " reason " + std::to_string(static_cast<int>(c.reason)); }
        std::string operator()(const DrainUpstream& c) const { return "DrainUpstream " + std::to_string(c.upstream.value); }
        std::string operator()(const AssignSlots& c) const { return "AssignSlots " + list(c.assignments); }
        std::string operator()(const BeginMove& c) const { return "BeginMove " + list(c.moves); }
        std::string operator()(const ReleaseSlots& c) const { return "ReleaseSlots of " + std::to_string(c.upstream.value) + " count " + std::to_string(c.releases.size()); }
        std::string operator()(const AcceptBundle& c) const { return "AcceptBundle " + std::to_string(c.bundle.bundle.version.value); }
        std::string operator()(const AdvanceRollout& c) const { return "AdvanceRollout " + std::to_string(c.version.value) + " stage " + std::to_string(c.stage); }
        std::string operator()(const IsolateHotKey& c) const { return "CarveHotKey " + c.key; }
        std::string operator()(const MergeHotKey& c) const { return "MergeHotKey " + std::to_string(c.slot.index); }
        std::string operator()(const ChangeItems&) const { return "ChangeItems"; }
        std::string operator()(const RegisterUpstream& c) const { return "RegisterUpstream " + c.key.name; }
        std::string operator()(const RemoveUpstream& c) const { return "RemoveUpstream " + c.key.name; }
        std::string operator()(const AssignKeyRanges& c) const { return "AssignKeyRanges " + c.service; }
        std::string operator()(const BeginKeyMoves& c) const { return "BeginKeyMoves " + c.service; }
        std::string operator()(const BeginWarmUp& c) const { return "BeginWarmUp " + c.key.name; }
        std::string operator()(const EvacuateZone& c) const { return (c.isEvacuated ? "EvacuateZone " : "Withdraw evacuation of ") + c.zone; }
        std::string operator()(const ChangeMembers& c) const { return "ChangeMembers to " + std::to_string(c.members.size()); }

        static std::string list(const std::vector<SlotAssignment>& assignments)
        {
            std::string text;
            for (const auto& item : assignments) {
                text += (text.empty() ? "" : " ") + std::to_string(item.slot.service.value) + "/" + std::to_string(item.slot.index) + ">" + std::to_string(item.owner.value);
            }
            return text;
        }
    };
    return std::visit(Describe {}, command);
}

std::string describe(const PeerMessage& message)
{
    if (const auto* request = std::get_if<ProposeRequest>(&message)) {
        return "ProposeRequest " + describe(request->command);
    }
    if (const auto* reply = std::get_if<ProposeReply>(&message)) {
        return "ProposeReply " + std::string { resultCodeName(reply->code) } + " " + std::string { resultCodeName(reply->outcome.code) };
    }
    if (const auto* request = std::get_if<VoteRequest>(&message)) {
        return std::string { request->isPreVote ? "PreVoteRequest" : "VoteRequest" } + " term " + std::to_string(request->term.value);
    }
    return "";
}

}
