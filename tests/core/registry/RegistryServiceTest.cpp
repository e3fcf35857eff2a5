#include "core/registry/RegistryService.h"
#include "core/registry/RegistryReplica.h"

#include "core/registry/SingleMember.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

TEST_CASE("a change is acknowledged only once it is durable")
{
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    member.isDiskWritable = false;
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
    member.drive();
    CHECK(member.responses.empty());
    member.isDiskWritable = true;
    member.service.persisted(member.now);
    member.drive();
    REQUIRE(member.responseTo<ItemsResult>(1) != nullptr);
    CHECK(member.responseTo<ItemsResult>(1)->code == ResultCode::Ok);
}

TEST_CASE("repeats of a change are acknowledged again without another log entry")
{
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
    member.service.changeItems(member.now, ControlRequestId { 2 }, initialItems());
    member.drive();
    const auto applied = member.service.state().appliedIndex();
    member.service.changeItems(member.now, ControlRequestId { 3 }, initialItems());
    member.drive();
    for (std::uint64_t requestId = 1; requestId <= 3; ++requestId) {
        REQUIRE(member.responseTo<ItemsResult>(requestId) != nullptr);
        CHECK(member.responseTo<ItemsResult>(requestId)->code == ResultCode::Ok);
    }
    CHECK(member.service.state().appliedIndex() == applied);
}

TEST_CASE("of two changes with the same version and different content the second is rejected")
{
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    auto other = initialItems();
    other.upserts[1] = routeItem("r", "other");
    other.upserts.push_back(serviceItem("other", false));
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
    member.service.changeItems(member.now, ControlRequestId { 2 }, other);
    member.drive();
    CHECK(member.responseTo<ItemsResult>(1)->code == ResultCode::Ok);
    CHECK(member.responseTo<ItemsResult>(2)->code == ResultCode::ItemConflict);
}

