#include "core/registry/KeyCoordinator.h"
#include "core/registry/RegistryReplica.h"
#include "core/registry/RegistryService.h"

#include "adapters/codec/RegistryCodec.h"
#include "core/registry/RegistryFixture.h"
#include "core/support/SeededRandom.h"

#include <catch2/catch.hpp>
#include <map>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

/// A leader's coordinator and a simulated service whose upstreams send heartbeats, release and take keys. Commands are
/// applied after a commit time.
struct EvacuatedService {
    RegistryState state;
    KeyCoordinator coordinator;
    std::vector<RegisterUpstream> upstreams;
    std::map<std::string, std::uint64_t> sequences;
    /// Keys that each upstream holds, by its latest reply.
    std::map<std::string, std::vector<KeyRange>> held;
    /// Keys that each upstream has released since its latest heartbeat.
    std::map<std::string, std::vector<KeyRange>> released;
    std::vector<std::pair<Instant, Command>> proposed;
    Instant now { std::chrono::seconds { 100 } };
    std::size_t handovers {};

    EvacuatedService(int count, int zones)
    {
        this->apply(ChangeItems { { serviceItem("k", true) }, {} });
        for (int i = 0; i < count; ++i) {
            auto upstream = announcement("u" + std::to_string(i), "k");
            upstream.endpoint = { "10.0.1." + std::to_string(i % 250), static_cast<std::uint16_t>(8'000 + i) };
            upstream.zone = "z" + std::to_string(i % zones);
            this->apply(upstream);
            this->upstreams.push_back(upstream);
        }
        this->coordinator.becameLeader(this->now, this->state);
    }

    void apply(const Command& command) { REQUIRE(applyNext(this->state, command) == ResultCode::Ok); }

    void sendHeartbeat(const RegisterUpstream& upstream)
    {
        const auto& name = upstream.key.name;
        auto message = heartbeat(upstream, ++this->sequences[name]);
        auto& keys = this->held[name];
        const auto granted = std::exchange(keys, {});
        for (const auto& range : granted) {
            message.held.push_back({ range.first, range.last, range.fence });
        }
        for (const auto& range : this->released[name]) {
            message.released.push_back({ range.first, range.last, "handover" });
        }
        REQUIRE(this->coordinator.recordHeartbeat(this->now, message));
        this->coordinator.recordReleases(this->now, message, this->state);
        const auto reply = this->coordinator.makeReply(message, this->state);
        keys = reply.grants;
        // What the reply no longer grants is released with the next heartbeat.
        this->released[name].clear();
        for (const auto& range : granted) {
            if (std::ranges::none_of(keys, [&range](const KeyRange& kept) { return kept.first <= range.first && range.last <= kept.last; })) {
                for (const auto& part : this->state.keyRanges("k")) {
                    if (overlaps(part.first, part.last, range.first, range.last) && part.isMoving()) {
                        this->released[name].push_back(part);
                    }
                }
            }
        }
    }

    /// Each upstream sends a heartbeat every 400 ms, spread evenly; a released range is reported after 100 ms.
    void advance(milliseconds time)
    {
        for (const auto end = this->now + time; this->now < end; this->now += milliseconds { 25 }) {
            const auto step = this->now.time_since_epoch() / milliseconds { 25 };
            for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
                const bool isDue = static_cast<std::size_t>(step) % 16 == i % 16;
                const bool hasReleases = !this->released[this->upstreams[i].key.name].empty() && step % 4 == 0;
                if (isDue || hasReleases) {
                    this->sendHeartbeat(this->upstreams[i]);
                }
            }
            while (!this->proposed.empty() && this->proposed.front().first <= this->now) {
                this->recordAssignments(this->proposed.front().second);
                this->apply(this->proposed.front().second);
                this->proposed.erase(this->proposed.begin());
            }
            if (this->proposed.empty()) {
                for (auto& command : this->coordinator.decide(this->now, this->state)) {
                    this->proposed.emplace_back(this->now + milliseconds { 75 }, std::move(command));
                }
            }
        }
    }

    void recordAssignments(const Command& command)
    {
        if (const auto* assigned = std::get_if<AssignKeyRanges>(&command)) {
            this->handovers += static_cast<std::size_t>(std::ranges::count(assigned->grants, "handover", &KeyRangeGrant::handover));
        }
    }

    void reportLoad()
    {
        ServiceKeyLoad load { "k", {} };
        for (std::uint32_t first = 0; first < keyNumberCount; first += 256) {
            load.loads.push_back({ static_cast<KeyNumber>(first), static_cast<KeyNumber>(first + 255), 20, 20, 4'000 });
        }
        this->coordinator.addLoad(this->now, { NodeId { 9 }, { load } }, this->state);
    }

    std::uint32_t keysIn(std::string_view zone) const
    {
        std::uint32_t count = 0;
        for (const auto& range : this->state.keyRanges("k")) {
            const auto* owner = this->state.findUpstream(range.owner.name);
            if (owner != nullptr && owner->announcement.zone == zone) {
                count += std::uint32_t { range.last } - range.first + 1;
            }
        }
        return count;
    }
};

}

TEST_CASE("the keys of hundreds of upstreams leave an evacuated zone within the bound, with handover")
{
    // Entry VMs stop sending to the zone 3.5 s after they learn of the order.
    EvacuatedService service { 400, 4 };
    service.advance(milliseconds { 4'000 });
    REQUIRE(service.keysIn("z1") > keyNumberCount / 5);
    service.apply(EvacuateZone { "z1", true });
    service.handovers = 0;
    const auto orderedAt = service.now;
    while (service.keysIn("z1") > 0 && service.now - orderedAt < milliseconds { 10'000 }) {
        service.advance(milliseconds { 25 });
    }
    CHECK(service.now - orderedAt < milliseconds { 3'000 });
    CHECK(service.handovers >= 100);
    // The upstreams are alive: their registration does not change.
    CHECK(std::ranges::all_of(service.upstreams, [&service](const RegisterUpstream& upstream) { return service.state.isAlive(upstream.key); }));
    service.advance(milliseconds { 3'000 });
    CHECK(service.keysIn("z1") == 0);
}

TEST_CASE("keys come back to a zone by ordinary balancing after the withdrawal")
{
    EvacuatedService service { 12, 4 };
    service.advance(milliseconds { 4'000 });
    service.apply(EvacuateZone { "z1", true });
    service.advance(milliseconds { 4'000 });
    REQUIRE(service.keysIn("z1") == 0);
    service.apply(EvacuateZone { "z1", false });
    // Balancing moves keys only under load.
    for (int i = 0; i < 20; ++i) {
        service.reportLoad();
        service.advance(milliseconds { 500 });
    }
    CHECK(service.keysIn("z1") > keyNumberCount / 8);
}

TEST_CASE("keys without an owner are not placed in an evacuated zone")
{
    EvacuatedService service { 12, 4 };
    service.apply(EvacuateZone { "z1", true });
    service.advance(milliseconds { 4'000 });
    CHECK(service.keysIn("z0") > 0);
    CHECK(service.keysIn("z1") == 0);
}

TEST_CASE("keys stay where they are if no other zone can hold them")
{
    // Their owners are asked to release nothing, so that a withdrawal finds everything as it was.
    EvacuatedService service { 3, 1 };
    service.advance(milliseconds { 4'000 });
    const auto changedAt = service.state.keysChangedAt("k");
    service.apply(EvacuateZone { "z0", true });
    service.advance(milliseconds { 4'000 });
    CHECK(service.keysIn("z0") == keyNumberCount);
    CHECK(service.state.keysChangedAt("k") == changedAt);
}

TEST_CASE("a move to an upstream ends when its zone is evacuated")
{
    // Guards against keys that move into the zone and out of it again.
    EvacuatedService service { 4, 2 };
    service.apply(AssignKeyRanges { "k", { { 0, keyNumberCount - 1, service.upstreams[0].key, "" } } });
    service.apply(BeginKeyMoves { "k", { { 0, 99, service.upstreams[1].key }, { 100, 199, service.upstreams[2].key } } });
    service.apply(EvacuateZone { "z1", true });
    CHECK(!service.state.findRange("k", 5)->isMoving());
    CHECK(service.state.findRange("k", 105)->isMoving());
}

TEST_CASE("a new leader goes on moving keys out of an evacuated zone")
{
    // Guards against an order whose effect ends with the leader that recorded it.
    EvacuatedService service { 40, 4 };
    service.advance(milliseconds { 4'000 });
    service.apply(EvacuateZone { "z1", true });
    service.advance(milliseconds { 150 });
    REQUIRE(service.keysIn("z1") > 0);
    service.proposed.clear();
    service.state.restore(service.state.snapshot());
    service.coordinator = KeyCoordinator {};
    service.coordinator.becameLeader(service.now, service.state);
    // A range whose release the former leader was told of passes on when the lease has ended.
    service.advance(milliseconds { 5'000 });
    CHECK(service.keysIn("z1") == 0);
}

TEST_CASE("a replica knows since when commits may be missing")
{
    // Guards against an entry VM that takes an old evacuation order for a new one, because it was cut off, or because the
    // reply with the order is the last of several datagrams.
    RegistryReplica<BinaryRegistryCodec> replica { { NodeId { 1 } }, {} };
    Instant now { std::chrono::seconds { 1 } };
    const auto probe = std::get<MemberProbe>(replica.nextMessages(now)[0].message).sequence;
    replica.handleProbeReply(now, NodeId { 1 }, { probe });
    const auto request = [&replica, &now] {
        now += milliseconds { 50 };
        return std::get<FeedRequest>(replica.nextMessages(now).back().message).sequence;
    };
    const auto entry = [](std::uint64_t index) { return LogEntry { Term { 1 }, LogIndex { index }, EvacuateZone { "z" + std::to_string(index), true } }; };
    const auto first = request();
    CHECK(replica.lastCurrentAt() == Instant {});
    const auto firstRequestedAt = now;
    now += milliseconds { 300 };
    REQUIRE(replica.handleFeedReply(now, NodeId { 1 }, { first, LogIndex { 1 }, { entry(1) }, 0, 0, {}, {} }));
    CHECK(replica.lastCurrentAt() == firstRequestedAt);
    const auto second = request();
    // The first datagram of two. It counts as the reply to an earlier request.
    REQUIRE(replica.handleFeedReply(now, NodeId { 1 }, { second - 1, LogIndex { 3 }, { entry(2) }, 0, 0, {}, {} }));
    CHECK(replica.lastCurrentAt() == firstRequestedAt);
    REQUIRE(replica.handleFeedReply(now, NodeId { 1 }, { second, LogIndex { 3 }, { entry(3) }, 0, 0, {}, {} }));
    CHECK(replica.lastCurrentAt() == now);
}

TEST_CASE("evacuation orders survive a snapshot")
{
    RegistryState state;
    REQUIRE(applyNext(state, EvacuateZone { "z2", true }) == ResultCode::Ok);
    REQUIRE(applyNext(state, EvacuateZone { "z1", true }) == ResultCode::Ok);
    REQUIRE(applyNext(state, EvacuateZone { "z2", false }) == ResultCode::Ok);
    const BinaryRegistryCodec codec;
    auto decoded = codec.decode(codec.encode(state.snapshot()));
    REQUIRE(decoded);
    RegistryState restored;
    restored.restore(std::move(*decoded));
    CHECK(restored.isEvacuated("z1"));
    CHECK(!restored.isEvacuated("z2"));
}

namespace {

/// A registry with a single member. The test reports its writes as persisted.
struct RecordingMember {
    Instant now { std::chrono::seconds { 50 } };
    RegistryService<SeededRandom, BinaryRegistryCodec> service;
    std::vector<ControlResponse> responses;
    bool isDiskWritable { true };

    RecordingMember()
        : service(initialState(), { NodeId { 1 } }, SeededRandom { 7 }, {}, now)
    {
        for (const auto end = this->now + std::chrono::seconds { 2 }; this->now < end;) {
            this->now += milliseconds { 25 };
            this->service.tick(this->now);
            this->drive();
        }
    }

    static MemberState initialState()
    {
        MemberState result;
        result.node = NodeId { 1 };
        result.disk = DiskId { 1 };
        result.initialMembers = { { NodeId { 1 }, DiskId { 1 }, true } };
        return result;
    }

    void drive()
    {
        for (int i = 0; i < 4; ++i) {
            auto effects = this->service.takeEffects(this->now);
            this->responses.insert(this->responses.end(), effects.responses.begin(), effects.responses.end());
            if (effects.storage.needsWrite() && this->isDiskWritable) {
                this->service.persisted(this->now);
            }
        }
    }

    void order(std::uint64_t requestId, const std::string& zone, bool isEvacuated)
    {
        this->service.evacuate(this->now, ControlRequestId { requestId }, { zone, isEvacuated });
        this->drive();
    }

    template <typename Result>
    std::ptrdiff_t countResponses() const
    {
        return std::ranges::count_if(this->responses, [](const ControlResponse& response) { return std::holds_alternative<Result>(response.result); });
    }
};

}

TEST_CASE("an evacuation order is acknowledged only once it is durable")
{
    // Guards against an acknowledged order that a restart or a new leader does not know.
    RecordingMember member;
    member.isDiskWritable = false;
    member.order(1, "z1", true);
    CHECK(member.responses.empty());
    CHECK(!member.service.state().isEvacuated("z1"));
    member.isDiskWritable = true;
    member.service.persisted(member.now);
    member.drive();
    CHECK(member.countResponses<EvacuationRecorded>() == 1);
    CHECK(member.service.state().isEvacuated("z1"));
}

TEST_CASE("repeats of an evacuation order join it, and are acknowledged at once when it is in force")
{
    RecordingMember member;
    member.isDiskWritable = false;
    member.order(1, "z1", true);
    member.order(2, "z1", true);
    const auto lastIndex = member.service.ledgerMember().lastIndex();
    CHECK(member.responses.empty());
    member.isDiskWritable = true;
    member.service.persisted(member.now);
    member.drive();
    CHECK(member.countResponses<EvacuationRecorded>() == 2);
    member.order(3, "z1", true);
    member.order(4, "z2", false);
    CHECK(member.countResponses<EvacuationRecorded>() == 4);
    CHECK(member.service.ledgerMember().lastIndex() == lastIndex);
}

TEST_CASE("a withdrawal that follows an uncommitted order takes effect after it")
{
    // Guards against a withdrawal that is acknowledged because the order before it is not in force yet.
    RecordingMember member;
    member.isDiskWritable = false;
    member.order(1, "z1", true);
    member.order(2, "z1", false);
    CHECK(member.responses.empty());
    member.isDiskWritable = true;
    member.service.persisted(member.now);
    member.drive();
    CHECK(member.countResponses<EvacuationRecorded>() == 2);
    CHECK(!member.service.state().isEvacuated("z1"));
}

TEST_CASE("an evacuation order whose leader is deposed is not acknowledged")
{
    RecordingMember member;
    member.isDiskWritable = false;
    member.order(1, "z1", true);
    AppendRequest append;
    append.term = Term { 1'000 };
    member.service.receive(member.now, NodeId { 2 }, append);
    member.drive();
    CHECK(member.countResponses<EvacuationRecorded>() == 0);
    CHECK(member.countResponses<LeaderUnavailable>() == 1);
    member.order(2, "z1", true);
    CHECK(member.countResponses<EvacuationRecorded>() == 0);
    CHECK(member.responses.size() == 2);
}
