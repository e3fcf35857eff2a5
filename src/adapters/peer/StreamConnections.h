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

/// Registers sockets in one epoll set under numbers that are never used again, so that an event of a closed socket
/// cannot be taken for one of its successor.
class EventSet {
public:
    EventSet();

    /// @param events EPOLLIN, EPOLLOUT.
    /// @return The number that events of this socket carry. Zero where it could not be added.
    std::uint64_t add(const FileDescriptor& socket, std::uint32_t events);
    void change(const FileDescriptor& socket, std::uint64_t id, std::uint32_t events);
    int number() const noexcept { return this->epoll.number(); }

private:
    FileDescriptor epoll;
    std::uint64_t lastId {};
};

/// Connections that this process opened: one to each peer that a long message goes to. Used by the transport's thread.
class OutboundStreams {
public:
    /// A connection is closed when nothing moved for this long.
    static constexpr std::chrono::milliseconds patience { 2'000 };
    /// A connection is replaced at this age, between two frames: a path that silently lost its state then costs a few
    /// seconds at most, even where the bytes are still acknowledged.
    static constexpr std::chrono::milliseconds maxAge { 3'000 };

    OutboundStreams(EventSet& events, PeerTable& peers, PeerStatistics& statistics)
        : events(events)
        , peers(peers)
        , statistics(statistics)
    {
    }

    /// Opens connections for peers with queued frames.
    void serveWaiting(Instant now);
    /// @return False where the event belongs to no outbound connection.
    bool handle(Instant now, std::uint64_t id, std::uint32_t occurred);
    /// Closes connections without progress and old ones without work.
    void expire(Instant now);

private:
    struct Connection {
        NodeId node;
        FileDescriptor socket;
        std::vector<std::uint8_t> frame;
        std::size_t written {};
        Instant openedAt;
        Instant progressAt;
        bool isWriteAwaited { true };
    };

    void write(Instant now, std::uint64_t id);
    bool takeNextFrame(Instant now, std::uint64_t id, Connection& connection);
    void awaitWrite(std::uint64_t id, Connection& connection, bool isAwaited);
    void fail(std::uint64_t id);
    void close(std::uint64_t id);

    EventSet& events;
    PeerTable& peers;
    PeerStatistics& statistics;
    absl::flat_hash_map<std::uint64_t, Connection> connections;
    absl::flat_hash_map<NodeId, std::uint64_t> byNode;
};

/// Connections that peers opened to this process. Used by the transport's thread.
class InboundStreams {
public:
    /// At the target size, every entry VM may have one open to the leader.
    static constexpr std::size_t maxConnections = 2'048;
    /// Most bytes of incomplete frames over all connections.
    static constexpr std::size_t maxBufferedBytes = 64 * 1024 * 1024;
    /// Longer than the age at which peers replace their connections.
    static constexpr std::chrono::milliseconds patience { 10'000 };

    /// Returns false where the connection is to be closed.
    using FrameHandler = std::function<bool(std::span<const std::uint8_t> frame)>;
    using DropHandler = std::function<void(const Failure& failure)>;

    InboundStreams(EventSet& events, FrameHandler handleFrame, DropHandler handleDrop)
        : events(events)
        , handleFrame(std::move(handleFrame))
        , handleDrop(std::move(handleDrop))
    {
    }

    void accept(Instant now, const FileDescriptor& listener);
    /// @return False where the event belongs to no inbound connection.
    bool handle(Instant now, std::uint64_t id);
    void expire(Instant now);

private:
    struct Connection {
        FileDescriptor socket;
        std::vector<std::uint8_t> buffer;
        Instant progressAt;
    };

    /// @return False where the connection is to be closed.
    bool read(Instant now, Connection& connection);
    bool takeFrames(Connection& connection);
    void close(std::uint64_t id);

    EventSet& events;
    FrameHandler handleFrame;
    DropHandler handleDrop;
    absl::flat_hash_map<std::uint64_t, Connection> connections;
    std::size_t bufferedBytes {};
};

}
