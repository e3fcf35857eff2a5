#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

TEST_CASE("a stopping process refuses requests that may outlast it and serves the others")
{
    // A request that was cut off at the end of the process may have run.
    DispatchFixture fixture;
    const auto route = DispatchFixture::route("plain", RequestKind::AtMostOnce);
    fixture.registerUpstream("u", "plain");
    fixture.sync();
    fixture.dispatcher.refuseRequestsBeyond(fixture.now + milliseconds { 800 });
    fixture.submit(route, std::nullopt, milliseconds { 700 });
    CHECK(fixture.decisionsOf<SendRequest>().size() == 1);
    fixture.clearDecisions();
    fixture.submit(route, std::nullopt, milliseconds { 900 });
    CHECK(fixture.decisionsOf<SendRequest>().empty());
    REQUIRE(fixture.decisionsOf<RefuseRequest>().size() == 1);
    CHECK(fixture.decisionsOf<RefuseRequest>()[0].reason == ResultCode::RequestDraining);
    CHECK(fixture.decisionsOf<RefuseRequest>()[0].retryAfter <= milliseconds { 200 });
}

TEST_CASE("at the end of the process, requests that were sent end as unknown and the others as not run")
{
    DispatchFixture fixture;
    const auto route = DispatchFixture::route("plain", RequestKind::AtMostOnce);
    fixture.registerUpstream("u", "plain");
    fixture.sync();
    // A new upstream takes two requests at once, so the third one waits.
    const auto first = fixture.submit(route);
    const auto second = fixture.submit(route);
    const auto waiting = fixture.submit(route);
    REQUIRE(fixture.decisionsOf<SendRequest>().size() == 2);
    fixture.clearDecisions();
    fixture.dispatcher.endAll(fixture.now, fixture.decisions);
    CHECK(fixture.decisionsOf<CancelAttempt>().size() == 2);
    const auto failures = fixture.decisionsOf<FailRequest>();
    REQUIRE(failures.size() == 2);
    for (const auto& failure : failures) {
        CHECK((failure.id == first || failure.id == second));
        CHECK(failure.reason == ResultCode::RequestOutcomeUnknown);
    }
    REQUIRE(fixture.decisionsOf<RefuseRequest>().size() == 1);
    CHECK(fixture.decisionsOf<RefuseRequest>()[0].id == waiting);
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}
