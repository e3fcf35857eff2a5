#include "core/dispatch/DispatchFixture.h"

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

/// Two upstreams, and a download that was sent to one of them.
struct StartedDownload : DispatchFixture {
    PendingRequestId id;

    StartedDownload()
    {
        this->registerUpstream("a", "plain");
        this->registerUpstream("b", "plain");
        this->sync();
        this->id = this->submit(route("plain", RequestKind::Download));
        REQUIRE(this->decisionsOf<SendRequest>().size() == 1);
        this->clearDecisions();
    }
};

}

TEST_CASE("a download is sent again before its response has started, and never afterwards")
{
    // Guards against a second response behind the beginning of the first.
    const bool hasStarted = GENERATE(false, true);
    StartedDownload fixture;
    if (hasStarted) {
        fixture.dispatcher.responseStarted(fixture.id);
    }
    fixture.endAttempt(fixture.id, GENERATE(AttemptOutcome::Lost, AttemptOutcome::Failed, AttemptOutcome::NotSent));
    CHECK(fixture.decisionsOf<SendRequest>().size() == (hasStarted ? 0 : 1));
    CHECK(fixture.dispatcher.pendingRequestCount() == (hasStarted ? 0 : 1));
}

TEST_CASE("a response that has started does not end at its deadline")
{
    // Guards against a response that is cut although it is ready and arriving.
    StartedDownload fixture;
    fixture.dispatcher.responseStarted(fixture.id);
    fixture.now += milliseconds { 60'000 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decisions.empty());
    CHECK(!fixture.dispatcher.nextDeadline());
    fixture.endAttempt(fixture.id, AttemptOutcome::Answered);
    CHECK(fixture.decisionsOf<DeliverResponse>().size() == 1);
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("a response that has started ends as unknown when the process ends")
{
    // Guards against a stop that waits for ever for a request without a deadline.
    StartedDownload fixture;
    fixture.dispatcher.responseStarted(fixture.id);
    fixture.dispatcher.endAll(fixture.now, fixture.decisions);
    CHECK(fixture.decisionsOf<CancelAttempt>().size() == 1);
    CHECK(fixture.decisionsOf<FailRequest>().size() == 1);
}

TEST_CASE("time in which a caller delays its response does not count as the upstream's")
{
    // Guards against slow callers that make a fast upstream look slow, so that requests are refused.
    const auto callerDelay = GENERATE(milliseconds { 0 }, milliseconds { 900 });
    DispatchFixture fixture;
    const auto owner = fixture.registerUpstream("a", "keys");
    fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "" } } });
    fixture.sync();
    const auto id = fixture.submit(DispatchFixture::route("keys", RequestKind::Download), KeyNumber { 1 });
    fixture.dispatcher.responseStarted(id);
    fixture.now += milliseconds { 1'000 };
    fixture.dispatcher.responseReceived(id, 500'000, callerDelay);
    fixture.endAttempt(id, AttemptOutcome::Answered);
    const auto loads = fixture.dispatcher.takeKeyLoads(10);
    REQUIRE(loads.size() == 1);
    REQUIRE(loads[0].loads.size() == 1);
    CHECK(loads[0].loads[0].busyMs == (callerDelay == milliseconds { 0 } ? 1'000 : 100));
}
