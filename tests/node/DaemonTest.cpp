#include "node/Daemon.h"
#include "ChildProcess.h"
#include "NodeFakes.h"
#include "adapters/clock/SteadyClock.h"
#include "adapters/crypto/Ed25519.h"
#include "adapters/crypto/Hex.h"
#include "adapters/http/HttpClient.h"
#include "adapters/settings/BundleJson.h"
#include "adapters/settings/TemporaryFolder.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace teaselturn;

namespace {

const std::string daemonProgram = std::string { TEASELTURN_BINARY_DIR } + "/src/node/teaselturnd";
const std::string upstreamProgram = std::string { TEASELTURN_BINARY_DIR } + "/tools/stand-in-upstream";

/// Waits until a condition holds.
/// @return False if it does not hold within testTimeout.
template <typename Condition>
bool eventually(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
    }
    return true;
}

/// A VM with both roles, run in this process. It needs no address to send messages to itself, so the system chooses
/// every port.
struct SmallCluster {
    TemporaryFolder folder;
    Ed25519KeyPair operatorKey { generateEd25519() };
    std::unique_ptr<Logger> logger;
    std::unique_ptr<Daemon> daemon;
    const std::chrono::milliseconds drain;

    explicit SmallCluster(std::chrono::milliseconds drain = Settings {}.drain)
        : drain(drain)
    {
        auto opened = Logger::open({ LogLevel::Info, this->path("daemon.log") });
        REQUIRE(opened);
        this->logger = std::move(*opened);
        REQUIRE(createLedger(this->settings()));
        this->start();
    }

    std::string path(const std::string& name) const { return (this->folder.path() / name).string(); }

    Settings settings() const
    {
        Settings settings;
        settings.node = NodeId { 1 };
        settings.zone = "wc-paarl";
        settings.region = "wcape";
        settings.entry = EntrySettings {};
        settings.entry->http.listen = { "127.0.0.1", 0 };
        settings.ledger = LedgerSettings { this->path("data") };
        settings.admin = { "127.0.0.1", 0 };
        settings.peer = { "127.0.0.1", 0 };
        settings.bootstrap.members = { { NodeId { 1 }, "wc-paarl", "wcape", { "127.0.0.1", 1 }, {} } };
        settings.bootstrap.operators = { { "thandi", this->operatorKey.publicKey } };
        settings.bootstrap.threshold = 1;
        settings.drain = this->drain;
        return settings;
    }

    void start()
    {
        auto started = Daemon::start(this->settings(), *this->logger);
        REQUIRE(started);
        this->daemon = std::move(*started);
    }

    std::string signedBundle(std::uint64_t version) const
    {
        Bundle bundle;
        bundle.version = { version };
        bundle.regions = { { { 1 }, "wcape" } };
        bundle.zones = { { { 1 }, "wc-paarl", { 1 } } };
        bundle.entries = { { { 1 }, { 1 }, { "127.0.0.1", 1 } } };
        bundle.members = bundle.entries;
        bundle.services = { { { 1 }, "tills", 16 } };
        bundle.operators = { { "thandi", this->operatorKey.publicKey } };
        auto sealed = sealBundle(bundle);
        sealed.signatures = { { "thandi", signEd25519(this->operatorKey.privateKey, sealed.canonicalBytes) } };
        return writeSignedBundle(sealed);
    }

    Result<HttpResponse> admin(std::string_view method, std::string_view target, std::string_view body = {}) const
    {
        HttpClient client { { "127.0.0.1", this->daemon->adminPort() } };
        return client.send({ method, target, {}, body, {} }, std::chrono::seconds { 15 });
    }

    nlohmann::json status() const
    {
        const auto response = this->admin("GET", "/status");
        return response ? nlohmann::json::parse(response->body) : nlohmann::json {};
    }

