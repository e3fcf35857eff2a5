#pragma once

#include "adapters/peer/Socket.h"
#include "core/Mutex.h"
#include "teaselturn/Message.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// @return The number of the node at an IPv4 address, or nothing where the text is none.
std::optional<NodeId> nodeAtAddress(std::string_view address);

/// @return The IPv4 address that a node's number stands for.
std::string addressOfNode(NodeId node);

/// Where a process of the system is reached.
struct PeerAddress {
    NodeId node;
    Endpoint endpoint;

    friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

/// The peers of a process with their sequences and the frames that wait for a stream. Shared by the threads that send
/// and the transport's own. Its lock is taken last and held for no I/O.
class PeerTable {
public:
    /// Most bytes that wait for a peer's stream. It holds a few messages of the largest size.
    static constexpr std::size_t maxQueuedBytes = 4 * 1024 * 1024;
    /// Most messages of a process to itself that wait for the transport's thread.
    static constexpr std::size_t maxLoopback = 4'096;

    struct Target {
        SocketAddress address;
        std::uint64_t sequence {};
    };

    /// Replaces the list. Sequences of a peer that is listed again go on, so that it does not take frames for replays.
    /// @return SettingsInvalidValue where an address is not an IP number; the list is then unchanged.
    Status replace(std::span<const PeerAddress> addresses);

    /// Takes every node whose number is an IPv4 address for a peer at that address and this port. Who may take part is
    /// then decided by the cluster key alone.
    void acceptByAddress(std::uint16_t port);

    bool contains(NodeId node) const;
    std::optional<SocketAddress> addressOf(NodeId node);

    /// @return Address and sequence of the next datagram, or nothing where the peer is not listed.
    std::optional<Target> nextDatagram(NodeId node);
    std::optional<std::uint64_t> nextStreamSequence(NodeId node);

    /// @return False where the peer's queue is full or the peer is not listed.
    bool queueFrame(NodeId node, std::vector<std::uint8_t> frame);
    std::optional<std::vector<std::uint8_t>> takeFrame(NodeId node);
    /// @return The number of frames that were dropped.
    std::size_t dropFrames(NodeId node);
    /// @return The peers with queued frames.
    std::vector<NodeId> waiting() const;

    bool queueLoopback(PeerMessage message);
    std::deque<PeerMessage> takeLoopback();

private:
    struct Peer {
        SocketAddress address;
        bool isListed {};
        std::uint64_t datagramSequence {};
        std::uint64_t streamSequence {};
        std::deque<std::vector<std::uint8_t>> queue;
        std::size_t queuedBytes {};
    };

    /// Most peers that are known by their address.
    static constexpr std::size_t maxPeers = 8'192;

    Peer* listed(NodeId node) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable Mutex mutex;
    /// Port of the peers that are known by their address. Zero where all are listed.
    std::uint16_t addressPort ABSL_GUARDED_BY(mutex) {};
    absl::flat_hash_map<NodeId, Peer> peers ABSL_GUARDED_BY(mutex);
    std::deque<PeerMessage> loopback ABSL_GUARDED_BY(mutex);
};

}
