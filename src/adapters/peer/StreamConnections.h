#pragma once

#include "adapters/peer/PeerStatistics.h"
#include "adapters/peer/PeerTable.h"
#include "adapters/peer/Socket.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace teaselturn {

/// An epoll set that identifies sockets by ids that are never reused, so that an event of a closed socket is not
/// attributed to a later socket with the same descriptor.
class EventSet {
public:
    EventSet();

    /// @param events Bit mask of EPOLLIN and EPOLLOUT.
    /// @return The id in the events of this socket, or zero if it could not be added.
    std::uint64_t add(const FileDescriptor& socket, std::uint32_t events);
    void change(const FileDescriptor& socket, std::uint64_t id, std::uint32_t events);
    int number() const noexcept { return this->epoll.number(); }

private:
    FileDescriptor epoll;
    std::uint64_t lastId {};
};

/// Connections that this process opened, one to each peer that it sends long messages to. Used only by the transport's
/// thread.
class OutboundStreams {
public:
    /// A connection with unsent bytes is closed after this time without progress.
    static constexpr std::chrono::milliseconds progressTimeout { 2'000 };
    /// A connection is replaced at this age, between two frames. This limits the outage to a few seconds if a device on
    /// the path silently lost the connection's state, even if the bytes are still acknowledged.
    static constexpr std::chrono::milliseconds maxAge { 3'000 };

    OutboundStreams(EventSet& events, PeerTable& peers, PeerStatistics& statistics)
        : events(events)
        , peers(peers)
        , statistics(statistics)
    {
    }

    /// Sends queued frames, and opens connections to peers that have none.
    void sendQueuedFrames(Instant now);
    /// @return False if the event belongs to no outbound connection.
    bool handle(Instant now, std::uint64_t id, std::uint32_t eventMask);
    /// Closes connections without progress, and connections older than maxAge that have nothing to send.
    void expire(Instant now);

private:
    struct Connection {
        NodeId node;
        FileDescriptor socket;
        std::vector<std::uint8_t> frame;
        std::size_t written {};
        Instant openedAt;
        Instant lastProgressAt;
        bool isWaitingForWrite { true };
    };

    void write(Instant now, std::uint64_t id);
    bool takeNextFrame(Instant now, std::uint64_t id, Connection& connection);
    void setWaitingForWrite(std::uint64_t id, Connection& connection, bool isWaiting);
    void fail(std::uint64_t id);
    void close(std::uint64_t id);

    EventSet& events;
    PeerTable& peers;
    PeerStatistics& statistics;
    absl::flat_hash_map<std::uint64_t, Connection> connections;
    absl::flat_hash_map<NodeId, std::uint64_t> byNode;
};

/// Connections that peers opened to this process. Used only by the transport's thread.
class InboundStreams {
public:
    /// At the target size, every entry VM may have one open to the leader.
    static constexpr std::size_t maxConnections = 2'048;
    /// Maximum bytes of incomplete frames over all connections.
    static constexpr std::size_t maxBufferedBytes = 64 * 1024 * 1024;
    /// A connection is closed after this time without received bytes. Longer than OutboundStreams::maxAge, at which
    /// peers replace their connections.
    static constexpr std::chrono::milliseconds progressTimeout { 10'000 };

    /// Returns false if the connection must be closed.
    using FrameHandler = std::function<bool(std::span<const std::uint8_t> frame)>;
    using DropHandler = std::function<void(const Failure& failure)>;

    InboundStreams(EventSet& events, FrameHandler handleFrame, DropHandler handleDrop)
        : events(events)
        , handleFrame(std::move(handleFrame))
        , handleDrop(std::move(handleDrop))
    {
    }

    void accept(Instant now, const FileDescriptor& listener);
    /// @return False if the event belongs to no inbound connection.
    bool handle(Instant now, std::uint64_t id);
    void expire(Instant now);

private:
    struct Connection {
        FileDescriptor socket;
        std::vector<std::uint8_t> buffer;
        Instant lastProgressAt;
    };

    /// @return False if the connection must be closed.
    bool read(Instant now, Connection& connection);
    bool extractFrames(Connection& connection);
    void close(std::uint64_t id);

    EventSet& events;
    FrameHandler handleFrame;
    DropHandler handleDrop;
    absl::flat_hash_map<std::uint64_t, Connection> connections;
    std::size_t bufferedBytes {};
};

}
