#include "node/EntryNode.h"

#include "NodeFakes.h"
#include "core/support/OwnershipFixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace teaselturn;

namespace {

constexpr NodeId member { 50 };

BundleCheck acceptAll()
{
    return [](const SignedBundle&, const Bundle*) { return success(); };
}

/// An entry VM in zone wc-paarl whose feed and delegation replies the test sends.
struct EntryFixture {
    RecordingSender sender;
    ManualClock clock;
    RouteDirectory routes;
    std::atomic<int> bundleChanges { 0 };
    EntryNode<RecordingSender, ManualClock> node;
    /// The state machine of the ledger, with its committed entries in `log`.
    OwnershipFixture ledger;
    std::vector<LogEntry> log;

    EntryFixture()
        : node(
            sender, { NodeId { 1 }, BootId { 10 }, ZoneId { 77 }, RegionId { 77 }, { { member, ZoneId { 77 }, RegionId { 77 } } } }, { "wc-paarl", "wcape" },
            acceptAll(), clock, routes, nullptr, [this](const OwnershipState&) { ++this->bundleChanges; })
    {
        this->ledger.onApplied = [this](const LogEntry& entry) { this->log.push_back(entry); };
    }

    /// Takes the node's latest request of a type and drops earlier ones, whose replies the node would ignore.
    template <typename Message>
    std::optional<Message> latest()
    {
        auto request = this->sender.next<Message>();
        while (this->sender.count<Message>() > 0) {
            request = this->sender.next<Message>();
        }
        return request;
    }

    /// Replies to the pending feed request with every committed entry above its applied index.
    void sendFeedReply()
    {
        this->node.tick();
        const auto request = this->latest<FeedRequest>();
        REQUIRE(request.has_value());
        FeedReply reply { request->sequence, this->ledger.state.appliedIndex(), {}, 0, 0, {}, {} };
        for (const auto& entry : this->log) {
            if (entry.index > request->appliedIndex) {
                reply.entries.push_back(entry);
            }
        }
        this->node.receive(member, reply);
    }

    void sendDelegationReply()
    {
        this->clock.advance(timing::delegationRenewal);
        this->node.tick();
        const auto request = this->latest<DelegationRequest>();
        REQUIRE(request.has_value());
        this->node.receive(member, DelegationReply { request->sequence, ResultCode::Ok, timing::delegationLength, this->ledger.state.appliedIndex(), member });
    }

    HeartbeatMessage makeHeartbeat(const std::string& service = "tills") const
    {
        HeartbeatMessage message;
        message.name = "tills-1";
        message.incarnation = 7;
        message.sequence = 4;
        message.service = service;
        message.zone = "wc-paarl";
        message.endpoint = { "127.0.0.1", 8080 };
        message.requestSlots = 3;
        message.connectionLimit = 110;
        message.checksGrants = true;
        return message;
    }
};

}

TEST_CASE("an entry VM learns its zone, routes and owners from the feed", "[node]")
{
    EntryFixture fixture;
    CHECK_FALSE(fixture.routes.findService("tills").has_value());
    fixture.ledger.apply(AcceptBundle { fixture.ledger.bundle(1) });
    fixture.sendFeedReply();
    CHECK(fixture.bundleChanges == 1);
    CHECK(fixture.node.withState([](const OwnershipState&, RegionId region) { return region; }) == wcape);
    const auto service = fixture.routes.findService("tills");
    REQUIRE(service.has_value());
    const auto attached = fixture.ledger.attach("tills-1", tills, NodeId { 1 }, BootId { 10 });
    for (std::uint32_t i = 0; i < fixturePartitions; ++i) {
        fixture.ledger.assign({ tills, i }, attached.upstream);
    }
    const auto version = fixture.routes.version();
    fixture.sendFeedReply();
    // The version must change to wake requests that wait for an owner.
    CHECK(fixture.routes.version() > version);
    const auto route = fixture.routes.find(service->id, "some key");
    REQUIRE(route.has_value());
    CHECK(route->owner == attached.upstream);
    const auto owner = fixture.routes.findOwner(route->owner);
    REQUIRE(owner.has_value());
    // Three entry VMs share the connections of an upstream.
    CHECK(owner->connectionShare * 3 <= fixture.ledger.state.findUpstream(attached.upstream)->attachment.connectionLimit);
    fixture.ledger.apply(ExpireUpstream { attached.upstream, attached.session, ExpiryReason::LeaseEnded });
    fixture.sendFeedReply();
    CHECK(fixture.routes.find(service->id, "some key")->owner == UpstreamId {});
    CHECK_FALSE(fixture.routes.findOwner(attached.upstream).has_value());
}

