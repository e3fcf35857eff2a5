#include "core/registry/RegistryService.h"
#include "core/registry/RegistryReplica.h"

#include "adapters/codec/RegistryCodec.h"
#include "core/registry/RegistryFixture.h"
#include "core/support/SeededRandom.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

using Service = RegistryService<SeededRandom, BinaryRegistryCodec>;
using Replica = RegistryReplica<BinaryRegistryCodec>;

/// A registry of one member, whose writes the test makes durable.
struct SingleMember {
    Instant now { std::chrono::seconds { 50 } };
    Service service;
    std::vector<ControlResponse> answers;
    std::vector<OutboundMessage> sent;
    bool hasDisk { true };

    explicit SingleMember(std::vector<MemberSpec> members = { { NodeId { 1 }, DiskId { 1 }, true } })
        : service(state(std::move(members)), { NodeId { 1 }, NodeId { 2 } }, SeededRandom { 7 }, {}, now)
    {
    }

    static MemberState state(std::vector<MemberSpec> members)
    {
        MemberState result;
        result.node = NodeId { 1 };
        result.disk = DiskId { 1 };
        result.initialMembers = std::move(members);
        return result;
    }

    void drive()
    {
        for (int i = 0; i < 4; ++i) {
            auto effects = this->service.takeEffects(this->now);
            this->answers.insert(this->answers.end(), effects.answers.begin(), effects.answers.end());
            this->sent.insert(this->sent.end(), effects.immediate.begin(), effects.immediate.end());
            if (effects.storage.needsWrite() && this->hasDisk) {
                this->service.persisted(this->now);
            }
            this->sent.insert(this->sent.end(), effects.afterPersist.begin(), effects.afterPersist.end());
        }
    }

    void pass(milliseconds time)
    {
        for (auto end = this->now + time; this->now < end;) {
            this->now += milliseconds { 25 };
            this->service.tick(this->now);
            this->drive();
        }
    }

    template <typename Result>
    const Result* responseTo(std::uint64_t requestId) const
    {
        const auto found = std::ranges::find(this->answers, ControlRequestId { requestId }, &ControlResponse::requestId);
        return found == this->answers.end() ? nullptr : std::get_if<Result>(&found->result);
    }
};

ChangeItems firstItems() { return { { serviceItem("k", true), routeItem("r", "k") }, {} }; }

}

