#include "adapters/settings/BundleJson.h"
#include "adapters/settings/FileText.h"
#include "adapters/settings/TemporaryFolder.h"
#include "ctl/ProgramRun.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselturn;
using nlohmann::json;

namespace {

std::string readFile(const std::filesystem::path& file)
{
    auto text = readFileText(file, ResultCode::Internal);
    REQUIRE(text);
    return *text;
}

void writeFile(const std::filesystem::path& file, const std::string& text)
{
    REQUIRE(writeFileText(file, text, 0600, Existing::Replaced));
}

/// Temporary folder with the unsigned bundle `bundle.json`, which the operators thandi and lerato must both sign, their
/// keys, and the key of mallory, who is not an operator in the bundle.
class BundleFixture {
public:
    BundleFixture()
    {
        this->bundle = json { { "version", 1 }, { "threshold", 2 }, { "regions", { { { "id", 1 }, { "name", "wcape" } } } },
            { "zones", { { { "id", 1 }, { "name", "wc-paarl" }, { "region", "wcape" } } } },
            { "entries", { { { "id", 1 }, { "zone", "wc-paarl" }, { "peer", { { "address", "127.0.0.1" }, { "port", 9001 } } } } } },
            { "services", { { { "id", 1 }, { "name", "tills" }, { "partitions", 16 } } } } };
        this->bundle["members"] = this->bundle["entries"];
        for (const auto* name : { "thandi", "lerato", "mallory" }) {
            REQUIRE(runCtl({ "keygen", "--out", this->file(name) }).exitCode == 0);
        }
        for (const auto* name : { "thandi", "lerato" }) {
            this->bundle["operators"].push_back(json::parse(readFile(this->file(std::string { name } + ".pub"))));
        }
        writeFile(this->file("bundle.json"), "// first bundle\n" + this->bundle.dump(2));
    }

    std::string file(const std::string& name) const { return (this->folder.path() / name).string(); }

    ProgramRun sign(const std::string& name, const std::string& from, const std::string& to) const
    {
        return runCtl({ "sign", "--key", this->file(name + ".key"), "--bundle", this->file(from), "--out", this->file(to) });
    }

    json bundle;

private:
    TemporaryFolder folder;
};

}

TEST_CASE("keygen writes a private key that only its owner can read and does not overwrite an existing one")
{
    const TemporaryFolder folder;
    const auto prefix = (folder.path() / "thandi").string();
    const auto run = runCtl({ "keygen", "--out", prefix });
    CHECK(run.exitCode == 0);
    CHECK(run.out == readFile(prefix + ".pub"));
    CHECK(json::parse(run.out).at("name") == "thandi");
    using std::filesystem::perms;
    CHECK(std::filesystem::status(prefix + ".key").permissions() == (perms::owner_read | perms::owner_write));
    const auto key = readFile(prefix + ".key");
    CHECK(run.out.find(json::parse(key).at("privateKey").get<std::string>()) == std::string::npos);
    // An operator whose private key is overwritten can no longer sign.
    CHECK(runCtl({ "keygen", "--out", prefix }).exitCode == 1);
    CHECK(readFile(prefix + ".key") == key);
    CHECK(runCtl({ "keygen", "--out", (folder.path() / "Thandi M").string() }).exitCode == 2);
}

TEST_CASE("operators add signatures until the threshold is reached")
{
    const BundleFixture fixture;
    CHECK(runCtl({ "check-bundle", fixture.file("bundle.json") }).exitCode == 0);
    CHECK(fixture.sign("thandi", "bundle.json", "one.json").exitCode == 0);
    CHECK(fixture.sign("lerato", "one.json", "two.json").exitCode == 0);
    CHECK(fixture.sign("lerato", "two.json", "again.json").exitCode == 0);
    CHECK(readFile(fixture.file("again.json")) == readFile(fixture.file("two.json")));
    const auto parsed = parseSignedBundle(readFile(fixture.file("two.json")));
    REQUIRE(parsed);
    CHECK(parsed->signatures.size() == 2);
    const auto run = runCtl({ "check-bundle", "--json", fixture.file("two.json") });
    CHECK(json::parse(run.out).at("signers") == json { "thandi", "lerato" });
}