TEST_CASE("the route table is fresh only during a delegation whose commit index has been applied", "[node]")
{
    // Guards I1 for upstreams that don't check grants: only a fresh table keeps requests from a former owner.
    EntryFixture fixture;
    fixture.ledger.apply(AcceptBundle { fixture.ledger.bundle(1) });
    CHECK_FALSE(fixture.routes.isTableFresh(fixture.clock.now()));
    fixture.sendDelegationReply();
    // The delegation names a commit index that this VM has not applied.
    CHECK_FALSE(fixture.routes.isTableFresh(fixture.clock.now()));
    CHECK(fixture.node.view().isBehind);
    fixture.sendFeedReply();
    CHECK(fixture.routes.isTableFresh(fixture.clock.now()));
    CHECK_FALSE(fixture.node.view().isBehind);
    fixture.clock.advance(timing::delegationLength);
    CHECK_FALSE(fixture.routes.isTableFresh(fixture.clock.now()));
}

TEST_CASE("a heartbeat must name a service and a zone of the bundle", "[node]")
{
    EntryFixture fixture;
    CHECK(fixture.node.handleHeartbeat(fixture.makeHeartbeat()).code == static_cast<unsigned>(ResultCode::HeartbeatInvalid));
    fixture.ledger.apply(AcceptBundle { fixture.ledger.bundle(1) });
    fixture.sendFeedReply();
    fixture.sendDelegationReply();
    CHECK(fixture.node.handleHeartbeat(fixture.makeHeartbeat("nowhere")).code == static_cast<unsigned>(ResultCode::HeartbeatInvalid));
    const auto attaching = fixture.node.handleHeartbeat(fixture.makeHeartbeat());
    CHECK(attaching.leaseMilliseconds == 0);
    CHECK(attaching.incarnation == 7);
    CHECK(attaching.sequence == 4);
    const auto proposal = fixture.sender.next<ProposeRequest>();
    REQUIRE(proposal.has_value());
    const auto outcome = fixture.ledger.apply(proposal->command);
    fixture.ledger.assign({ tills, 3 }, outcome.upstream);
    fixture.sendFeedReply();
    auto heartbeat = fixture.makeHeartbeat();
    heartbeat.session = outcome.session.value;
    fixture.sendDelegationReply();
    const auto granted = fixture.node.handleHeartbeat(heartbeat);
    CHECK(granted.code == 0);
    CHECK(granted.leaseMilliseconds == timing::leaseLength.count());
    REQUIRE(granted.grants.size() == 1);
    CHECK(granted.grants.front().slot == 3);
}

TEST_CASE("a proposal returns its outcome, or NoQuorum if no reply arrives in time", "[node]")
{
    EntryFixture fixture;
    std::optional<Result<ApplyOutcome>> result;
    std::thread caller { [&] { result = fixture.node.propose(AcceptBundle { fixture.ledger.bundle(1) }); } };
    const auto request = fixture.sender.next<ProposeRequest>();
    REQUIRE(request.has_value());
    // A proposal without a reply is sent again under the same sequence number.
    fixture.clock.advance(timing::proposalResendInterval);
    fixture.node.tick();
    const auto again = fixture.sender.next<ProposeRequest>();
    REQUIRE(again.has_value());
    CHECK(again->sequence == request->sequence);
    ProposeReply reply { request->sequence, ResultCode::Ok, LogIndex { 1 }, {}, member };
    reply.outcome.code = ResultCode::BundleConflict;
    fixture.node.receive(member, reply);
    caller.join();
    REQUIRE(result->hasValue());
    CHECK((*result)->code == ResultCode::BundleConflict);

    std::thread second { [&] { result = fixture.node.propose(AcceptBundle { fixture.ledger.bundle(2) }); } };
    REQUIRE(fixture.sender.next<ProposeRequest>().has_value());
    fixture.clock.advance(timing::proposalTimeout);
    fixture.node.tick();
    second.join();
    CHECK(result->error() == ResultCode::NoQuorum);
}
