#include "adapters/settings/BundleJson.h"
#include "adapters/settings/FileText.h"
#include "adapters/settings/TemporaryFolder.h"
#include "ctl/AdminStandIn.h"
#include "ctl/ProgramRun.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselturn;
using nlohmann::json;

namespace {

/// Returns an address on which nothing listens: the port of a stand-in that has been destroyed.
std::string closedAddress()
{
    return AdminStandIn {}.address();
}

std::string healthyStatus()
{
    return R"({"node":1,"zone":"wc-paarl","region":"wcape","roles":["entry","ledger"],"boot":1790000000000000,"leader":2,
        "term":3,"commitIndex":41,"appliedIndex":41,"bundle":{"accepted":7,"inForce":7,"digest":"ab"},"rolloutStage":2,
        "delegation":{"valid":true,"remainingMs":1500},"behind":false,"upstreams":33,"slots":{"total":64,"unowned":0},
        "members":[{"node":2,"voter":true}],"later":1})";
}

/// Signed bundle in a temporary file.
class BundleFile {
public:
    BundleFile()
    {
        Bundle bundle;
        bundle.version = { 7 };
        bundle.regions = { { { 1 }, "wcape" } };
        bundle.zones = { { { 1 }, "wc-paarl", { 1 } } };
        bundle.entries = { { { 1 }, { 1 }, { "127.0.0.1", 9001 } } };
        bundle.members = bundle.entries;
        bundle.operators = { { "thandi", { 1 } } };
        auto sealed = sealBundle(bundle);
        sealed.signatures = { { "thandi", {} } };
        this->text = writeSignedBundle(sealed);
        REQUIRE(writeFileText(this->path(), this->text, 0600, Existing::Replaced));
    }

    std::string path() const { return (this->folder.path() / "bundle.json").string(); }

    std::string text;

private:
    TemporaryFolder folder;
};

}

TEST_CASE("submit sends the file and its exit code shows whether the bundle was accepted")
{
    const BundleFile file;
    AdminStandIn admin;
    const auto submit = [&] { return runCtl({ "submit", "--to", admin.address(), file.path() }); };

    admin.body = R"({"code":0,"name":"Ok","message":"success","version":7,"digest":"ab"})";
    const auto accepted = submit();
    CHECK(accepted.exitCode == 0);
    CHECK(accepted.out == "accepted: success; version 7, digest ab\n");
    CHECK(admin.lastTarget == "/v1/bundles");
    CHECK(admin.lastBody == file.text);

    admin.status = 409;
    admin.body = R"({"code":2006,"name":"BundleConflict","message":"another","version":7,"digest":"ab","winner":"cd","signers":["lerato","thandi"]})";
    const auto conflict = submit();
    CHECK(conflict.exitCode == 1);
    CHECK(conflict.out == "refused: another; version 7, digest ab; the bundle accepted before has digest cd and was signed by lerato, thandi\n");

    admin.status = 503;
    admin.body = R"({"code":5002,"name":"NoQuorum","message":"no quorum"})";
    CHECK(submit().exitCode == 3);

    admin.status = 200;
    admin.body = "hello";
    CHECK(submit().exitCode == 1);
}

TEST_CASE("submit reports an unreachable daemon and does not send an invalid bundle")
{
    const BundleFile file;
    const auto run = runCtl({ "submit", "--to", closedAddress(), file.path() });
    CHECK(run.exitCode == 3);
    CHECK(run.err.find("submitting the same file again is safe") != std::string::npos);

    AdminStandIn admin;
    REQUIRE(writeFileText(file.path(), "{}", 0600, Existing::Replaced));
    CHECK(runCtl({ "submit", "--to", admin.address(), file.path() }).exitCode == 1);
    CHECK(admin.lastTarget.empty());
}

TEST_CASE("status distinguishes healthy, unhealthy and unreachable VMs")
{
    AdminStandIn admin;
    admin.body = healthyStatus();
    const auto healthy = runCtl({ "status", "--to", admin.address() });
    CHECK(healthy.exitCode == 0);
    CHECK(healthy.out.find("64/64") != std::string::npos);
    CHECK(healthy.out.find("healthy") != std::string::npos);
    const auto closed = closedAddress();
    CHECK(runCtl({ "status", "--to", admin.address() + "," + closed }).exitCode == 1);
    CHECK(runCtl({ "status", "--to", closed }).exitCode == 3);

    const std::vector<std::pair<const char*, const char*>> unhealthyCases { { R"({"behind":true})", "behind" }, { R"({"leader":null})", "no leader known" },
        { R"({"delegation":{"valid":false,"remainingMs":0}})", "no valid delegation" }, { R"({"slots":{"total":64,"unowned":3}})", "3 slots without owner" },
        { R"({"bundle":{"accepted":null,"inForce":null,"digest":null}})", "no bundle in force" } };
    for (const auto& [change, expected] : unhealthyCases) {
        auto document = json::parse(healthyStatus());
        document.update(json::parse(change));
        admin.body = document.dump();
        const auto run = runCtl({ "status", "--json", "--to", admin.address() });
        INFO(change);
        CHECK(run.exitCode == 1);
        CHECK(json::parse(run.out).at(0).at("troubles") == json { expected });
    }
    auto pureLedger = json::parse(healthyStatus());
    pureLedger["delegation"] = nullptr;
    admin.body = pureLedger.dump();
    CHECK(runCtl({ "status", "--to", admin.address() }).exitCode == 0);
}

TEST_CASE("status fails if the response is malformed or has an error status")
{
    AdminStandIn admin;
    for (const auto* body : { "", "[]", "{}", "<html>" }) {
        admin.body = body;
        CHECK(runCtl({ "status", "--to", admin.address() }).exitCode == 1);
    }
    admin.status = 500;
    admin.body = healthyStatus();
    CHECK(runCtl({ "status", "--to", admin.address() }).exitCode == 1);
}

TEST_CASE("owner percent-encodes the key in the request target")
{
    AdminStandIn admin;
    admin.body = R"({"service":"tills","key":"a b","slot":3,"fence":9,"owner":{"name":"till-4","address":"127.0.0.1:7004","zone":"wc-paarl"}})";
    const auto run = runCtl({ "owner", "--to", admin.address(), "--service", "tills", "a b&c=\xc3\xa9" });
    CHECK(run.exitCode == 0);
    CHECK(run.out == "till-4 at 127.0.0.1:7004 in wc-paarl\n");
    CHECK(admin.lastTarget == "/owners?service=tills&key=a%20b%26c%3D%C3%A9");
    admin.body = R"({"owner":null})";
    CHECK(runCtl({ "owner", "--to", admin.address(), "--service", "tills", "k" }).exitCode == 1);
    admin.status = 404;
    admin.body = R"({"code":3006,"message":"the service is not in the bundle"})";
    CHECK(runCtl({ "owner", "--to", admin.address(), "--service", "sofas", "k" }).exitCode == 1);
    CHECK(runCtl({ "owner", "--to", closedAddress(), "--service", "tills", "k" }).exitCode == 3);
}
