#include "ctl/AdminStandIn.h"
#include "ctl/ProgramRun.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace teaselturn;

TEST_CASE("watch repeats the status and ends after the count with the last exit code")
{
    AdminStandIn admin;
    admin.body = "{}";
    const auto run = runCtl({ "watch", "--to", admin.address(), "--json", "--interval", "1", "--count", "2" });
    CHECK(run.exitCode == 1);
    CHECK(std::ranges::count(run.out, '\n') == 2);
    CHECK(admin.requestCount == 2);
    for (const auto* wrong : { "0", "3601", "1s", "", "-1" }) {
        INFO(wrong);
        CHECK(runCtl({ "watch", "--to", admin.address(), "--interval", wrong, "--count", "1" }).exitCode == 2);
    }
}

// Guards against a watch that dies by the signal, or that sleeps on through its interval of an hour.
TEST_CASE("watch ends on SIGINT with the exit code of the last round")
{
    AdminStandIn admin;
    RunningProgram watch { { "watch", "--to", admin.address(), "--interval", "3600" } };
    admin.waitForRequest();
    watch.signal(SIGINT);
    const auto run = watch.wait();
    CHECK(run.exitCode == 1);
    CHECK(run.out.find("ADDRESS") != std::string::npos);
}