    Result<HttpResponse> request(const std::string& id, std::string_view repeatable = "no") const
    {
        HttpClient client { { "127.0.0.1", this->daemon->callerPort() } };
        const HttpHeaderView headers[] = { { "Teaselturn-Key", "key-1" }, { "Teaselturn-Request-Id", id }, { "Teaselturn-Deadline-Ms", "5000" }, { "Teaselturn-Repeatable", repeatable } };
        return client.send({ "POST", "/s/tills/pay", headers, "x", {} }, std::chrono::seconds { 15 });
    }

    std::vector<std::string> upstreamCommand(const std::string& name) const
    {
        return { upstreamProgram, "--service", "tills", "--zone", "wc-paarl", "--name", name, "--entries", "127.0.0.1:" + std::to_string(this->daemon->adminPort()), "--record", this->path(name + ".record") };
    }
};

}

TEST_CASE("a request goes through a daemon to an upstream, and a restart keeps the bundle", "[processes]")
{
    SmallCluster cluster;
    // There may be no elected leader yet; the response then asks the caller to submit again.
    REQUIRE(eventually([&] {
        const auto response = cluster.admin("POST", "/v1/bundles", cluster.signedBundle(1));
        return response && response->status == 200;
    }));
    CHECK(eventually([&] { return cluster.admin("GET", "/ready")->status == 200; }));
    ChildProcess upstream { cluster.upstreamCommand("tills-1"), cluster.path("tills-1.txt") };
    REQUIRE(eventually([&] { return cluster.status()["slots"]["unowned"] == 0 && cluster.status()["upstreams"] == 1; }));
    const auto response = cluster.request("r-1");
    REQUIRE(response);
    INFO(response->body);
    CHECK(response->header("Teaselturn-Outcome") == "answered");
    CHECK(response->body == "ran r-1 key-1\n");
    const auto owner = cluster.admin("GET", "/owners?service=tills&key=key-1");
    REQUIRE(owner);
    CHECK(nlohmann::json::parse(owner->body)["owner"]["name"] == "tills-1");
    CHECK(cluster.admin("GET", "/metrics")->body.find("teaselturn_peer_sent_frames") != std::string::npos);
    CHECK(nlohmann::json::parse(cluster.admin("GET", "/report")->body)["services"][0]["service"] == "tills");
    CHECK(cluster.admin("GET", "/nothing")->status == 404);

    // A graceful stop exits with 0, and the accepted bundle survives the restart (I8).
    cluster.daemon->requestStop();
    CHECK(cluster.daemon->run() == exits::success);
    cluster.daemon.reset();
    cluster.start();
    REQUIRE(eventually([&] { return cluster.status()["bundle"]["inForce"] == 1; }));
    CHECK(cluster.status()["slots"]["total"] == 16);
}

TEST_CASE("a graceful stop under load cuts no request in flight", "[processes]")
{
    // Guards against a deployment that aborts requests in flight, so that callers don't learn the outcome of their
    // deposits (I7).
    SmallCluster cluster;
    REQUIRE(eventually([&] {
        const auto response = cluster.admin("POST", "/v1/bundles", cluster.signedBundle(1));
        return response && response->status == 200;
    }));
    auto command = cluster.upstreamCommand("tills-1");
    command.insert(command.end(), { "--service-time-ms", "400" });
    ChildProcess upstream { command, cluster.path("tills-1.txt") };
    REQUIRE(eventually([&] { return cluster.status()["slots"]["unowned"] == 0 && cluster.status()["upstreams"] == 1; }));
    std::atomic<int> sent { 0 };
    std::atomic<int> answered { 0 };
    std::atomic<int> aborted { 0 };
    std::vector<std::thread> callers;
    callers.reserve(3);
    for (int caller = 0; caller < 3; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < 20; ++i) {
                ++sent;
                const auto response = cluster.request("r-" + std::to_string(caller) + "-" + std::to_string(i));
                if (!response) {
                    // With a refused connection nothing was sent. Any other error is a request that the stop aborted.
                    aborted += response.error() == ResultCode::HttpUnreachable ? 0 : 1;
                    return;
                }
                answered += response->header("Teaselturn-Outcome") == "answered" ? 1 : 0;
            }
        });
    }
    REQUIRE(eventually([&] { return answered.load() >= 3 && sent.load() > answered.load(); }));
    cluster.daemon->requestStop();
    CHECK(cluster.daemon->run() == exits::success);
    for (auto& caller : callers) {
        caller.join();
    }
    INFO("sent " << sent.load() << ", answered " << answered.load());
    CHECK(aborted.load() == 0);
}

