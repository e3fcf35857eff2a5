#include "matrix/Steps.h"

#include <algorithm>

namespace teaselturn::matrix {

namespace {

    using namespace std::chrono_literals;

    template <typename C>
    const C* sentCommand(const Event& event)
    {
        if (event.kind != Event::Kind::Sent) {
            return nullptr;
        }
        const auto* content = std::get_if<PeerPacket>(&event.packet->content);
        const auto* request = content == nullptr ? nullptr : std::get_if<ProposeRequest>(&content->message);
        return request == nullptr ? nullptr : std::get_if<C>(&request->command);
    }

    template <typename C>
    bool isAppendOf(const Event& event)
    {
        if (event.kind != Event::Kind::Sent) {
            return false;
        }
        const auto* content = std::get_if<PeerPacket>(&event.packet->content);
        const auto* append = content == nullptr ? nullptr : std::get_if<AppendRequest>(&content->message);
        return append != nullptr && std::ranges::any_of(append->entries, [](const LogEntry& entry) { return std::holds_alternative<C>(entry.command); });
    }

    template <typename M>
    bool isSendOf(const Event& event)
    {
        if (event.kind != Event::Kind::Sent) {
            return false;
        }
        const auto* content = std::get_if<PeerPacket>(&event.packet->content);
        return content != nullptr && std::holds_alternative<M>(content->message);
    }

    template <typename C>
    bool isApplyOf(const Event& event)
    {
        return event.kind == Event::Kind::Applied && std::holds_alternative<C>(*event.command);
    }

    /// Returns an upstream that owns slots of the `move` service, preferably one that does not check grants.
    ProcessId chooseUpstream(const Cluster& cluster)
    {
        ProcessId chosen = 101;
        for (const auto& [id, process] : cluster.allUpstreams()) {
            const auto isOwner = process.heartbeat.service == Cluster::moveService && !process.grants.empty();
            if (isOwner && (chosen == 101 || !process.heartbeat.checksGrants)) {
                chosen = id;
            }
        }
        return chosen;
    }

    ProcessId announce(Cluster& cluster) { return cluster.addUpstream(ZoneId { 2 }, Cluster::moveService, true); }

    ProcessId killUpstream(Cluster& cluster)
    {
        const auto upstream = chooseUpstream(cluster);
        cluster.kill(upstream);
        return upstream;
    }

    ProcessId drain(Cluster& cluster)
    {
        const auto upstream = chooseUpstream(cluster);
        cluster.leave(upstream);
        return upstream;
    }

    ProcessId submitBundle(Cluster& cluster)
    {
        cluster.submit(13, BundleVersion { 2 }, 0);
        return chooseUpstream(cluster);
    }

    ProcessId killLeader(Cluster& cluster)
    {
        cluster.kill(cluster.leader());
        return chooseUpstream(cluster);
    }

    void fillLog(Cluster& cluster, int count)
    {
        for (auto i = 0; i < count; ++i) {
            cluster.proposeAtLeader(NoOperation {});
            if (i % 10 == 9) {
                cluster.run(10ms);
            }
        }
    }

    ProcessId proposeManyCommands(Cluster& cluster)
    {
        fillLog(cluster, 70);
        return chooseUpstream(cluster);
    }

