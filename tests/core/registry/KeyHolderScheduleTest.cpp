#include "core/registry/RegistryService.h"

#include "adapters/codec/RegistryCodec.h"
#include "core/registry/RegistryFixture.h"
#include "core/support/SeededRandom.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t upstreamCount = 12;
constexpr milliseconds heartbeatInterval { 870 };
/// An upstream ignores a reply that arrives later than this after its heartbeat.
constexpr milliseconds replyTimeout { 1'000 };

/// An upstream as the platform describes it: it takes every reply that arrives in time and is newer than the last one,
/// and holds keys until the lease that it counts from the time of its heartbeat ends.
struct SimulatedUpstream {
    RegisterUpstream self;
    std::uint64_t sequence {};
    std::uint64_t lastReplyTo {};
    Instant nextHeartbeatAt;
    std::vector<HeldKeys> held;
    Instant leaseEnd;
    std::vector<ReleasedKeys> released;
    /// While it is silent, nothing that it sends arrives.
    Instant silentUntil;
};

struct InFlight {
    std::size_t upstream {};
    KeyHeartbeat heartbeat;
    Instant sentAt;
};

/// One member whose disk is slow at random times, and upstreams whose heartbeats and replies are late at random. Checks
/// every grant that an upstream takes: no other upstream holds one of the keys, and its fence exceeds all earlier ones.
class Schedule {
public:
    explicit Schedule(std::uint64_t seed)
        : random(seed)
        , service(state(), { NodeId { 1 } }, SeededRandom { seed + 1 }, {}, now)
        , highestFence(keyNumberCount)
        , fenceOwner(keyNumberCount)
    {
        for (std::uint64_t i = 0; i < upstreamCount; ++i) {
            auto self = announcement("u" + std::to_string(i), "k");
            self.endpoint.port = static_cast<std::uint16_t>(9'000 + i);
            this->upstreams.push_back({ self, 0, 0, this->now + milliseconds { this->random.below(870) }, {}, {}, {}, {} });
        }
    }

    /// @return Grants that were taken.
    std::size_t run(std::chrono::seconds length)
    {
        for (const auto end = this->now + length; this->now < end;) {
            this->now += milliseconds { 10 };
            this->step();
        }
        return this->grantCount;
    }

private:
    static MemberState state()
    {
        MemberState result;
        result.node = NodeId { 1 };
        result.disk = DiskId { 1 };
        result.initialMembers = { { NodeId { 1 }, DiskId { 1 }, true } };
        return result;
    }

    bool happens(std::uint64_t perMille) { return this->random.below(1'000) < perMille; }

    /// Mostly a trip through the network; sometimes that of an overloaded machine.
    Duration delay() { return milliseconds { this->happens(30) ? this->random.below(6'000) : this->happens(150) ? this->random.below(1'000)
                                                                                                                : 1 + this->random.below(40) }; }

    void step()
    {
        if (this->service.state().findService("k") == nullptr) {
            this->service.changeItems(this->now, ControlRequestId { 1 }, ChangeItems { { serviceItem("k", true) }, {} });
        }
        for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
            this->advance(i);
        }
        while (!this->arrivals.empty() && this->arrivals.begin()->first <= this->now) {
            auto message = std::move(this->arrivals.begin()->second);
            this->arrivals.erase(this->arrivals.begin());
            const ControlRequestId id { ++this->lastRequestId };
            this->waiting.emplace(id.value, message);
            this->service.heartbeat(this->now, id, message.heartbeat);
        }
        while (!this->replies.empty() && this->replies.begin()->first <= this->now) {
            const auto [message, reply] = std::move(this->replies.begin()->second);
            this->replies.erase(this->replies.begin());
            this->take(this->upstreams[message.upstream], message, reply);
        }
        if (this->now >= this->nextLoadAt) {
            this->reportLoad();
        }
        this->drive();
    }

    void advance(std::size_t index)
    {
        auto& upstream = this->upstreams[index];
        if (this->now >= upstream.leaseEnd) {
            // An expired lease is not reported as released.
            upstream.held.clear();
        }
        if (this->now < upstream.nextHeartbeatAt) {
            return;
        }
        upstream.nextHeartbeatAt = this->now + heartbeatInterval;
        if (this->happens(20) && this->now >= upstream.silentUntil) {
            // It returns about when its lease ends and its keys are assigned to others.
            upstream.silentUntil = this->now + milliseconds { 3'800 + this->random.below(800) };
            upstream.nextHeartbeatAt = upstream.silentUntil;
            return;
        }
        const KeyHeartbeat message { upstream.self, ++upstream.sequence, upstream.held, upstream.released };
        if (this->now >= upstream.silentUntil) {
            this->arrivals.emplace(this->now + this->delay(), InFlight { index, message, this->now });
        }
    }

    void reportLoad()
    {
        this->nextLoadAt = this->now + milliseconds { 500 };
        if (this->happens(50)) {
            this->hotKey = static_cast<KeyNumber>(this->random.below(keyNumberCount));
        }
        ServiceKeyLoad load { "k", {} };
        for (std::uint32_t i = 0; i < 60; ++i) {
            const auto key = static_cast<KeyNumber>((this->hotKey + i * (this->happens(500) ? 3U : 901U)) % keyNumberCount);
            load.loads.push_back({ key, key, 10, 10, 600 });
        }
        this->service.receive(this->now, NodeId { 9 }, KeyLoadReport { NodeId { 9 }, { load } });
    }

    void drive()
    {
        if (this->now < this->persistedAt) {
            return;
        }
        if (this->isWriting) {
            this->isWriting = false;
            this->service.persisted(this->now);
        }
        if (this->now >= this->nextTickAt) {
            this->nextTickAt = this->now + milliseconds { 50 };
            this->service.tick(this->now);
        }
        auto effects = this->service.takeEffects(this->now);
        for (auto& response : effects.responses) {
            const auto found = this->waiting.find(response.requestId.value);
            const auto* reply = std::get_if<KeyHeartbeatReply>(&response.result);
            if (found != this->waiting.end() && reply != nullptr) {
                this->replies.emplace(this->now + this->delay(), std::pair { found->second, *reply });
            }
            if (found != this->waiting.end()) {
                this->waiting.erase(found);
            }
        }
        if (effects.storage.needsWrite()) {
            this->isWriting = true;
            this->persistedAt = this->now + milliseconds { this->happens(20) ? this->random.below(5'000) : this->random.below(80) };
        }
    }

    void take(SimulatedUpstream& upstream, const InFlight& message, const KeyHeartbeatReply& reply)
    {
        if (this->now > message.sentAt + replyTimeout || message.heartbeat.sequence <= upstream.lastReplyTo) {
            return;
        }
        upstream.lastReplyTo = message.heartbeat.sequence;
        upstream.released.clear();
        if (!reply.hasGrants || this->now >= message.sentAt + reply.lease) {
            return;
        }
        std::vector<HeldKeys> next;
        for (const auto& range : reply.grants) {
            this->check(upstream, range);
            next.push_back({ range.first, range.last, range.fence });
        }
        for (const auto& keys : upstream.held) {
            if (std::ranges::find(next, keys) == next.end()) {
                upstream.released.push_back({ keys.first, keys.last, "h" });
                upstream.nextHeartbeatAt = std::min(upstream.nextHeartbeatAt, this->now + milliseconds { 50 });
            }
        }
        upstream.held = std::move(next);
        upstream.leaseEnd = message.sentAt + reply.lease;
    }

    void check(const SimulatedUpstream& taker, const KeyRange& range)
    {
        if (std::ranges::find(taker.held, HeldKeys { range.first, range.last, range.fence }) != taker.held.end()) {
            return;
        }
        ++this->grantCount;
        for (const auto& other : this->upstreams) {
            const bool holds = &other != &taker && this->now < other.leaseEnd && std::ranges::any_of(other.held, [&range](const HeldKeys& keys) { return overlaps(keys.first, keys.last, range.first, range.last); });
            INFO(other.self.key.name << " holds keys of " << range.first << " to " << range.last << " that " << taker.self.key.name << " is granted under " << range.fence.value << " at " << this->now.time_since_epoch().count());
            REQUIRE(!holds);
        }
        for (std::size_t key = range.first; key <= range.last; ++key) {
            const bool isNewOwner = this->fenceOwner[key] != taker.self.key.name;
            const bool isFenceValid = isNewOwner ? range.fence.value > this->highestFence[key] : range.fence.value >= this->highestFence[key];
            if (!isFenceValid) {
                INFO("key " << key << " went to " << taker.self.key.name << " under " << range.fence.value << " after " << this->fenceOwner[key] << " had " << this->highestFence[key]);
                REQUIRE(isFenceValid);
            }
            this->highestFence[key] = range.fence.value;
            this->fenceOwner[key] = taker.self.key.name;
        }
    }

    SeededRandom random;
    Instant now { std::chrono::seconds { 50 } };
    RegistryService<SeededRandom, BinaryRegistryCodec> service;
    std::vector<SimulatedUpstream> upstreams;
    std::multimap<Instant, InFlight> arrivals;
    std::multimap<Instant, std::pair<InFlight, KeyHeartbeatReply>> replies;
    std::map<std::uint64_t, InFlight> waiting;
    std::uint64_t lastRequestId { 10 };
    bool isWriting {};
    Instant persistedAt;
    Instant nextTickAt;
    Instant nextLoadAt;
    KeyNumber hotKey {};
    std::size_t grantCount {};
    std::vector<std::uint64_t> highestFence;
    std::vector<std::string> fenceOwner;
};

}

TEST_CASE("no schedule of late heartbeats, late replies and slow writes gives a key two holders or an older fence")
{
    // Guards against an overloaded leader that grants keys under an old fence beside the assignment to their next owner.
    std::size_t grants = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        INFO("seed " << seed);
        grants += Schedule { seed }.run(std::chrono::seconds { 90 });
    }
    // The schedules move keys often enough to mean something.
    CHECK(grants > 2'000);
}
