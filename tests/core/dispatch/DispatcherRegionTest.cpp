#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto patientRoute = DispatchFixture::route("plain", RequestKind::Idempotent, milliseconds { 2'000 });

/// Four upstreams in the region of the entry VM and four in another one, all answering in 200 ms where they run.
struct TwoRegions : DispatchFixture {
    std::vector<RegisterUpstream> near;
    std::vector<RegisterUpstream> far;

    TwoRegions()
        : DispatchFixture({ "z1", { { "z1", "here" }, { "z2", "here" }, { "z3", "there" } }, 1, 200, 100, milliseconds { 10'000 } })
    {
        for (int i = 0; i < 8; ++i) {
            auto upstream = announcement("u" + std::to_string(i), "plain");
            upstream.zone = i < 2 ? "z1" : i < 4 ? "z2"
                                                 : "z3";
            upstream.requestSlots = 4;
            this->apply(upstream);
            (i < 4 ? this->near : this->far).push_back(upstream);
        }
        this->sync();
    }

    bool isFar(const UpstreamKey& key) const
    {
        return std::ranges::any_of(this->far, [&key](const RegisterUpstream& upstream) { return upstream.key == key; });
    }

    /// Sends requests at a steady rate and answers each after its latency.
    /// @return Share of the requests that crossed to the other region.
    double farShare(milliseconds interval, int count)
    {
        std::multimap<Instant, PendingRequestId> running;
        int farCount = 0;
        int sentCount = 0;
        const auto start = [&] {
            for (const auto& send : this->decisionsOf<SendRequest>()) {
                const bool crosses = this->isFar(send.upstream);
                farCount += crosses ? 1 : 0;
                ++sentCount;
                running.emplace(this->now + milliseconds { crosses ? 260 : 200 }, send.id);
            }
            this->clearDecisions();
        };
        for (int i = 0; i < count; ++i) {
            const auto next = this->now + interval;
            while (!running.empty() && running.begin()->first <= next) {
                const auto [at, id] = *running.begin();
                running.erase(running.begin());
                this->now = at;
                this->endAttempt(id, AttemptOutcome::Answered);
                start();
            }
            this->now = next;
            this->submit(patientRoute, std::nullopt, milliseconds { 4'000 });
            start();
        }
        return static_cast<double>(farCount) / sentCount;
    }
};

}

TEST_CASE("requests stay in their region while its upstreams have room")
{
    // All traffic between regions shares a narrow link. At this load each upstream of the own region runs about one
    // request at a time, so that a second one there waits for nothing, but looks slower than an idle upstream elsewhere.
    TwoRegions fixture;
    CHECK(fixture.farShare(milliseconds { 45 }, 400) < 0.02);
}

TEST_CASE("requests cross to another region once the upstreams of their own are busy")
{
    TwoRegions fixture;
    CHECK(fixture.farShare(milliseconds { 9 }, 2'000) > 0.2);
}
