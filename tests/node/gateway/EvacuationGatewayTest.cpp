#include "node/gateway/LoopbackGateway.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;

TEST_CASE("a gateway applies evacuation orders, refuses requests that only the zone could serve, and counts the changes")
{
    // Guards against orders that reach the entry VM and change nothing there.
    LoopbackGateway fixture;
    fixture.apply(ChangeItems { { serviceItem("s", false), routeItem("r", "s") }, {} });
    // Nothing listens at the upstream's address, so a connection would be refused too.
    fixture.addUpstream("u", "s", { "127.0.0.1", 1 });
    fixture.apply(EvacuateZone { "z1", true });
    fixture.start();
    const auto response = fixture.sendAndReceive(callerRequest("id-1"), 1);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Retry-After: ") != std::string::npos);
    CHECK(fixture.gateway.statistics().attempts.value() == 0);
    CHECK(fixture.gateway.metricsText().find("teaselturn_evacuation_changes_total 1\n") != std::string::npos);
    fixture.publish();
    CHECK(fixture.gateway.statistics().evacuationChanges.value() == 1);
    fixture.apply(EvacuateZone { "z1", false });
    fixture.publish();
    CHECK(fixture.gateway.statistics().evacuationChanges.value() == 2);
    fixture.reactor.stop();
}