TEST_CASE("a change is acknowledged only once it is durable")
{
    SingleMember member;
    member.pass(milliseconds { 2'000 });
    member.hasDisk = false;
    member.service.changeItems(member.now, ControlRequestId { 1 }, firstItems());
    member.drive();
    CHECK(member.answers.empty());
    member.hasDisk = true;
    member.service.persisted(member.now);
    member.drive();
    REQUIRE(member.responseTo<ItemsResult>(1) != nullptr);
    CHECK(member.responseTo<ItemsResult>(1)->code == ResultCode::Ok);
}

TEST_CASE("repeats of a change are acknowledged again without another log entry")
{
    SingleMember member;
    member.pass(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, firstItems());
    member.service.changeItems(member.now, ControlRequestId { 2 }, firstItems());
    member.drive();
    const auto applied = member.service.state().appliedIndex();
    member.service.changeItems(member.now, ControlRequestId { 3 }, firstItems());
    member.drive();
    for (std::uint64_t requestId = 1; requestId <= 3; ++requestId) {
        REQUIRE(member.responseTo<ItemsResult>(requestId) != nullptr);
        CHECK(member.responseTo<ItemsResult>(requestId)->code == ResultCode::Ok);
    }
    CHECK(member.service.state().appliedIndex() == applied);
}

TEST_CASE("of two changes with one version and other content the second is refused")
{
    SingleMember member;
    member.pass(milliseconds { 2'000 });
    auto other = firstItems();
    other.upserts[1] = routeItem("r", "other");
    other.upserts.push_back(serviceItem("other", false));
    member.service.changeItems(member.now, ControlRequestId { 1 }, firstItems());
    member.service.changeItems(member.now, ControlRequestId { 2 }, other);
    member.drive();
    CHECK(member.responseTo<ItemsResult>(1)->code == ResultCode::Ok);
    CHECK(member.responseTo<ItemsResult>(2)->code == ResultCode::ItemConflict);
}

TEST_CASE("a member without a quorum answers nothing as if it led")
{
    SingleMember member { { { NodeId { 1 }, DiskId { 1 }, true }, { NodeId { 2 }, DiskId { 2 }, true }, { NodeId { 3 }, DiskId { 3 }, true } } };
    member.pass(milliseconds { 3'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, firstItems());
    member.service.heartbeat(member.now, ControlRequestId { 2 }, heartbeat(announcement("u", "k"), 1));
    member.service.depart(member.now, ControlRequestId { 3 }, "u", std::nullopt);
    member.drive();
    for (std::uint64_t requestId = 1; requestId <= 3; ++requestId) {
        CHECK(member.responseTo<LeaderUnavailable>(requestId) != nullptr);
    }
    CHECK(member.service.redirectForRead(member.now));
    member.sent.clear();
    member.service.receive(member.now, NodeId { 9 }, FeedRequest { 1, {}, {}, 0 });
    member.service.receive(member.now, NodeId { 9 }, MemberProbe { 1 });
    member.pass(milliseconds { 1'000 });
    CHECK(std::ranges::none_of(member.sent, [](const OutboundMessage& message) { return message.to == NodeId { 9 }; }));
}

TEST_CASE("a process that is no member asks to join")
{
    SingleMember member { { { NodeId { 2 }, DiskId { 2 }, true } } };
    member.pass(milliseconds { 400 });
    CHECK(std::ranges::any_of(member.sent, [](const OutboundMessage& message) { return message == OutboundMessage { NodeId { 2 }, JoinRequest { NodeId { 1 }, DiskId { 1 } } }; }));
}

TEST_CASE("keys are placed once upstreams are there, and granted with their heartbeats")
{
    SingleMember member;
    member.pass(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, firstItems());
    member.drive();
    std::uint64_t requestId = 10;
    const auto upstream = announcement("u", "k");
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        member.service.heartbeat(member.now, ControlRequestId { ++requestId }, heartbeat(upstream, sequence));
        member.drive();
        member.pass(milliseconds { 800 });
    }
    const auto* answer = member.responseTo<KeyHeartbeatReply>(requestId);
    REQUIRE(answer != nullptr);
    REQUIRE(answer->hasGrants);
    REQUIRE(answer->grants.size() == 1);
    CHECK(answer->grants[0].first == 0);
    CHECK(answer->grants[0].last == keyNumberCount - 1);
}

namespace {

/// A leader with a sharded service and one upstream that has announced itself.
struct LeaderWithUpstream : SingleMember {
    RegisterUpstream upstream = announcement("u", "k");

    LeaderWithUpstream()
    {
        this->pass(milliseconds { 2'000 });
        this->service.changeItems(this->now, ControlRequestId { 1 }, firstItems());
        this->drive();
        this->beat(10, 1);
        this->pass(milliseconds { 100 });
    }

    void beat(std::uint64_t requestId, std::uint64_t sequence, std::vector<HeldKeys> held = {})
    {
        this->service.heartbeat(this->now, ControlRequestId { requestId }, heartbeat(this->upstream, sequence, std::move(held)));
        this->drive();
    }

    std::vector<HeldKeys> granted(std::uint64_t requestId) const
    {
        const auto* answer = this->responseTo<KeyHeartbeatReply>(requestId);
        std::vector<HeldKeys> keys;
        for (const auto& range : answer == nullptr ? std::vector<KeyRange> {} : answer->grants) {
            keys.push_back({ range.first, range.last, range.fence });
        }
        return keys;
    }
};

}

TEST_CASE("news reach an upstream at once where its heartbeat waits for an answer")
{
    // Guards against keys that wait for the next heartbeat although a control request of their owner is open.
    LeaderWithUpstream leader;
    leader.pass(milliseconds { 900 });
    leader.beat(11, 2);
    REQUIRE(leader.responseTo<KeyHeartbeatReply>(11) == nullptr);
    // The service settles 1.2 s after its first announcement.
    leader.pass(milliseconds { 250 });
    CHECK(leader.granted(11).size() == 1);
}

TEST_CASE("a heartbeat without news is answered before its sender gives up")
{
    LeaderWithUpstream leader;
    leader.pass(milliseconds { 1'000 });
    leader.beat(11, 2);
    leader.pass(milliseconds { 400 });
    const auto held = leader.granted(11);
    REQUIRE(held.size() == 1);
    leader.beat(12, 3, held);
    leader.pass(milliseconds { 450 });
    CHECK(leader.responseTo<KeyHeartbeatReply>(12) == nullptr);
    leader.pass(milliseconds { 100 });
    CHECK(leader.granted(12) == held);
}

TEST_CASE("a later heartbeat ends the wait of the one before")
{
    LeaderWithUpstream leader;
    leader.beat(11, 2);
    leader.beat(12, 3);
    REQUIRE(leader.responseTo<KeyHeartbeatReply>(11) != nullptr);
    CHECK(!leader.responseTo<KeyHeartbeatReply>(11)->hasGrants);
    CHECK(leader.responseTo<KeyHeartbeatReply>(12) == nullptr);
}

TEST_CASE("heartbeats that wait are passed on where the member stops leading")
{
    // Guards against an upstream that waits a second for a member that cannot answer any more.
    LeaderWithUpstream leader;
    leader.beat(11, 2);
    REQUIRE(leader.responseTo<KeyHeartbeatReply>(11) == nullptr);
    AppendRequest append;
    append.term = Term { 1'000 };
    leader.service.receive(leader.now, NodeId { 2 }, append);
    leader.drive();
    CHECK((leader.responseTo<RedirectToLeader>(11) != nullptr || leader.responseTo<LeaderUnavailable>(11) != nullptr));
}

TEST_CASE("a copy is complete only with everything that its member had applied")
{
    // Guards against an entry VM that takes the first part of the log for the whole configuration.
    SingleMember member;
    member.pass(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, firstItems());
    member.drive();
    for (int i = 0; i < 2'000; ++i) {
        member.service.heartbeat(member.now, ControlRequestId { 100 + static_cast<std::uint64_t>(i) }, heartbeat(announcement("u" + std::to_string(i), "k"), 1));
        member.drive();
    }
    Replica replica { { NodeId { 1 } }, {} };
    Instant now { std::chrono::seconds { 1 } };
    auto messages = replica.nextMessages(now);
    REQUIRE(messages.size() == 1);
    replica.handleProbeReply(now, NodeId { 1 }, { std::get<MemberProbe>(messages[0].message).sequence });
    int rounds = 0;
    while (!replica.isComplete() && ++rounds < 50) {
        now += milliseconds { 10 };
        for (const auto& message : replica.nextMessages(now)) {
            member.sent.clear();
            member.service.receive(member.now, NodeId { 9 }, message.message);
            member.drive();
            for (const auto& answer : member.sent) {
                if (const auto* reply = std::get_if<FeedReply>(&answer.message)) {
                    REQUIRE(replica.take(now, NodeId { 1 }, *reply));
                    CHECK((replica.isComplete() || replica.state().appliedIndex() < member.service.state().appliedIndex()));
                }
            }
        }
    }
    CHECK(rounds > 2);
    CHECK(replica.state().snapshot() == member.service.state().snapshot());
}

TEST_CASE("an entry VM that is dozens of entries behind catches up with one request")
{
    // Guards against one round trip between regions for every few entries.
    SingleMember member;
    member.pass(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 100 }, firstItems());
    for (std::uint64_t i = 1; i <= 30; ++i) {
        member.service.changeItems(member.now, ControlRequestId { i }, { { routeItem("route-" + std::to_string(i), "k") }, {} });
        member.drive();
    }
    Replica replica { { NodeId { 1 } }, {} };
    REQUIRE(member.service.state().appliedIndex().value > 20);
    const auto probe = std::get<MemberProbe>(replica.nextMessages(member.now)[0].message).sequence;
    replica.handleProbeReply(member.now, NodeId { 1 }, { probe });
    const auto request = replica.nextMessages(member.now).back().message;
    member.sent.clear();
    member.service.receive(member.now, NodeId { 9 }, request);
    member.drive();
    REQUIRE(member.sent.size() > 1);
    for (const auto& [to, message] : member.sent) {
        const auto& reply = std::get<FeedReply>(message);
        CHECK(!replica.isComplete());
        std::size_t bytes = 0;
        for (const auto& entry : reply.entries) {
            bytes += estimatedBytes(entry.command);
        }
        CHECK((bytes <= registry::datagramFeedBytes || reply.entries.size() == 1));
        REQUIRE(replica.take(member.now, NodeId { 1 }, reply));
    }
    CHECK(replica.isComplete());
    CHECK(replica.state().appliedIndex() == member.service.state().appliedIndex());
}

TEST_CASE("a member that has applied nothing of its leader's term answers no feed before it has")
{
    // Guards against a wait of half a second: after a common restart the leader's commit index is zero, every member has
    // that much, and the request was dropped once it turned out that more was committed.
    SingleMember member { { { NodeId { 1 }, DiskId { 1 }, true }, { NodeId { 2 }, DiskId { 2 }, true } } };
    const auto append = [&](LogIndex previous, LogIndex commit, std::vector<LogEntry> entries) {
        AppendRequest request;
        request.term = Term { 5 };
        request.previousIndex = previous;
        request.previousTerm = previous == LogIndex {} ? Term {} : Term { 5 };
        request.commitIndex = commit;
        request.entries = std::move(entries);
        member.service.receive(member.now, NodeId { 2 }, request);
        member.drive();
        member.pass(milliseconds { 50 });
    };
    append({}, {}, {});
    append({}, {}, {});
    const auto answers = [&] { return std::ranges::count_if(member.sent, [](const OutboundMessage& sent) { return std::holds_alternative<FeedReply>(sent.message) || std::holds_alternative<MemberProbeReply>(sent.message); }); };
    member.service.receive(member.now, NodeId { 9 }, MemberProbe { 1 });
    member.service.receive(member.now, NodeId { 9 }, FeedRequest { 1, {}, {}, 0 });
    member.drive();
    CHECK(answers() == 0);
    append({}, {}, { { Term { 5 }, LogIndex { 1 }, firstItems() } });
    for (int round = 0; round < 2; ++round) {
        append(LogIndex { 1 }, LogIndex { 1 }, {});
    }
    member.service.receive(member.now, NodeId { 9 }, FeedRequest { 2, {}, {}, 0 });
    member.drive();
    CHECK(answers() == 1);
}

TEST_CASE("a request without an answer goes to another member that answers probes")
{
    Replica replica { { NodeId { 1 }, NodeId { 2 } }, {} };
    Instant now { std::chrono::seconds { 1 } };
    const auto probe = std::get<MemberProbe>(replica.nextMessages(now)[0].message).sequence;
    replica.handleProbeReply(now + milliseconds { 1 }, NodeId { 1 }, { probe });
    replica.handleProbeReply(now + milliseconds { 2 }, NodeId { 2 }, { probe });
    now += milliseconds { 50 };
    static_cast<void>(replica.nextMessages(now));
    CHECK(replica.source() == NodeId { 1 });
    now += Replica::patience + milliseconds { 1 };
    static_cast<void>(replica.nextMessages(now));
    CHECK(replica.source() == NodeId { 2 });
}

TEST_CASE("an answer that comes after its request was repeated counts")
{
    // Guards against a copy that never gets news over a full link, where every answer takes longer than the patience.
    SingleMember member;
    member.pass(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, firstItems());
    member.drive();
    Replica replica { { NodeId { 1 } }, {} };
    Instant now { std::chrono::seconds { 1 } };
    const auto probe = std::get<MemberProbe>(replica.nextMessages(now)[0].message).sequence;
    replica.handleProbeReply(now, NodeId { 1 }, { probe });
    now += milliseconds { 50 };
    const auto requests = replica.nextMessages(now);
    REQUIRE(!requests.empty());
    member.sent.clear();
    member.service.receive(member.now, NodeId { 9 }, requests.back().message);
    member.drive();
    const auto answer = std::ranges::find_if(member.sent, [](const OutboundMessage& message) { return std::holds_alternative<FeedReply>(message.message); });
    REQUIRE(answer != member.sent.end());
    now += Replica::patience + milliseconds { 200 };
    static_cast<void>(replica.nextMessages(now));
    const auto changed = replica.take(now, NodeId { 1 }, std::get<FeedReply>(answer->message));
    REQUIRE(changed);
    CHECK(*changed);
    CHECK(replica.state().hasItems());
}
