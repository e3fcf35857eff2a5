#include "node/registry/RegistryDaemon.h"

#include "adapters/settings/TemporaryFolder.h"
#include "platform/ControlApi.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace teaselturn;
using std::chrono::milliseconds;

namespace {

constexpr auto memberAddress = "127.0.0.2";
constexpr auto entryAddress = "127.0.0.3";
const std::vector<std::uint8_t> clusterKey { 1, 2, 3, 4, 5, 6, 7, 8 };

/// @return A port that is free for messages between processes.
std::uint16_t findPeerPort()
{
    const auto transport = PeerTransport::Builder {}.identity(NodeId { 1 }, BootId { 1 }).listenOn({ memberAddress, 0 }).clusterKey(clusterKey).handler([](NodeId, const PeerMessage&) {}).start();
    REQUIRE(transport);
    return (*transport)->localEndpoint().port;
}

/// The process of a registry member. Its reactor stops before its daemon is destroyed, as in a real process.
struct MemberProcess {
    Reactor reactor { 2 };
    std::unique_ptr<Logger> logger { std::move(*Logger::open({ LogLevel::Fatal, {}, LogStream::Error })) };
    RegistryDaemon<platform::ControlApi> daemon;

    MemberProcess(const std::string& dataFolder, const std::string& address, std::uint16_t peerPort, const std::vector<std::string>& seeds)
        : daemon(this->reactor, *this->logger, makeOptions(dataFolder, address, peerPort, seeds), [] {})
    {
        REQUIRE(this->daemon.open());
        this->reactor.start();
    }
    ~MemberProcess() { this->reactor.stop(); }

    static RegistryDaemonOptions makeOptions(const std::string& dataFolder, const std::string& address, std::uint16_t peerPort, const std::vector<std::string>& seeds)
    {
        RegistryDaemonOptions options;
        options.self = *nodeAtAddress(address);
        options.control = { address, 0 };
        options.peer = { address, peerPort };
        options.dataFolder = dataFolder;
        for (const auto& seed : seeds) {
            options.seeds.push_back(*nodeAtAddress(seed));
        }
        options.isBootstrap = true;
        options.clusterKey = clusterKey;
        return options;
    }
};

}

TEST_CASE("a member that receives messages while it is destroyed does not crash")
{
    // SIGTERM under changes ended processes with SIGSEGV, SIGTRAP or SIGABRT, or they never ended: the transport's thread
    // passed messages to a member whose parts were destroyed.
    const TemporaryFolder folder;
    const auto port = findPeerPort();
    const auto sender = std::move(*PeerTransport::Builder {}.identity(*nodeAtAddress(entryAddress), BootId { 1 }).listenOn({ entryAddress, port }).clusterKey(clusterKey).peersByAddress().handler([](NodeId, const PeerMessage&) {}).start());
    std::atomic<bool> isOver { false };
    std::thread messages { [&] {
        for (std::uint64_t sequence = 1; !isOver; ++sequence) {
            sender->send(*nodeAtAddress(memberAddress), MemberProbe { sequence });
        }
    } };
    for (int i = 0; i < 100; ++i) {
        const MemberProcess member { (folder.path() / "data").string(), memberAddress, port, { memberAddress } };
        std::this_thread::sleep_for(milliseconds { 2 });
    }
    isOver = true;
    messages.join();
}
