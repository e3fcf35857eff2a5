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
    bool isAppending(const Event& event)
    {
        if (event.kind != Event::Kind::Sent) {
            return false;
        }
        const auto* content = std::get_if<PeerPacket>(&event.packet->content);
        const auto* append = content == nullptr ? nullptr : std::get_if<AppendRequest>(&content->message);
        return append != nullptr && std::ranges::any_of(append->entries, [](const LogEntry& entry) { return std::holds_alternative<C>(entry.command); });
    }

    template <typename M>
    bool isSending(const Event& event)
    {
        if (event.kind != Event::Kind::Sent) {
            return false;
        }
        const auto* content = std::get_if<PeerPacket>(&event.packet->content);
        return content != nullptr && std::holds_alternative<M>(content->message);
    }

    template <typename C>
    bool isApplying(const Event& event)
    {
        return event.kind == Event::Kind::Applied && std::holds_alternative<C>(*event.command);
    }

    /// @return An upstream that owns slots of the `move` service, one that does not check grants where there is one.
    ProcessId someUpstream(const Cluster& cluster)
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
        const auto upstream = someUpstream(cluster);
        cluster.kill(upstream);
        return upstream;
    }

    ProcessId drain(Cluster& cluster)
    {
        const auto upstream = someUpstream(cluster);
        cluster.leave(upstream);
        return upstream;
    }

    ProcessId submitBundle(Cluster& cluster)
    {
        cluster.submit(13, BundleVersion { 2 }, 0);
        return someUpstream(cluster);
    }

    ProcessId killLeader(Cluster& cluster)
    {
        cluster.kill(cluster.leader());
        return someUpstream(cluster);
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

    ProcessId manyCommands(Cluster& cluster)
    {
        fillLog(cluster, 70);
        return someUpstream(cluster);
    }

    /// A member comes back after hundreds of entries, more than the leader keeps in memory below its snapshot.
    ProcessId returnOfMember(Cluster& cluster)
    {
        const auto absent = cluster.anyFollower();
        cluster.kill(absent);
        fillLog(cluster, 1'500);
        cluster.start(absent);
        return someUpstream(cluster);
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
        return someUpstream(cluster);
    }

    ProcessId removeMember(Cluster& cluster)
    {
        auto members = cluster.configuration();
        const auto gone = cluster.anyFollower();
        std::erase_if(members, [gone](const MemberSpec& member) { return member.node.value == gone; });
        cluster.proposeAtLeader(ChangeMembers { std::move(members) });
        return someUpstream(cluster);
    }

    bool isHeartbeat(const Event& event, ProcessId upstream)
    {
        return event.kind == Event::Kind::Sent && event.actor == upstream && std::holds_alternative<HeartbeatPacket>(event.packet->content);
    }

    bool isHeartbeatAnswer(const Event& event, ProcessId upstream)
    {
        return event.kind == Event::Kind::Sent && event.packet->to == upstream && std::holds_alternative<HeartbeatReplyPacket>(event.packet->content);
    }

    std::vector<Step> makeSteps()
    {
        std::vector<Step> steps;
        steps.push_back({ "announce", announce, [](const Event& e, ProcessId) { return sentCommand<AttachUpstream>(e) != nullptr; } });
        steps.push_back({ "attach", announce, [](const Event& e, ProcessId) { return isApplying<AttachUpstream>(e); } });
        steps.push_back({ "grant", killUpstream, [](const Event& e, ProcessId) { return isAppending<AssignSlots>(e); } });
        steps.push_back({ "renew", [](Cluster& c) { return someUpstream(c); }, isHeartbeat });
        steps.push_back({ "answer renewal", [](Cluster& c) { return someUpstream(c); }, isHeartbeatAnswer });
        steps.push_back({ "delegate", [](Cluster& c) { return someUpstream(c); }, [](const Event& e, ProcessId) { return isSending<DelegationReply>(e); } });
        steps.push_back({ "take over", killUpstream, [](const Event& e, ProcessId) { return sentCommand<ExpireUpstream>(e) != nullptr; } });
        steps.push_back({ "hand over", drain, [](const Event& e, ProcessId) { return isAppending<BeginMove>(e); } });
        steps.push_back({ "release", drain, [](const Event& e, ProcessId) { return sentCommand<ReleaseSlots>(e) != nullptr; } });
        steps.push_back({ "drain", drain, [](const Event& e, ProcessId) { return sentCommand<DrainUpstream>(e) != nullptr; } });
        steps.push_back({ "submit", submitBundle, [](const Event& e, ProcessId) { return sentCommand<AcceptBundle>(e) != nullptr; } });
        steps.push_back({ "roll out", submitBundle, [](const Event& e, ProcessId) { return isAppending<AdvanceRollout>(e); } });
        steps.push_back({ "elect", killLeader, [](const Event& e, ProcessId) { return isSending<VoteRequest>(e); } });
        steps.push_back({ "vote", killLeader, [](const Event& e, ProcessId) { return isSending<VoteReply>(e); } });
        steps.push_back({ "commit", announce, [](const Event& e, ProcessId) { return isAppending<AttachUpstream>(e); } });
        steps.push_back({ "snapshot", manyCommands, [](const Event& e, ProcessId) { return e.kind == Event::Kind::SnapshotWritten; } });
        steps.push_back({ "catch up", returnOfMember, [](const Event& e, ProcessId) { return isSending<SnapshotChunk>(e); } });
        steps.push_back({ "join", replaceDisk, [](const Event& e, ProcessId) { return isAppending<ChangeMembers>(e); } });
        steps.push_back({ "leave", removeMember, [](const Event& e, ProcessId) { return isAppending<ChangeMembers>(e); } });
        return steps;
    }

    /// Strikes once, after the event at which the step is reached.
    class Trap {
    public:
        Trap(Cluster& cluster, const Step& step, const Fault& fault)
            : cluster(cluster)
            , step(step)
            , fault(fault)
        {
            this->cluster.observer = [this](const Event& event) { this->isDue = this->isDue || this->step.reached(event, this->upstream); };
        }
        ~Trap() { this->cluster.observer = nullptr; }
        Trap(const Trap&) = delete;
        Trap& operator=(const Trap&) = delete;

        bool spring()
        {
            this->roles.leader = this->cluster.leader();
            this->roles.follower = this->cluster.anyFollower();
            this->upstream = someUpstream(this->cluster);
            this->upstream = this->step.start(this->cluster);
            const auto reached = this->cluster.runUntil(12s, [this] { return this->isDue; });
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
        bool isDue {};
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
        Trap trap { cluster, step, fault };
        cell.isReached = trap.spring();
    }
    cluster.run(fault.length);
    cell.longestMoveGap = cluster.longestGap(Cluster::moveService);
    cluster.heal();
    if (!cluster.runUntil(15s, [&] { return cluster.areAllServed() && cluster.isConverged(); })) {
        cluster.violation("not all slots are served 15 s after everything is healed");
    }
    cluster.run(3s);
    cluster.checkAcknowledged();
    if (fault.keepsMajority && cell.longestMoveGap > 5s) {
        cluster.violation("a slot of a `move` service had no serving owner for " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(cell.longestMoveGap).count()) + " ms");
    }
    cell.violations = cluster.violations();
    return cell;
}

}
