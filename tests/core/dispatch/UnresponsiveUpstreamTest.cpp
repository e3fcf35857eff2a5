#include "core/dispatch/DispatchFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds work { 50 };
constexpr milliseconds target { 300 };
constexpr KeyNumber quietKey = 5;
constexpr KeyNumber peerKey = 5'000;

/// A keyed service with two owners that have answered all requests so far. The queues of their slots are unknown.
struct OwnersFixture : DispatchFixture {
    std::shared_ptr<const CompiledRoute> keyedRoute = DispatchFixture::route("keys", RequestKind::AtMostOnce, target);
    RegisterUpstream quiet = this->registerUpstream("quiet", "keys");
    RegisterUpstream peer = this->registerUpstream("peer", "keys");
    bool hasReports;

    explicit OwnersFixture(bool hasReports = false)
        : hasReports(hasReports)
    {
        this->dispatcher.setEntryCount(1);
        this->apply(AssignKeyRanges { "keys", { { 0, 999, this->quiet.key, "" }, { 1'000, keyNumberCount - 1, this->peer.key, "" } } });
        this->sync();
        for (int i = 0; i < 40; ++i) {
            this->answer(this->submit(this->keyedRoute, quietKey), work);
            this->answer(this->submit(this->keyedRoute, peerKey), work);
        }
        this->clearDecisions();
    }

    void advanceTo(Instant until)
    {
        while (this->dispatcher.nextDeadline() && *this->dispatcher.nextDeadline() <= until) {
            this->now = *this->dispatcher.nextDeadline();
            this->dispatcher.advance(this->now, this->decisions);
        }
        this->now = until;
    }

    void answer(PendingRequestId id, milliseconds after)
    {
        this->advanceTo(this->now + after);
        if (this->hasReports) {
            UpstreamNotice notice;
            notice.load = ReportedLoad { 1, 0, 3, 100 };
            this->dispatcher.noticeReceived(this->now, id, notice, this->decisions);
        }
        this->endAttempt(id, AttemptOutcome::Answered);
    }

    /// Lets time pass while the peer answers.
    void passTime(milliseconds time)
    {
        for (const auto until = this->now + time; this->now < until;) {
            this->answer(this->submit(this->keyedRoute, peerKey, milliseconds { 4'000 }), work);
        }
    }

    PendingRequestId submitToQuiet() { return this->submit(this->keyedRoute, quietKey, milliseconds { 4'000 }); }

    /// @return Requests sent to the upstream that does not respond.
    std::ptrdiff_t sentToQuiet() const
    {
        const auto sent = this->decisionsOf<SendRequest>();
        return std::ranges::count(sent, this->quiet.key, &SendRequest::upstream);
    }
};

}

TEST_CASE("an owner that answers nothing while its peer answers gets one trial at a time until it responds")
{
    // Guards against requests that end with an unknown outcome because each goes to an upstream that drops them all.
    OwnersFixture fixture;
    fixture.submitToQuiet();
    fixture.submitToQuiet();
    fixture.passTime(milliseconds { 600 });
    fixture.clearDecisions();
    const auto trial = fixture.submitToQuiet();
    fixture.submitToQuiet();
    fixture.submitToQuiet();
    CHECK(fixture.sentToQuiet() == 1);
    fixture.answer(trial, work);
    fixture.submitToQuiet();
    CHECK(fixture.sentToQuiet() > 1);
}

TEST_CASE("a trial that ends at its deadline is followed by another one")
{
    // Guards against an owner that is never used again after all requests to it have ended.
    OwnersFixture fixture;
    fixture.submitToQuiet();
    fixture.submitToQuiet();
    fixture.passTime(milliseconds { 600 });
    fixture.submitToQuiet();
    fixture.passTime(milliseconds { 4'500 });
    REQUIRE(fixture.dispatcher.pendingRequestCount() == 0);
    fixture.clearDecisions();
    fixture.submitToQuiet();
    fixture.submitToQuiet();
    CHECK(fixture.sentToQuiet() == 1);
}

TEST_CASE("several overdue requests lower an owner's limit before their deadline, without any silence seen before")
{
    // Guards against upstreams whose queues are filled for the seconds until the first request reaches its deadline. The owner
    // still answers single requests here, as a full one does.
    OwnersFixture fixture;
    fixture.submitToQuiet();
    fixture.submitToQuiet();
    fixture.answer(fixture.submitToQuiet(), work);
    fixture.passTime(milliseconds { 200 });
    fixture.answer(fixture.submitToQuiet(), work);
    fixture.passTime(milliseconds { 100 });
    fixture.clearDecisions();
    fixture.submitToQuiet();
    fixture.submitToQuiet();
    CHECK(fixture.sentToQuiet() == 0);
    CHECK(fixture.decisionsOf<CancelAttempt>().empty());
}

TEST_CASE("one overdue request changes nothing where upstreams have answered everything")
{
    // Guards against long work that is taken for silence.
    OwnersFixture fixture;
    fixture.submitToQuiet();
    fixture.passTime(milliseconds { 600 });
    fixture.clearDecisions();
    fixture.submitToQuiet();
    fixture.submitToQuiet();
    CHECK(fixture.sentToQuiet() == 2);
}

TEST_CASE("missing responses hold nothing back at upstreams that report their load")
{
    // Guards against a limit that acts on deployments whose upstreams state when they are full.
    OwnersFixture fixture { true };
    fixture.submitToQuiet();
    fixture.submitToQuiet();
    fixture.passTime(milliseconds { 600 });
    fixture.clearDecisions();
    fixture.submitToQuiet();
    fixture.submitToQuiet();
    CHECK(fixture.sentToQuiet() == 2);
}
