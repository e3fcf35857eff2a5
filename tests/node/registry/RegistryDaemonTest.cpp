#include "node/registry/RegistryDaemon.h"

#include "adapters/http/SlowCaller.h"
#include "adapters/settings/TemporaryFolder.h"
#include "platform/ControlApi.h"

#include <absl/synchronization/notification.h>
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
    absl::Notification hasStopped;
    RegistryDaemon<platform::ControlApi> daemon;
    /// Address for control requests, which the daemon closes later.
    Endpoint control;

    MemberProcess(const std::string& dataFolder, const std::string& address, std::uint16_t peerPort, const std::vector<std::string>& seeds, milliseconds stopTime = milliseconds { 20'000 })
        : daemon(this->reactor, *this->logger, makeOptions(dataFolder, address, peerPort, seeds, stopTime), { [this] { this->hasStopped.Notify(); }, [] {} })
    {
        REQUIRE(this->daemon.open());
        this->control = this->daemon.control();
        this->reactor.start();
    }
    ~MemberProcess() { this->reactor.stop(); }

    static RegistryDaemonOptions makeOptions(const std::string& dataFolder, const std::string& address, std::uint16_t peerPort, const std::vector<std::string>& seeds, milliseconds stopTime)
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
        options.stopTime = stopTime;
        return options;
    }

    /// @return True if the member answers reads itself.
    bool isLeader() const
    {
        SlowCaller caller { this->control };
        REQUIRE(caller.send("GET /config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n"));
        caller.readToEnd();
        return caller.received.starts_with("HTTP/1.1 200");
    }

    void waitUntilLeader() const
    {
        for (int i = 0; i < 2'000; ++i) {
            if (this->isLeader()) {
                return;
            }
            std::this_thread::sleep_for(milliseconds { 10 });
        }
        FAIL("no leader was elected");
    }

    /// Begins the planned stop, and ends the process as soon as the daemon permits it.
    static std::thread stop(std::unique_ptr<MemberProcess> process)
    {
        process->daemon.beginStop();
        return std::thread { [process = std::move(process)] { process->hasStopped.WaitForNotification(); } };
    }
};

