#pragma once

#include "adapters/clock/SteadyClock.h"
#include "adapters/log/Logger.h"
#include "adapters/peer/Frame.h"
#include "adapters/peer/PeerStatistics.h"
#include "adapters/peer/PeerTable.h"
#include "adapters/peer/ReplayWindow.h"
#include "adapters/peer/Socket.h"
#include "adapters/peer/StreamConnections.h"
#include "teaselturn/Message.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <thread>
#include <vector>

namespace teaselturn {

/// Exchanges messages with the other processes of the system. Models PeerSender. One thread waits in epoll for a UDP
/// socket, a TCP listener on the same port and the open connections. Short messages go as one datagram, longer ones
/// over a connection that is opened on demand. Messages can be lost; senders repeat them.
class PeerTransport {
public:
    /// Called on the transport's thread, for one message at a time. It must not block.
    using Handler = std::function<void(NodeId from, const PeerMessage& message)>;

    class Builder;

    /// Calls stop().
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Ends the transport's thread and waits until a running handler has returned. No handler runs afterwards. Must not be
    /// called from a handler.
    void stop();

    /// Sends a message without blocking. A message to this process itself is queued for its handler without encoding.
    /// Any thread may call it; callers should hold no lock of the lock order.
    void send(NodeId to, const PeerMessage& message);

    /// Replaces the list of processes that messages are sent to and accepted from.
    /// @return SettingsInvalidValue if an address is not an IP address; the list is then unchanged.
    Status setPeers(std::span<const PeerAddress> peers) { return this->peers.replace(peers); }

    /// Closes connections that have timed out. A timer calls it about every 500 ms.
    void tick();

    /// @return The endpoint on which this process listens, with the port that the operating system chose if the
    /// configured port is 0.
    Endpoint localEndpoint() const { return boundEndpoint(this->datagrams); }

    const PeerStatistics& counters() const noexcept { return this->statistics; }

private:
    struct Settings {
        NodeId self;
        BootId boot;
        Endpoint listen;
        std::vector<std::uint8_t> clusterKey;
        Handler handler;
        bool acceptsPeersByAddress {};
        Logger* logger {};
    };

    struct WindowKey {
        NodeId sender;
        FrameChannel channel {};

        friend bool operator==(const WindowKey&, const WindowKey&) = default;

        template <typename H>
        friend H AbslHashValue(H h, const WindowKey& key)
        {
            return H::combine(std::move(h), key.sender, key.channel);
        }
    };

    PeerTransport(Settings settings, FileDescriptor datagrams, FileDescriptor listener);

    void sendDatagram(NodeId to, std::uint8_t type, std::span<const std::uint8_t> payload);
    void sendStream(NodeId to, std::uint8_t type, std::span<const std::uint8_t> payload);
    void wake();
    void run();
    void dispatch(std::uint64_t id, std::uint32_t eventMask);
    void readDatagrams();
    void handleWakeUp();
    /// @return False if the frame was dropped.
    bool handleFrame(FrameChannel channel, std::span<const std::uint8_t> bytes);
    Status deliver(FrameChannel channel, std::span<const std::uint8_t> bytes);
    /// Counts a dropped message and logs the first one for each reason between two ticks.
    void recordDrop(const Failure& failure);

    const Settings settings;
    SteadyClock clock;
    PeerStatistics statistics;
    PeerTable peers;
    FileDescriptor datagrams;
    FileDescriptor listener;
    FileDescriptor wakeUp;
    std::atomic<bool> isStopping { false };
    std::atomic<bool> isTickDue { false };

    // Used by the transport's thread only.
    EventSet events;
    std::uint64_t datagramsId {};
    std::uint64_t listenerId {};
    std::uint64_t wakeUpId {};
    OutboundStreams outbound;
    InboundStreams inbound;
    absl::flat_hash_map<WindowKey, ReplayWindow> windows;

    std::thread thread;
};

/// Sets up a PeerTransport.
class PeerTransport::Builder {
public:
    /// @param self Node id of this process in frames.
    /// @param boot Identifies this start of the process.
    Builder& identity(NodeId self, BootId boot);
    /// @param endpoint The UDP and TCP endpoint to listen on; with port 0 the operating system chooses the port.
    Builder& listenOn(Endpoint endpoint);
    /// @param key Secret shared by the processes of the system.
    Builder& clusterKey(std::span<const std::uint8_t> key);
    Builder& handler(Handler handler);
    /// Accepts every node without a list, at the IPv4 address that its id encodes. All listen on the same port as this
    /// process.
    Builder& peersByAddress();
    /// @param logger Must outlive the transport. Without a logger nothing is logged.
    Builder& logger(Logger& logger);

    /// Opens the sockets and starts the thread.
    /// @return The transport, or ListenFailed.
    Result<std::unique_ptr<PeerTransport>> start();

private:
    Settings settings;
};

}
