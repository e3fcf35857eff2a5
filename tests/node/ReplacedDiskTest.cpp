#include "NodeFakes.h"
#include "adapters/crypto/Ed25519.h"
#include "adapters/http/HttpClient.h"
#include "adapters/settings/BundleJson.h"
#include "adapters/settings/TemporaryFolder.h"
#include "node/Daemon.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

using namespace teaselturn;

namespace {

/// Three VMs with the ledger role, run in this process. The first is an entry VM too.
class ThreeMembers {
public:
    ThreeMembers()
    {
        auto opened = Logger::open({ LogLevel::Info, (this->folder.path() / "daemons.log").string() });
        REQUIRE(opened);
        this->logger = std::move(*opened);
        for (std::uint32_t node = 1; node <= 3; ++node) {
            // The members need each other's ports before they start, so the system picks free ports first.
            const Endpoint peer { "127.0.0.1", boundEndpoint(*openBound({ "127.0.0.1", 0 }, SOCK_STREAM)).port };
            this->members.push_back({ NodeId { node }, "wc-paarl", "wcape", peer, {} });
        }
        for (std::uint32_t node = 1; node <= 3; ++node) {
            REQUIRE(createLedger(this->settings(node)));
            this->start(node);
        }
    }

    std::filesystem::path dataFolder(std::uint32_t node) const { return this->folder.path() / ("data-" + std::to_string(node)); }

    void start(std::uint32_t node)
    {
        auto started = Daemon::start(this->settings(node), *this->logger);
        REQUIRE(started);
        this->daemons[node - 1] = std::move(*started);
    }

    void stop(std::uint32_t node) { this->daemons[node - 1].reset(); }

    nlohmann::json status(std::uint32_t node) const
    {
        HttpClient client { { "127.0.0.1", this->daemons[node - 1]->adminPort() } };
        const auto response = client.send({ "GET", "/status", {}, {}, {} }, std::chrono::seconds { 5 });
        return response ? nlohmann::json::parse(response->body) : nlohmann::json {};
    }

    /// @param disk Identity of the third member's disk.
    bool submit(std::uint64_t version, DiskId disk) const
    {
        Bundle bundle;
        bundle.version = { version };
        bundle.regions = { { { 1 }, "wcape" } };
        bundle.zones = { { { 1 }, "wc-paarl", { 1 } } };
        bundle.entries = { { { 1 }, { 1 }, this->members[0].peer } };
        for (const auto& member : this->members) {
            bundle.members.push_back({ member.node, { 1 }, member.peer, member.node.value == 3 ? disk : initialDiskId(member.node) });
        }
        bundle.operators = { { "thandi", this->operatorKey.publicKey } };
        auto sealed = sealBundle(bundle);
        sealed.signatures = { { "thandi", signEd25519(this->operatorKey.privateKey, sealed.canonicalBytes) } };
        HttpClient client { { "127.0.0.1", this->daemons[1]->adminPort() } };
        const auto body = writeSignedBundle(sealed);
        const auto response = client.send({ "POST", "/v1/bundles", {}, body, {} }, std::chrono::seconds { 15 });
        return response && response->status == 200;
    }

    template <typename Condition>
    static bool eventually(Condition condition)
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

private:
    Settings settings(std::uint32_t node) const
    {
        Settings settings;
        settings.node = NodeId { node };
        settings.zone = "wc-paarl";
        settings.region = "wcape";
        if (node == 1) {
            settings.entry = EntrySettings {};
            settings.entry->http.listen = { "127.0.0.1", 0 };
        }
        settings.ledger = LedgerSettings { this->dataFolder(node) };
        settings.admin = { "127.0.0.1", 0 };
        settings.peer = this->members[node - 1].peer;
        settings.bootstrap = { this->members, { { "thandi", this->operatorKey.publicKey } }, 1 };
        return settings;
    }

    TemporaryFolder folder;
    Ed25519KeyPair operatorKey { generateEd25519() };
    std::unique_ptr<Logger> logger;
    std::vector<BootstrapMember> members;
    std::array<std::unique_ptr<Daemon>, 3> daemons;
};

bool isVoter(const nlohmann::json& status, std::uint32_t node)
{
    for (const auto& member : status.value("members", nlohmann::json::array())) {
        if (member["node"] == node) {
            return member["voter"] == true;
        }
    }
    return false;
}

}

TEST_CASE("a member that lost its disk votes again only after a signed bundle names the new disk", "[processes]")
{
    // Guards I2 with real daemons: a member with an empty disk must not vote under the identity of the lost disk, and
    // operators need only a bundle to give it a vote again.
    ThreeMembers cluster;
    REQUIRE(ThreeMembers::eventually([&] { return cluster.submit(1, initialDiskId(NodeId { 3 })); }));
    cluster.stop(3);
    std::filesystem::remove_all(cluster.dataFolder(3));
    cluster.start(3);
    const auto text = cluster.status(3)["disk"].get<std::string>();
    const DiskId disk { std::stoull(text, nullptr, 16) };
    CHECK(text.size() == 16);
    CHECK(disk != initialDiskId(NodeId { 3 }));
    // The other two members are a quorum and continue; the new disk is empty and has no vote.
    CHECK(cluster.status(3)["appliedIndex"] == 0);
    REQUIRE(cluster.submit(2, disk));
    REQUIRE(ThreeMembers::eventually([&] { return isVoter(cluster.status(1), 3) && cluster.status(3)["bundle"]["accepted"] == 2; }));
    // The repaired ledger tolerates the loss of another member.
    cluster.stop(1);
    REQUIRE(ThreeMembers::eventually([&] { return cluster.submit(3, disk); }));
    CHECK(ThreeMembers::eventually([&] { return cluster.status(3)["bundle"]["accepted"] == 3; }));
}