TEST_CASE("callers of attempts in progress get a response at the end of the drain period", "[processes]")
{
    // The process exited with attempts in progress, and their callers lost their connections without a response.
    // Less than half of the deadline, which is what the first attempt of a repeatable request gets.
    constexpr std::chrono::milliseconds serviceTime { 2'000 };
    SmallCluster cluster { std::chrono::milliseconds { 500 } };
    REQUIRE(eventually([&] {
        const auto response = cluster.admin("POST", "/v1/bundles", cluster.signedBundle(1));
        return response && response->status == 200;
    }));
    auto command = cluster.upstreamCommand("tills-1");
    command.insert(command.end(), { "--service-time-ms", std::to_string(serviceTime.count()), "--request-slots", "2" });
    ChildProcess upstream { command, cluster.path("tills-1.txt") };
    REQUIRE(eventually([&] { return cluster.status()["slots"]["unowned"] == 0 && cluster.status()["upstreams"] == 1; }));
    // Until it has heard of its slots, the upstream refuses.
    REQUIRE(cluster.request("r-first")->header("Teaselturn-Outcome") == "answered");

    struct Caller {
        std::string id;
        std::string_view repeatable;
        std::string outcome;
        std::chrono::steady_clock::time_point endedAt;
        std::thread thread;
    };
    // The upstream has two slots, so the third request waits in the entry VM.
    std::array<Caller, 3> callers { { { "r-once", "no" }, { "r-repeatable", "yes" }, { "r-waiting", "no" } } };
    for (auto& caller : callers) {
        caller.thread = std::thread { [&cluster, &caller] {
            const auto response = cluster.request(caller.id, caller.repeatable);
            caller.outcome = response ? std::string { response->header("Teaselturn-Outcome") } : response.failure().describe();
            caller.endedAt = std::chrono::steady_clock::now();
        } };
        std::this_thread::sleep_for(std::chrono::milliseconds { 200 });
    }
    cluster.daemon->requestStop();
    CHECK(cluster.daemon->run() == exits::failure);
    const auto endOfRun = std::chrono::steady_clock::now();
    for (auto& caller : callers) {
        caller.thread.join();
        INFO(caller.id);
        CHECK(caller.endedAt < endOfRun + std::chrono::milliseconds { 100 });
    }
    CHECK(callers[0].outcome == "unknown");
    CHECK(callers[1].outcome == "unknown");
    CHECK(callers[2].outcome == "not-run");

    // The upstream runs what was sent, once, and nothing else.
    std::string record;
    const auto countRuns = [&record](const std::string& id) {
        std::size_t count = 0;
        for (auto position = record.find(" " + id + " "); position != std::string::npos; position = record.find(" " + id + " ", position + 1)) {
            ++count;
        }
        return count;
    };
    CHECK(eventually([&] {
        std::ifstream file { cluster.path("tills-1.record") };
        record.assign(std::istreambuf_iterator<char> { file }, {});
        return countRuns("r-once") > 0 && countRuns("r-repeatable") > 0;
    }));
    CHECK(countRuns("r-once") == 1);
    CHECK(countRuns("r-repeatable") == 1);
    CHECK(countRuns("r-waiting") == 0);
}

TEST_CASE("operators who race with one number get one winner", "[processes]")
{
    SmallCluster cluster;
    REQUIRE(eventually([&] {
        const auto response = cluster.admin("POST", "/v1/bundles", cluster.signedBundle(1));
        return response && response->status == 200;
    }));
    auto other = cluster.signedBundle(1);
    // Changing the threshold changes the signed bytes, so the signature no longer matches.
    const auto at = other.find("\"threshold\":1");
    REQUIRE(at != std::string::npos);
    auto forged = other;
    forged.replace(at, 13, "\"threshold\":2");
    CHECK(cluster.admin("POST", "/v1/bundles", forged)->status >= 400);
    CHECK(cluster.admin("POST", "/v1/bundles", other)->status == 200);
    CHECK(cluster.admin("POST", "/v1/bundles", cluster.signedBundle(3))->status == 200);
    const auto outdated = cluster.admin("POST", "/v1/bundles", cluster.signedBundle(2));
    CHECK(outdated->status == 409);
    CHECK(nlohmann::json::parse(outdated->body)["code"] == static_cast<int>(ResultCode::BundleOutdated));
}

TEST_CASE("a ledger is created once, and a member that lost its data folder has no vote", "[processes]")
{
    // Guards I2: a member that lost its votes and entries must not count towards a quorum under its old identity.
    SmallCluster cluster;
    const auto settings = cluster.settings();
    CHECK(createLedger(settings).error() == ResultCode::DataFolderInvalid);
    cluster.daemon.reset();
    std::filesystem::remove_all(settings.ledger->dataFolder);
    cluster.start();
    const auto refused = cluster.admin("POST", "/v1/bundles", cluster.signedBundle(1));
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(cluster.status()["leader"].is_null());
}

TEST_CASE("teaselturnd exits with its documented exit codes", "[processes]")
{
    const TemporaryFolder folder;
    const auto path = [&folder](const std::string& name) { return (folder.path() / name).string(); };
    const auto run = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), daemonProgram);
        ChildProcess process { std::move(arguments), path("out.txt") };
        return process.wait();
    };
    CHECK(run({ "--help" }) == 0);
    CHECK(run({ "--version" }) == 0);
    CHECK(run({ "--nonsense" }) == 2);
    CHECK(run({ "--settings", path("missing.json"), "--check" }) == 1);
    std::ofstream { path("cluster.key") } << std::string(64, 'a') << "\n";
    std::filesystem::permissions(path("cluster.key"), std::filesystem::perms::owner_read);
    // A settings file must name the port for peers, so the system picks a free one first.
    const auto port = std::to_string(boundEndpoint(*openBound({ "127.0.0.1", 0 }, SOCK_STREAM)).port);
    const auto publicKey = encodeHex(generateEd25519().publicKey);
    std::ofstream { path("node.json") } << R"({"node": 1, "zone": "z", "region": "r", "roles": ["ledger"], "admin": {"address": "127.0.0.1", "port": 0},
        "peer": {"address": "127.0.0.1", "port": )"
                                        << port << R"(}, "ledger": {"dataFolder": "data"}, "clusterKeyFile": "cluster.key",
        "bootstrap": {"members": [{"node": 1, "zone": "z", "region": "r", "address": "127.0.0.1", "port": )"
                                        << port << R"(}],
        "operators": [{"name": "thandi", "publicKey": ")"
                                        << publicKey << R"("}], "threshold": 1}})";
    CHECK(run({ "--settings", path("node.json"), "--check" }) == 0);
    CHECK(run({ "--settings", path("node.json"), "--create-ledger" }) == 0);
    CHECK(run({ "--settings", path("node.json"), "--create-ledger" }) == 1);
    ChildProcess daemon { { daemonProgram, "--settings", path("node.json") }, path("daemon.txt") };
    REQUIRE(eventually([&] {
        std::ifstream log { path("daemon.txt") };
        const std::string text { std::istreambuf_iterator<char> { log }, {} };
        return text.find("LeaderElected") != std::string::npos;
    }));
    daemon.signal(SIGTERM);
    CHECK(daemon.wait() == 0);
}