/// @return A request that sets so many services.
std::string changeRequest(int services, int version = 1)
{
    std::string body = R"({"upsert":{"services":{)";
    for (int i = 0; i < services; ++i) {
        body += (i == 0 ? "\"" : ",\"") + std::string { "service-" } + std::to_string(i) + R"(":{"health_check_path":"/)" + std::string(200, 'x') + R"(","max_connections":100,"version":")" + std::to_string(version) + "\"}";
    }
    body += "}}}";
    return "PATCH /config HTTP/1.1\r\nHost: c\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

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

TEST_CASE("a planned stop of a member does not cut a response whose caller reads slowly")
{
    // The process ended at once. Most of a response was in its send buffer, and bytes that the caller sent reset the connection.
    const TemporaryFolder folder;
    auto member = std::make_unique<MemberProcess>((folder.path() / "data").string(), memberAddress, findPeerPort(), std::vector<std::string> { memberAddress });
    member->waitUntilLeader();
    {
        SlowCaller operatorCaller { member->control };
        REQUIRE(operatorCaller.send(changeRequest(2'000)));
        operatorCaller.readAtLeast(1);
        REQUIRE(operatorCaller.received.starts_with("HTTP/1.1 200"));
    }
    SlowCaller caller { member->control };
    REQUIRE(caller.send("GET /config HTTP/1.1\r\nHost: c\r\n\r\n"));
    caller.readAtLeast(1);
    auto end = MemberProcess::stop(std::move(member));
    std::this_thread::sleep_for(milliseconds { 200 });
    CHECK(caller.send("GET /config HTTP/1.1\r\nHost: c\r\n\r\n"));
    caller.readToEnd();
    end.join();
    const auto contentLength = caller.received.find("Content-Length: ");
    REQUIRE(contentLength != std::string::npos);
    CHECK(caller.receivedBody().size() == std::stoul(caller.received.substr(contentLength + 16)));
    CHECK(caller.receivedBody().size() > 2'000 * 200);
    CHECK(caller.end == SlowCaller::End::Orderly);
}

TEST_CASE("a planned stop of a member answers the changes that have arrived")
{
    // The process ended at once, so that a change had no response although it took effect, or was never read.
    const TemporaryFolder folder;
    const auto port = findPeerPort();
    for (int i = 0; i < 10; ++i) {
        auto member = std::make_unique<MemberProcess>((folder.path() / "data").string(), memberAddress, port, std::vector<std::string> { memberAddress });
        member->waitUntilLeader();
        std::thread end;
        {
            SlowCaller idle { member->control };
            SlowCaller caller { member->control };
            // Every second change is whole only after the stop has begun. A whole one may be answered before, without closing its
            // connection.
            const bool isWhole = i % 2 == 0;
            const auto request = changeRequest(10, 1 + i);
            REQUIRE(caller.send(isWhole ? request : request.substr(0, request.size() - 1)));
            end = MemberProcess::stop(std::move(member));
            if (!isWhole) {
                REQUIRE(caller.send(request.substr(request.size() - 1)));
            }
            caller.readToEnd();
            CHECK(caller.received.starts_with("HTTP/1.1 200"));
            CHECK((isWhole || caller.received.find("Connection: close") != std::string::npos));
            CHECK(caller.end == SlowCaller::End::Orderly);
            idle.readToEnd();
            CHECK(idle.received.empty());
            CHECK(idle.end == SlowCaller::End::Orderly);
        }
        end.join();
    }
}

TEST_CASE("a planned stop of a member answers a change that is still being received")
{
    // A request that was partly read counted neither as open nor as closing, so that the process ended 50 ms after its stop began.
    const TemporaryFolder folder;
    auto member = std::make_unique<MemberProcess>((folder.path() / "data").string(), memberAddress, findPeerPort(), std::vector<std::string> { memberAddress });
    member->waitUntilLeader();
    SlowCaller caller { member->control };
    const auto request = changeRequest(10);
    REQUIRE(caller.send(request.substr(0, request.size() - 1)));
    auto end = MemberProcess::stop(std::move(member));
    // Four times the interval of the drain, and a fifth of the default time to stop.
    std::this_thread::sleep_for(milliseconds { 200 });
    static_cast<void>(caller.send(request.substr(request.size() - 1)));
    caller.readToEnd();
    end.join();
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
    CHECK(caller.end == SlowCaller::End::Orderly);
}

TEST_CASE("a member without a quorum answers its requests and stops in time")
{
    // A change that cannot be committed must not keep the process from ending, and had no response.
    const TemporaryFolder folder;
    const auto port = findPeerPort();
    const std::vector<std::string> addresses { memberAddress, entryAddress };
    std::vector<std::unique_ptr<MemberProcess>> members;
    members.reserve(addresses.size());
    for (const auto& address : addresses) {
        members.push_back(std::make_unique<MemberProcess>((folder.path() / address).string(), address, port, addresses, milliseconds { 400 }));
    }
    while (!members.front()->isLeader()) {
        std::swap(members.front(), members.back());
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    SlowCaller caller { members.front()->control };
    // Ends the follower.
    members.pop_back();
    REQUIRE(caller.send(changeRequest(1)));
    std::this_thread::sleep_for(milliseconds { 50 });
    const SteadyClock clock;
    const auto begunAt = clock.now();
    auto end = MemberProcess::stop(std::move(members.front()));
    caller.readToEnd();
    CHECK(caller.received.starts_with("HTTP/1.1 503"));
    CHECK(caller.end == SlowCaller::End::Orderly);
    end.join();
    // The time to stop is 0.4 s.
    CHECK(clock.now() - begunAt < milliseconds { 3'000 });
}

TEST_CASE("a member acknowledges evacuation orders and their withdrawals")
{
    // They were never acknowledged: the path was unknown.
    const TemporaryFolder folder;
    auto member = std::make_unique<MemberProcess>((folder.path() / "data").string(), memberAddress, findPeerPort(), std::vector<std::string> { memberAddress });
    member->waitUntilLeader();
    const auto request = [&member](const std::string& method, const std::string& path) {
        SlowCaller caller { member->control };
        REQUIRE(caller.send(method + " " + path + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n"));
        caller.readToEnd();
        return caller.received;
    };
    CHECK(request("POST", "/evacuations/zone-1").starts_with("HTTP/1.1 200"));
    CHECK(request("POST", "/evacuations/zone-1").starts_with("HTTP/1.1 200"));
    CHECK(request("DELETE", "/evacuations/zone-1").starts_with("HTTP/1.1 200"));
    CHECK(request("PUT", "/evacuations/zone-1").starts_with("HTTP/1.1 405"));
    MemberProcess::stop(std::move(member)).join();
}
