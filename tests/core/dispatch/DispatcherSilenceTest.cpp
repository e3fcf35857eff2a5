#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds work { 50 };
constexpr milliseconds target { 300 };

/// A service of which one request in eight got no response.
struct SilentFixture : DispatchFixture {
    explicit SilentFixture(bool hasSilence = true)
    {
        for (const auto* name : { "a", "b", "c" }) {
            this->registerUpstream(name, "plain");
        }
        this->sync();
        const auto route = DispatchFixture::route("plain", RequestKind::AtMostOnce, target);
        for (int i = 0; i < 64; ++i) {
            const auto id = this->submit(route);
            if (hasSilence && i % 8 == 0) {
                this->now += milliseconds { 1'000 };
                this->dispatcher.advance(this->now, this->decisions);
            } else {
                this->now += work;
                this->endAttempt(id, AttemptOutcome::Answered);
            }
        }
        this->clearDecisions();
    }

    /// Lets the clock run up to the target latency of a request that was just submitted.
    void passTarget()
    {
        const auto until = this->now + target;
        while (this->dispatcher.nextDeadline() && *this->dispatcher.nextDeadline() <= until) {
            this->now = *this->dispatcher.nextDeadline();
            this->dispatcher.advance(this->now, this->decisions);
        }
        this->now = until;
    }
};

}

TEST_CASE("an idempotent request that an upstream dropped is sent to another in time for its target latency")
{
    SilentFixture fixture;
    const auto start = fixture.now;
    const auto id = fixture.submit(DispatchFixture::route("plain", RequestKind::Idempotent, target));
    const auto first = fixture.decisionsOf<SendRequest>().at(0);
    while (fixture.decisionsOf<CancelAttempt>().empty()) {
        REQUIRE(fixture.dispatcher.nextDeadline());
        fixture.now = *fixture.dispatcher.nextDeadline();
        fixture.dispatcher.advance(fixture.now, fixture.decisions);
    }
    CHECK(fixture.now - start >= work);
    CHECK(fixture.now - start + work <= target);
    const auto sent = fixture.decisionsOf<SendRequest>();
    REQUIRE(sent.size() == 2);
    CHECK(sent[1].id == id);
    CHECK(sent[1].upstream != first.upstream);
    // The connection that may still carry the earlier response closes before the request is sent again.
    CHECK(std::holds_alternative<CancelAttempt>(fixture.decisions[1]));
    fixture.endAttempt(id, AttemptOutcome::Answered);
    CHECK(fixture.decisionsOf<DeliverResponse>().size() == 1);
}

TEST_CASE("an at-most-once request that an upstream may have dropped is not sent again")
{
    SilentFixture fixture;
    fixture.submit(DispatchFixture::route("plain", RequestKind::AtMostOnce, target));
    fixture.passTarget();
    CHECK(fixture.decisionsOf<CancelAttempt>().empty());
    CHECK(fixture.decisionsOf<SendRequest>().size() == 1);
    fixture.now += milliseconds { 1'000 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decisionsOf<SendRequest>().size() == 1);
    REQUIRE(fixture.decisionsOf<FailRequest>().size() == 1);
}

TEST_CASE("no request is given up at a service whose upstreams answer all requests")
{
    SilentFixture fixture { false };
    fixture.submit(DispatchFixture::route("plain", RequestKind::Idempotent, target));
    fixture.passTarget();
    CHECK(fixture.decisionsOf<CancelAttempt>().empty());
    CHECK(fixture.decisionsOf<SendRequest>().size() == 1);
}

TEST_CASE("a request that was given up is sent no more often than its attempts allow")
{
    SilentFixture fixture;
    fixture.submit(DispatchFixture::route("plain", RequestKind::Idempotent, milliseconds { 900 }));
    fixture.now += milliseconds { 1'000 };
    while (fixture.dispatcher.pendingRequestCount() > 0) {
        fixture.dispatcher.advance(fixture.now, fixture.decisions);
        fixture.now += milliseconds { 100 };
    }
    CHECK(fixture.decisionsOf<SendRequest>().size() <= 2);
    CHECK(fixture.decisionsOf<FailRequest>().size() == 1);
}