TEST_CASE("a member without a quorum does not act as leader")
{
    SingleMember member { { { NodeId { 1 }, DiskId { 1 }, true }, { NodeId { 2 }, DiskId { 2 }, true }, { NodeId { 3 }, DiskId { 3 }, true } } };
    member.advance(milliseconds { 3'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
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
    member.advance(milliseconds { 1'000 });
    std::vector<PeerMessage> received;
    for (const auto& [to, message] : member.sent) {
        if (to == NodeId { 9 }) {
            received.push_back(message);
        }
    }
    CHECK(received == std::vector<PeerMessage> { MemberUnavailableReply { 1 } });
}

TEST_CASE("a process that is not a member sends join requests")
{
    SingleMember member { { { NodeId { 2 }, DiskId { 2 }, true } } };
    member.advance(milliseconds { 400 });
    CHECK(std::ranges::any_of(member.sent, [](const OutboundMessage& message) { return message == OutboundMessage { NodeId { 2 }, JoinRequest { NodeId { 1 }, DiskId { 1 } } }; }));
}

TEST_CASE("a process that is not a member sends join requests to the newest seeds")
{
    // Guards against a removed member that asks only machines that no longer exist.
    SingleMember member { { { NodeId { 2 }, DiskId { 2 }, true } } };
    const std::vector<NodeId> seeds { NodeId { 8 } };
    member.service.setSeeds(seeds);
    member.advance(milliseconds { 400 });
    CHECK(std::ranges::any_of(member.sent, [](const OutboundMessage& message) { return message == OutboundMessage { NodeId { 8 }, JoinRequest { NodeId { 1 }, DiskId { 1 } } }; }));
}

TEST_CASE("large changes are compacted long before their number requires it")
{
    // Guards against a log that outgrows the memory of its member, which then ends on each restart too.
    SingleMember member;
    member.advance(milliseconds { 1'000 });
    std::size_t snapshots = 0;
    for (std::uint64_t version = 1; version <= 60; ++version) {
        auto item = serviceItem("k", false, version);
        item.document = std::to_string(version) + std::string(500'000, 'x');
        member.service.changeItems(member.now, ControlRequestId { version }, { { item }, {} });
        for (int round = 0; round < 3; ++round) {
            const auto effects = member.service.takeEffects(member.now);
            member.service.persisted(member.now);
            if (effects.snapshot) {
                ++snapshots;
                member.service.snapshotSaved(*effects.snapshot);
            }
        }
    }
    CHECK(snapshots >= 2);
    CHECK(snapshots <= 6);
    // 16 MB between two snapshots, and 8 MB that are retained for members that lag.
    const auto& ledger = member.service.ledgerMember();
    CHECK(ledger.lastIndex().value - ledger.firstIndex().value < 26);
    CHECK(member.service.state().findItem(ItemKind::Service, "k")->item.version == 60);
}

TEST_CASE("a heartbeat for a sharded service that lists no keys does not end the lease of the present incarnation")
{
    // Guards against a second holder: the keys of the earlier incarnation were assigned at once, while its lease ran.
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
    member.drive();
    const auto owner = announcement("owner", "k", 5);
    member.service.heartbeat(member.now, ControlRequestId { 2 }, heartbeat(owner, 1));
    member.drive();
    auto incomplete = heartbeat(announcement("owner", "k", 9), 1);
    incomplete.listsKeys = false;
    member.service.heartbeat(member.now, ControlRequestId { 3 }, incomplete);
    member.drive();
    CHECK(member.responseTo<HeartbeatRefused>(3) != nullptr);
    CHECK(member.service.state().isAlive(owner.key));
}

TEST_CASE("keys are assigned after upstreams have announced themselves, and granted in replies to heartbeats")
{
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
    member.drive();
    std::uint64_t requestId = 10;
    const auto upstream = announcement("u", "k");
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        member.service.heartbeat(member.now, ControlRequestId { ++requestId }, heartbeat(upstream, sequence));
        member.drive();
        member.advance(milliseconds { 800 });
    }
    const auto* reply = member.responseTo<KeyHeartbeatReply>(requestId);
    REQUIRE(reply != nullptr);
    REQUIRE(reply->hasGrants);
    REQUIRE(reply->grants.size() == 1);
    CHECK(reply->grants[0].first == 0);
    CHECK(reply->grants[0].last == keyNumberCount - 1);
}

namespace {

/// A leader with a sharded service and one upstream that has announced itself.
struct LeaderWithUpstream : SingleMember {
    RegisterUpstream upstream = announcement("u", "k");

    LeaderWithUpstream()
    {
        this->advance(milliseconds { 2'000 });
        this->service.changeItems(this->now, ControlRequestId { 1 }, initialItems());
        this->drive();
        this->sendHeartbeat(10, 1);
        this->advance(milliseconds { 100 });
    }

    void sendHeartbeat(std::uint64_t requestId, std::uint64_t sequence, std::vector<HeldKeys> held = {})
    {
        this->service.heartbeat(this->now, ControlRequestId { requestId }, heartbeat(this->upstream, sequence, std::move(held)));
        this->drive();
    }

    std::vector<HeldKeys> granted(std::uint64_t requestId) const
    {
        const auto* reply = this->responseTo<KeyHeartbeatReply>(requestId);
        std::vector<HeldKeys> keys;
        for (const auto& range : reply == nullptr ? std::vector<KeyRange> {} : reply->grants) {
            keys.push_back({ range.first, range.last, range.fence });
        }
        return keys;
    }
};

}

TEST_CASE("a delayed reply is sent as soon as its upstream gets keys")
{
    // Guards against keys that are granted only with the next heartbeat although a reply to their owner is outstanding.
    LeaderWithUpstream leader;
    leader.advance(milliseconds { 900 });
    leader.sendHeartbeat(11, 2);
    REQUIRE(leader.responseTo<KeyHeartbeatReply>(11) == nullptr);
    // Keys are assigned 1.2 s after the first announcement of a service.
    leader.advance(milliseconds { 250 });
    CHECK(leader.granted(11).size() == 1);
}

TEST_CASE("a delayed reply is sent before its sender times out")
{
    LeaderWithUpstream leader;
    leader.advance(milliseconds { 1'000 });
    leader.sendHeartbeat(11, 2);
    leader.advance(milliseconds { 400 });
    const auto held = leader.granted(11);
    REQUIRE(held.size() == 1);
    leader.sendHeartbeat(12, 3, held);
    leader.advance(milliseconds { 450 });
    CHECK(leader.responseTo<KeyHeartbeatReply>(12) == nullptr);
    leader.advance(milliseconds { 100 });
    CHECK(leader.granted(12) == held);
}

TEST_CASE("a later heartbeat completes the earlier one, whose reply is delayed")
{
    LeaderWithUpstream leader;
    leader.sendHeartbeat(11, 2);
    leader.sendHeartbeat(12, 3);
    REQUIRE(leader.responseTo<KeyHeartbeatReply>(11) != nullptr);
    CHECK(!leader.responseTo<KeyHeartbeatReply>(11)->hasGrants);
    CHECK(leader.responseTo<KeyHeartbeatReply>(12) == nullptr);
}

TEST_CASE("heartbeats with delayed replies are redirected if the member loses leadership")
{
    // Guards against an upstream that waits a second for a member that can no longer reply.
    LeaderWithUpstream leader;
    leader.sendHeartbeat(11, 2);
    REQUIRE(leader.responseTo<KeyHeartbeatReply>(11) == nullptr);
    AppendRequest append;
    append.term = Term { 1'000 };
    leader.service.receive(leader.now, NodeId { 2 }, append);
    leader.drive();
    CHECK((leader.responseTo<RedirectToLeader>(11) != nullptr || leader.responseTo<LeaderUnavailable>(11) != nullptr));
}

TEST_CASE("a heartbeat that names no service of the configuration takes no address from another upstream")
{
    // Guards against one odd entry of another writer that ends the registration of a running upstream.
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
    member.drive();
    const auto running = announcement("running", "k");
    member.service.heartbeat(member.now, ControlRequestId { 2 }, heartbeat(running, 1));
    member.drive();
    REQUIRE(member.service.state().isAlive(running.key));
    auto odd = announcement("odd", "nowhere", 5);
    odd.endpoint = running.endpoint;
    member.service.heartbeat(member.now, ControlRequestId { 3 }, heartbeat(odd, 1));
    member.drive();
    CHECK(member.responseTo<KeyHeartbeatReply>(3) != nullptr);
    CHECK(member.service.state().isAlive(running.key));
    CHECK(member.service.state().findUpstream("odd") == nullptr);
}

TEST_CASE("the warm-up of a new upstream is committed directly after its registration, and entry VMs learn of it at once")
{
    // Guards against entry VMs that see a cold upstream without its warm-up, and against an entry for each heartbeat.
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    auto items = initialItems();
    auto& service = std::get<ServiceItem>(items.upserts[0].content);
    service.warmUpTime = std::chrono::seconds { 3 };
    service.warmUpMilliRequestsPerSecond = 5'200;
    member.service.changeItems(member.now, ControlRequestId { 1 }, items);
    member.drive();
    const auto before = member.service.state().appliedIndex();
    member.sent.clear();
    member.service.receive(member.now, NodeId { 9 }, FeedRequest { 1, before, {}, 0 });
    auto message = heartbeat(announcement("u", "k"), 1);
    message.warmUpLeft = std::chrono::seconds { 3 };
    member.service.heartbeat(member.now, ControlRequestId { 2 }, message);
    // Repeated, because no response has arrived.
    member.service.heartbeat(member.now, ControlRequestId { 3 }, message);
    member.drive();
    const auto reply = std::ranges::find(member.sent, NodeId { 9 }, &OutboundMessage::to);
    REQUIRE(reply != member.sent.end());
    const auto& entries = std::get<FeedReply>(reply->message).entries;
    REQUIRE(entries.size() >= 2);
    CHECK(std::holds_alternative<RegisterUpstream>(entries[0].command));
    CHECK(std::get<BeginWarmUp>(entries[1].command) == BeginWarmUp { message.announcement.key, std::chrono::seconds { 3 } });
    CHECK(std::ranges::count_if(entries, [](const LogEntry& entry) { return std::holds_alternative<BeginWarmUp>(entry.command); }) == 1);

    const auto warmUpAt = member.service.state().warmUpsChangedAt();
    for (std::uint64_t sequence = 2; sequence <= 3; ++sequence) {
        member.advance(milliseconds { 900 });
        message.sequence = sequence;
        message.warmUpLeft -= milliseconds { 900 };
        member.service.heartbeat(member.now, ControlRequestId { 10 + sequence }, message);
        member.drive();
    }
    CHECK(member.service.state().warmUpsChangedAt() == warmUpAt);

    // The upstream is warm, and turns cold again; a heartbeat that was overtaken changes nothing.
    member.advance(milliseconds { 1'300 });
    message.sequence = 5;
    message.warmUpLeft = {};
    member.service.heartbeat(member.now, ControlRequestId { 15 }, message);
    member.drive();
    CHECK(member.service.state().warmUps().at(message.announcement.key).timeLeft == Duration::zero());
    message.sequence = 7;
    message.warmUpLeft = std::chrono::seconds { 3 };
    member.service.heartbeat(member.now, ControlRequestId { 17 }, message);
    member.drive();
    CHECK(member.service.state().warmUps().at(message.announcement.key).timeLeft == std::chrono::seconds { 3 });
    message.sequence = 6;
    message.warmUpLeft = {};
    member.service.heartbeat(member.now, ControlRequestId { 16 }, message);
    member.drive();
    CHECK(member.service.state().warmUps().at(message.announcement.key).timeLeft == std::chrono::seconds { 3 });
}

TEST_CASE("an upstream of a service without a warm-up costs no entry for it")
{
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
    member.drive();
    auto message = heartbeat(announcement("u", "k"), 1);
    message.warmUpLeft = std::chrono::seconds { 3 };
    member.service.heartbeat(member.now, ControlRequestId { 2 }, message);
    member.drive();
    CHECK(member.service.state().isAlive(message.announcement.key));
    CHECK(member.service.state().warmUps().empty());
}