TEST_CASE("check-bundle verifies signatures and changes against the bundle in force")
{
    BundleFixture fixture;
    const auto inForce = fixture.file("bundle.json");
    const auto check = [&](const std::string& name) { return runCtl({ "check-bundle", "--in-force", inForce, fixture.file(name) }); };
    auto next = fixture.bundle;
    next["version"] = 2;
    writeFile(fixture.file("next.json"), next.dump());
    REQUIRE(fixture.sign("thandi", "next.json", "one.json").exitCode == 0);
    REQUIRE(fixture.sign("lerato", "one.json", "two.json").exitCode == 0);
    REQUIRE(fixture.sign("mallory", "two.json", "three.json").exitCode == 0);
    CHECK(check("two.json").exitCode == 0);
    for (const auto& [name, code] : { std::pair { "one.json", "[2004]" }, { "three.json", "[2005]" } }) {
        const auto run = check(name);
        CHECK(run.exitCode == 1);
        CHECK(run.err.find(code) != std::string::npos);
    }
    auto damaged = json::parse(readFile(fixture.file("two.json")));
    damaged["bundle"]["services"][0]["priority"] = 9;
    writeFile(fixture.file("damaged.json"), damaged.dump());
    const auto run = check("damaged.json");
    CHECK(run.exitCode == 1);
    CHECK(run.err.find("[2003]") != std::string::npos);
}

TEST_CASE("check-bundle reports the path of each invalid member")
{
    BundleFixture fixture;
    fixture.bundle["services"][0]["partitions"] = 0;
    fixture.bundle["colour"] = "red";
    writeFile(fixture.file("bad.json"), fixture.bundle.dump());
    const auto run = runCtl({ "check-bundle", fixture.file("bad.json") });
    CHECK(run.exitCode == 1);
    CHECK(run.err.find("services[0].partitions: found 0") != std::string::npos);
    CHECK(run.err.find("colour: found an unknown member") != std::string::npos);
    CHECK(runCtl({ "check-bundle", fixture.file("absent.json") }).exitCode == 1);
}

TEST_CASE("sign refuses a key file that others can read")
{
    const BundleFixture fixture;
    std::filesystem::permissions(fixture.file("thandi.key"), std::filesystem::perms::group_read, std::filesystem::perm_options::add);
    const auto run = fixture.sign("thandi", "bundle.json", "one.json");
    CHECK(run.exitCode == 1);
    CHECK(run.err.find("[2009]") != std::string::npos);
    CHECK_FALSE(std::filesystem::exists(fixture.file("one.json")));
}

TEST_CASE("check-settings reports an invalid value with file and path")
{
    const TemporaryFolder folder;
    const auto file = (folder.path() / "node.json").string();
    auto text = readFile(TEASELTURN_SOURCE_DIR "/docs/settings-example.json");
    writeFile(file, text);
    writeFile(folder.path() / "cluster.key", std::string(64, '0'));
    CHECK(runCtl({ "check-settings", file }).exitCode == 0);
    writeFile(file, text.replace(text.find("8080"), 4, "80800"));
    const auto run = runCtl({ "check-settings", file });
    CHECK(run.exitCode == 1);
    CHECK(run.err == file + ": entry.http.port: found 80800; allowed: an integer from 0 to 65535\n");
}

TEST_CASE("an invalid command line is a usage error")
{
    const std::vector<std::vector<std::string>> commandLines { {}, { "fly" }, { "--fly" }, { "--help", "x" }, { "check-settings" }, { "check-settings", "a", "b" },
        { "check-settings", "--fly", "a" }, { "check-settings", "-x", "a" }, { "keygen" }, { "keygen", "--out" }, { "keygen", "--out", "a", "--out", "b" }, { "sign", "--key", "a" },
        { "status", "--to", "localhost:1" }, { "status", "--to", "127.0.0.1" }, { "status", "--to", "127.0.0.1:0" }, { "status", "--to", "::1:5" },
        { "status", "--json=yes", "--to", "127.0.0.1:1" }, { "check-bundle", "--in-force", "a", "--settings", "b", "c" } };
    for (const auto& commandLine : commandLines) {
        const auto run = runCtl(commandLine);
        INFO(json(commandLine).dump());
        CHECK(run.exitCode == 2);
        CHECK(run.err.starts_with("teaselturnctl: "));
        CHECK(run.out.empty());
    }
}

TEST_CASE("the options for help and version succeed")
{
    CHECK(runCtl({ "--version" }).out.starts_with("teaselturnctl "));
    CHECK(runCtl({ "--help" }).out.find("Exit codes: 0 success, 1 refused or unhealthy, 2 usage, 3 unreachable.") != std::string::npos);
    CHECK(runCtl({ "sign", "--help" }).exitCode == 0);
}
