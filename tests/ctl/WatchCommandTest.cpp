#include "ctl/AdminStandIn.h"
#include "ctl/ProgramRun.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace teaselturn;

TEST_CASE("watch prints the status --count times and exits with the code of the last round")
{
    AdminStandIn admin;
    admin.body = "{}";
    const auto run = runCtl({ "watch", "--to", admin.address(), "--json", "--interval", "1", "--count", "2" });
    CHECK(run.exitCode == 1);
    CHECK(std::ranges::count(run.out, '\n') == 2);
    CHECK(admin.requestCount == 2);
    for (const auto* invalidInterval : { "0", "3601", "1s", "", "-1" }) {
        INFO(invalidInterval);
        CHECK(runCtl({ "watch", "--to", admin.address(), "--interval", invalidInterval, "--count", "1" }).exitCode == 2);
    }
}

// Guards against a watch that is terminated by the signal, or that exits only after its interval of one hour.
TEST_CASE("watch exits on SIGINT with the code of the last round")
{
    AdminStandIn admin;
    RunningProgram watch { { "watch", "--to", admin.address(), "--interval", "3600" } };
    admin.waitForRequest();
    watch.signal(SIGINT);
    const auto run = watch.wait();
    CHECK(run.exitCode == 1);
    CHECK(run.out.find("ADDRESS") != std::string::npos);
}
