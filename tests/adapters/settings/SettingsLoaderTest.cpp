#include "adapters/settings/SettingsLoader.h"
#include "adapters/settings/FileText.h"
#include "adapters/settings/SettingsBuilder.h"
#include "adapters/settings/TemporaryFolder.h"
#include "adapters/settings/TlsMaterial.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselturn;
using nlohmann::json;

namespace {

json exampleDocument()
{
    const auto text = readFileText(TEASELTURN_SOURCE_DIR "/docs/settings-example.json", ResultCode::SettingsUnreadable);
    REQUIRE(text);
    return json::parse(*text, nullptr, true, true);
}

/// A change to valid settings, and the problem that must be reported for it.
struct Fault {
    std::string patch;
    ProblemKind kind;
    std::string path;
};

const std::vector<Fault> faults {
    { R"([{"op":"remove","path":"/node"}])", ProblemKind::MissingMember, "node" },
    { R"([{"op":"replace","path":"/node","value":0}])", ProblemKind::InvalidValue, "node" },
    { R"([{"op":"replace","path":"/node","value":1.0}])", ProblemKind::InvalidValue, "node" },
    { R"([{"op":"replace","path":"/node","value":"1"}])", ProblemKind::InvalidValue, "node" },
    { R"([{"op":"replace","path":"/zone","value":"WC"}])", ProblemKind::InvalidValue, "zone" },
    { R"([{"op":"add","path":"/colour","value":"red"}])", ProblemKind::UnknownMember, "colour" },
    { R"([{"op":"add","path":"/entry/http/colour","value":"red"}])", ProblemKind::UnknownMember, "entry.http.colour" },
    { R"([{"op":"replace","path":"/roles","value":[]}])", ProblemKind::InvalidValue, "roles" },
    { R"([{"op":"replace","path":"/roles/0","value":"router"}])", ProblemKind::InvalidValue, "roles[0]" },
    { R"([{"op":"replace","path":"/roles/0","value":"ledger"}])", ProblemKind::InvalidValue, "roles[1]" },
    { R"([{"op":"remove","path":"/entry"}])", ProblemKind::MissingMember, "entry" },
    { R"([{"op":"replace","path":"/entry","value":[]}])", ProblemKind::InvalidValue, "entry" },
    { R"([{"op":"replace","path":"/entry/http/port","value":70000}])", ProblemKind::InvalidValue, "entry.http.port" },
    { R"([{"op":"replace","path":"/entry/http/address","value":"localhost"}])", ProblemKind::InvalidValue, "entry.http.address" },
    { R"([{"op":"replace","path":"/entry/http/workers","value":0}])", ProblemKind::InvalidValue, "entry.http.workers" },
    { R"([{"op":"add","path":"/entry/http/tls","value":{"key":"k"}}])", ProblemKind::MissingMember, "entry.http.tls.certificate" },
    { R"([{"op":"replace","path":"/entry/admin/port","value":8080}])", ProblemKind::InvalidValue, "entry.admin" },
    { R"([{"op":"add","path":"/admin","value":{"address":"127.0.0.1","port":1}}])", ProblemKind::InvalidValue, "admin" },
    { R"([{"op":"replace","path":"/ledger/dataFolder","value":""}])", ProblemKind::InvalidValue, "ledger.dataFolder" },
    { R"([{"op":"replace","path":"/peer/port","value":0}])", ProblemKind::InvalidValue, "peer.port" },
    { R"([{"op":"replace","path":"/peer/address","value":"127.0.0.01"}])", ProblemKind::InvalidValue, "peer.address" },
    { R"([{"op":"remove","path":"/clusterKeyFile"}])", ProblemKind::MissingMember, "clusterKeyFile" },
    { R"([{"op":"replace","path":"/bootstrap/members","value":[]}])", ProblemKind::InvalidValue, "bootstrap.members" },
    { R"([{"op":"copy","path":"/bootstrap/members/1","from":"/bootstrap/members/0"}])", ProblemKind::InvalidValue, "bootstrap.members[1].node" },
    { R"([{"op":"replace","path":"/bootstrap/members/0/region","value":"ecape"}])", ProblemKind::InvalidValue, "bootstrap.members[0].region" },
    { R"([{"op":"replace","path":"/bootstrap/members/0/port","value":8090}])", ProblemKind::InvalidValue, "bootstrap.members[0]" },
    { R"([{"op":"add","path":"/bootstrap/members/0/disk","value":"5a"}])", ProblemKind::InvalidValue, "bootstrap.members[0].disk" },
    { R"([{"op":"add","path":"/bootstrap/members/0/disk","value":"5a0c3f6e91d27b48"},{"op":"add","path":"/bootstrap/members/1","value":{"node":2,"zone":"wc-paarl","region":"wcape","address":"127.0.0.2","port":8082,"disk":"5a0c3f6e91d27b48"}}])", ProblemKind::InvalidValue, "bootstrap.members[1].disk" },
    { R"([{"op":"replace","path":"/bootstrap/operators/0/publicKey","value":"abc"}])", ProblemKind::InvalidValue, "bootstrap.operators[0].publicKey" },
    { R"([{"op":"add","path":"/bootstrap/operators/1","value":{"name":"lerato","publicKey":"d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a"}}])", ProblemKind::InvalidValue, "bootstrap.operators[1].publicKey" },
    { R"([{"op":"replace","path":"/bootstrap/threshold","value":2}])", ProblemKind::InvalidValue, "bootstrap.threshold" },
    { R"([{"op":"replace","path":"/log/level","value":"loud"}])", ProblemKind::InvalidValue, "log.level" },
    { R"([{"op":"replace","path":"/drainMs","value":-1}])", ProblemKind::InvalidValue, "drainMs" },
};

}