    /// Restarts a member after 1,500 entries, more than the leader retains in memory below its snapshot.
    ProcessId restartLaggingMember(Cluster& cluster)
    {
        const auto absent = cluster.anyFollower();
        cluster.kill(absent);
        fillLog(cluster, 1'500);
        cluster.start(absent);
        return chooseUpstream(cluster);
    }

    ProcessId replaceDisk(Cluster& cluster)
    {
        const auto lost = cluster.anyFollower();
        cluster.loseDisk(lost);
        cluster.start(lost);
        auto members = cluster.configuration();
        for (auto& member : members) {
            if (member.node.value == lost) {
                member = { NodeId { lost }, cluster.member(lost).disk.disk, false };
            }
        }
        cluster.proposeAtLeader(ChangeMembers { std::move(members) });
        return chooseUpstream(cluster);
    }

    ProcessId removeMember(Cluster& cluster)
    {
        auto members = cluster.configuration();
        const auto removed = cluster.anyFollower();
        std::erase_if(members, [removed](const MemberSpec& member) { return member.node.value == removed; });
        cluster.proposeAtLeader(ChangeMembers { std::move(members) });
        return chooseUpstream(cluster);
    }

    bool isHeartbeat(const Event& event, ProcessId upstream)
    {
        return event.kind == Event::Kind::Sent && event.actor == upstream && std::holds_alternative<HeartbeatPacket>(event.packet->content);
    }

    bool isHeartbeatReply(const Event& event, ProcessId upstream)
    {
        return event.kind == Event::Kind::Sent && event.packet->to == upstream && std::holds_alternative<HeartbeatReplyPacket>(event.packet->content);
    }

    std::vector<Step> makeSteps()
    {
        std::vector<Step> steps;
        steps.push_back({ "announce", announce, [](const Event& e, ProcessId) { return sentCommand<AttachUpstream>(e) != nullptr; } });
        steps.push_back({ "attach", announce, [](const Event& e, ProcessId) { return isApplyOf<AttachUpstream>(e); } });
        steps.push_back({ "grant", killUpstream, [](const Event& e, ProcessId) { return isAppendOf<AssignSlots>(e); } });
        steps.push_back({ "renew", [](Cluster& c) { return chooseUpstream(c); }, isHeartbeat });
        steps.push_back({ "answer renewal", [](Cluster& c) { return chooseUpstream(c); }, isHeartbeatReply });
        steps.push_back({ "delegate", [](Cluster& c) { return chooseUpstream(c); }, [](const Event& e, ProcessId) { return isSendOf<DelegationReply>(e); } });
        steps.push_back({ "take over", killUpstream, [](const Event& e, ProcessId) { return sentCommand<ExpireUpstream>(e) != nullptr; } });
        steps.push_back({ "hand over", drain, [](const Event& e, ProcessId) { return isAppendOf<BeginMove>(e); } });
        steps.push_back({ "release", drain, [](const Event& e, ProcessId) { return sentCommand<ReleaseSlots>(e) != nullptr; } });
        steps.push_back({ "drain", drain, [](const Event& e, ProcessId) { return sentCommand<DrainUpstream>(e) != nullptr; } });
        steps.push_back({ "submit", submitBundle, [](const Event& e, ProcessId) { return sentCommand<AcceptBundle>(e) != nullptr; } });
        steps.push_back({ "roll out", submitBundle, [](const Event& e, ProcessId) { return isAppendOf<AdvanceRollout>(e); } });
        steps.push_back({ "elect", killLeader, [](const Event& e, ProcessId) { return isSendOf<VoteRequest>(e); } });
        steps.push_back({ "vote", killLeader, [](const Event& e, ProcessId) { return isSendOf<VoteReply>(e); } });
        steps.push_back({ "commit", announce, [](const Event& e, ProcessId) { return isAppendOf<AttachUpstream>(e); } });
        steps.push_back({ "snapshot", proposeManyCommands, [](const Event& e, ProcessId) { return e.kind == Event::Kind::SnapshotWritten; } });
        steps.push_back({ "catch up", restartLaggingMember, [](const Event& e, ProcessId) { return isSendOf<SnapshotChunk>(e); } });
        steps.push_back({ "join", replaceDisk, [](const Event& e, ProcessId) { return isAppendOf<ChangeMembers>(e); } });
        steps.push_back({ "leave", removeMember, [](const Event& e, ProcessId) { return isAppendOf<ChangeMembers>(e); } });
        return steps;
    }

    /// Starts a step and injects the fault once, after the event at which the step is reached.
    class FaultTrigger {
    public:
        FaultTrigger(Cluster& cluster, const Step& step, const Fault& fault)
            : cluster(cluster)
            , step(step)
            , fault(fault)
        {
            this->cluster.observer = [this](const Event& event) { this->isTriggered = this->isTriggered || this->step.reached(event, this->upstream); };
        }
        ~FaultTrigger() { this->cluster.observer = nullptr; }
        FaultTrigger(const FaultTrigger&) = delete;
        FaultTrigger& operator=(const FaultTrigger&) = delete;

        bool startAndInject()
        {
            this->roles.leader = this->cluster.leader();
            this->roles.follower = this->cluster.anyFollower();
            this->upstream = chooseUpstream(this->cluster);
            this->upstream = this->step.start(this->cluster);
            const auto reached = this->cluster.runUntil(12s, [this] { return this->isTriggered; });
            if (const auto leader = this->cluster.leader(); leader != 0) {
                this->roles.leader = leader;
                this->roles.follower = this->cluster.anyFollower();
            }
            this->roles.upstream = this->upstream;
            this->roles.leaseManager = this->cluster.leaseManagerOf(this->upstream);
            if (reached) {
                this->fault.inject(this->cluster, this->roles);
            }
            return reached;
        }

    private:
        Cluster& cluster;
        const Step& step;
        const Fault& fault;
        Roles roles;
        ProcessId upstream {};
        bool isTriggered {};
    };

}

std::span<const Step> allSteps()
{
    static const auto steps = makeSteps();
    return steps;
}

bool bootCluster(Cluster& cluster)
{
    if (!cluster.runUntil(10s, [&] { return cluster.leader() != 0; })) {
        return false;
    }
    cluster.submit(11, BundleVersion { 1 }, 0);
    for (std::uint16_t zone = 1; zone <= Cluster::zoneCount; ++zone) {
        cluster.addUpstream(ZoneId { zone }, Cluster::moveService, true);
        cluster.addUpstream(ZoneId { zone }, Cluster::moveService, zone % 2 == 0);
        cluster.addUpstream(ZoneId { zone }, Cluster::keepService, true);
    }
    return cluster.runUntil(20s, [&] { return cluster.areAllServed() && cluster.isConverged(); });
}

Cell runCell(const Step& step, const Fault& fault, std::uint64_t seed, Mutation mutation)
{
    Cell cell { step.name, fault.name, {}, false, {} };
    Cluster cluster { seed, mutation };
    if (!bootCluster(cluster)) {
        cell.violations.emplace_back("the cluster did not come up");
        return cell;
    }
    cluster.resetGaps();
    {
        FaultTrigger trap { cluster, step, fault };
        cell.isReached = trap.startAndInject();
    }
    cluster.run(fault.length);
    cell.longestMoveGap = cluster.longestGap(Cluster::moveService);
    cluster.heal();
    if (!cluster.runUntil(15s, [&] { return cluster.areAllServed() && cluster.isConverged(); })) {
        cluster.recordViolation("not all slots are served 15 s after everything is healed");
    }
    cluster.run(3s);
    cluster.checkAcknowledged();
    if (fault.keepsMajority && cell.longestMoveGap > 5s) {
        cluster.recordViolation("a slot of a `move` service had no serving owner for " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(cell.longestMoveGap).count()) + " ms");
    }
    cell.violations = cluster.violations();
    return cell;
}

}