TEST_CASE("the example settings of the documentation are valid")
{
    const auto text = readFileText(TEASELTURN_SOURCE_DIR "/docs/settings-example.json", ResultCode::SettingsUnreadable);
    REQUIRE(text);
    const auto checked = parseSettings(*text, "/etc/teaselturn");
    INFO(describeProblems(checked.problems, "settings-example.json"));
    REQUIRE(checked.value);
    CHECK(checked.value->node == NodeId { 1 });
    CHECK(checked.value->entry->http.listen == Endpoint { "127.0.0.1", 8080 });
    CHECK(checked.value->admin == Endpoint { "127.0.0.1", 8081 });
    CHECK(checked.value->ledger->dataFolder == "/etc/teaselturn/data");
    CHECK(checked.value->bootstrap.members.front().disk == DiskId {});
    CHECK(checked.value->bootstrap.operators.front().publicKey.back() == 0x1a);
    CHECK(checked.value->drain == std::chrono::milliseconds { 10'000 });
}

TEST_CASE("each fault in settings is reported with its path and nothing else")
{
    // Guards against accepting settings in which a member is misspelt, missing or out of range.
    for (const auto& fault : faults) {
        const auto text = exampleDocument().patch(json::parse(fault.patch)).dump();
        const auto checked = parseSettings(text, {});
        INFO(fault.patch << "\n"
                         << describeProblems(checked.problems, "patched.json"));
        CHECK_FALSE(checked.value);
        REQUIRE(checked.problems.size() == 1);
        CHECK(checked.problems.front().kind == fault.kind);
        CHECK(checked.problems.front().path == fault.path);
        CHECK_FALSE(checked.problems.front().found.empty());
        CHECK_FALSE(checked.problems.front().allowed.empty());
    }
}

TEST_CASE("an initial member may state its disk identity")
{
    auto document = exampleDocument();
    document["bootstrap"]["members"][0]["disk"] = "5a0c3f6e91d27b48";
    const auto checked = parseSettings(document.dump(), {});
    INFO(describeProblems(checked.problems, {}));
    REQUIRE(checked.value);
    CHECK(checked.value->bootstrap.members.front().disk == DiskId { 0x5a0c'3f6e'91d2'7b48 });
}

TEST_CASE("all faults are reported at once")
{
    auto document = exampleDocument();
    document["entry"]["http"]["port"] = 70000;
    document["peer"]["address"] = "example.org";
    document["surplus"] = 1;
    document["bootstrap"]["threshold"] = 5;
    const auto checked = parseSettings(document.dump(), {});
    INFO(describeProblems(checked.problems, "patched.json"));
    CHECK(checked.problems.size() == 4);
    CHECK(checked.problems.front().describe("node.json") == "node.json: entry.http.port: found 70000; allowed: an integer from 0 to 65535");
}

TEST_CASE("a member that occurs twice is a fault")
{
    // By default the JSON library silently keeps the last of the two.
    const auto checked = parseSettings(R"({"peer": {"port": 1, "port": 2}})", {});
    const auto isDuplicate = [](const Problem& problem) { return problem.kind == ProblemKind::DuplicateMember && problem.path == "peer.port"; };
    CHECK(std::count_if(checked.problems.begin(), checked.problems.end(), isDuplicate) == 1);
}

TEST_CASE("text that is not a JSON document is a syntax error")
{
    for (const auto* text : { "", "{", "{} {}", "{\"node\": 01}", "\xff", "nul" }) {
        const auto checked = parseSettings(text, {});
        INFO(text);
        REQUIRE(checked.problems.size() == 1);
        CHECK(checked.problems.front().kind == ProblemKind::Syntax);
        CHECK(settingsResultCode(checked.problems.front().kind) == ResultCode::SettingsSyntax);
    }
    const auto deep = std::string(100'000, '[');
    CHECK(parseSettings(deep, {}).problems.front().kind == ProblemKind::Syntax);
}

TEST_CASE("a VM with only the ledger role has its administration address at the top level")
{
    auto document = exampleDocument();
    document["roles"] = { "ledger" };
    document.erase("entry");
    CHECK(parseSettings(document.dump(), {}).problems.front().path == "admin");
    document["admin"] = { { "address", "::1" }, { "port", 0 } };
    const auto checked = parseSettings(document.dump(), {});
    INFO(describeProblems(checked.problems, {}));
    REQUIRE(checked.value);
    CHECK_FALSE(checked.value->entry);
    CHECK(checked.value->admin == Endpoint { "::1", 0 });
}

TEST_CASE("files that the settings name are checked")
{
    const TemporaryFolder folder;
    const auto file = folder.path() / "node.json";
    const auto key = folder.path() / "cluster.key";
    REQUIRE(writeFileText(file, exampleDocument().dump(), 0644, Existing::Replaced));
    CHECK(loadSettings(file).problems.at(0).path == "clusterKeyFile");

    REQUIRE(writeFileText(key, std::string(63, 'a') + "\n", 0600, Existing::Replaced));
    CHECK(loadSettings(file).problems.at(0).found == "a file of another form");

    REQUIRE(writeFileText(key, std::string(64, 'a') + "\n", 0604, Existing::Replaced));
    CHECK(loadSettings(file).problems.at(0).found == "a file that every user of the VM can use");

    REQUIRE(writeFileText(key, std::string(64, 'a') + "\n", 0600, Existing::Replaced));
    const auto checked = loadSettings(file);
    INFO(describeProblems(checked.problems, {}));
    REQUIRE(checked.value);
    CHECK(checked.value->clusterKey.front() == 0xaa);

    auto withTls = exampleDocument();
    withTls["entry"]["http"]["tls"] = { { "certificate", "none.crt" }, { "key", "none.pem" } };
    REQUIRE(writeFileText(file, withTls.dump(), 0644, Existing::Replaced));
    CHECK(loadSettings(file).problems.at(0).path == "entry.http.tls.certificate");

    CHECK(loadSettings(folder.path() / "absent.json").problems.at(0).kind == ProblemKind::Unreadable);
}

// Guards against a daemon that starts with a key that doesn't match its certificate, for example after an incomplete
// renewal, and then fails every TLS handshake.
TEST_CASE("a TLS certificate and key must be readable and belong together")
{
    const TemporaryFolder folder;
    const auto file = folder.path() / "node.json";
    REQUIRE(writeFileText(folder.path() / "cluster.key", std::string(64, 'a') + "\n", 0600, Existing::Replaced));
    writeTlsMaterial(folder.path() / "a.crt", folder.path() / "a.pem");
    writeTlsMaterial(folder.path() / "b.crt", folder.path() / "b.pem");
    const auto load = [&](const char* certificate, const char* key) {
        auto document = exampleDocument();
        document["entry"]["http"]["tls"] = { { "certificate", certificate }, { "key", key } };
        REQUIRE(writeFileText(file, document.dump(), 0644, Existing::Replaced));
        return loadSettings(file);
    };
    const auto valid = load("a.crt", "a.pem");
    INFO(describeProblems(valid.problems, {}));
    REQUIRE(valid.value);
    CHECK(valid.value->entry->http.tls == TlsSettings { folder.path() / "a.crt", folder.path() / "a.pem" });

    for (const auto& [certificate, key, path] : { std::tuple { "a.crt", "b.pem", "entry.http.tls.key" }, { "a.crt", "a.crt", "entry.http.tls.key" },
             { "a.crt", "none.pem", "entry.http.tls.key" }, { "a.pem", "a.pem", "entry.http.tls.certificate" }, { "cluster.key", "a.pem", "entry.http.tls.certificate" } }) {
        INFO(certificate << " with " << key);
        const auto checked = load(certificate, key);
        CHECK_FALSE(checked.value);
        REQUIRE(checked.problems.size() == 1);
        CHECK(checked.problems.front().path == path);
    }
    // Errors of the failed checks must not affect a later check.
    CHECK(load("b.crt", "b.pem").value);
}

TEST_CASE("the builder rejects default settings")
{
    CHECK_FALSE(SettingsBuilder {}.build().value);
}
