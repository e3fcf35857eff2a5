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

/// @return The id of the node at an IPv4 address, or nothing if the text is not an IPv4 address.
std::optional<NodeId> nodeAtAddress(std::string_view address);

/// @return The IPv4 address that a node id encodes.
std::string addressOfNode(NodeId node);

/// The endpoint at which a process of the system receives messages.
struct PeerAddress {
    NodeId node;
    Endpoint endpoint;

    friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

/// The peers of a process, with their sequences and the frames queued for their streams. Shared by the sending threads
/// and the transport's thread. Its lock is the last in the lock order and is not held during I/O.
class PeerTable {
public:
    /// Maximum bytes queued for a peer's stream; enough for a few messages of the maximum size.
    static constexpr std::size_t maxQueuedBytes = 4 * 1024 * 1024;
    /// Maximum messages from this process to itself that are queued for the transport's thread.
    static constexpr std::size_t maxLoopbackMessages = 4'096;

    struct Target {
        SocketAddress address;
        std::uint64_t sequence {};
    };

    /// Replaces the list of peers. A peer that is listed again keeps its sequences; otherwise it would drop new frames
    /// as replays.
    /// @return SettingsInvalidValue if an address is not an IP address; the list is then unchanged.
    Status replace(std::span<const PeerAddress> addresses);

    /// Accepts every node as a peer at the IPv4 address that its id encodes and this port. The cluster key alone then
    /// decides which processes may exchange messages.
    void acceptByAddress(std::uint16_t port);

    bool contains(NodeId node) const;
    std::optional<SocketAddress> addressOf(NodeId node);

    /// @return Address and sequence of the next datagram, or nothing if the peer is not listed.
    std::optional<Target> nextDatagram(NodeId node);
    std::optional<std::uint64_t> nextStreamSequence(NodeId node);

    /// @return False if the peer's queue is full or the peer is not listed.
    bool queueFrame(NodeId node, std::vector<std::uint8_t> frame);
    std::optional<std::vector<std::uint8_t>> takeFrame(NodeId node);
    /// Drops the frames queued for a peer.
    /// @return The number of dropped frames.
    std::size_t dropFrames(NodeId node);
    /// @return The peers with queued frames.
    std::vector<NodeId> nodesWithQueuedFrames() const;

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

    /// Maximum peers in the table if peers are accepted by address.
    static constexpr std::size_t maxPeers = 8'192;

    /// @return The peer, added first if peers are accepted by address; null if it is not listed or the table is full.
    Peer* findOrAddPeer(NodeId node) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable Mutex mutex;
    /// Port of the peers that are accepted by address. Zero if only listed peers are accepted.
    std::uint16_t addressPort ABSL_GUARDED_BY(mutex) {};
    absl::flat_hash_map<NodeId, Peer> peers ABSL_GUARDED_BY(mutex);
    std::deque<PeerMessage> loopback ABSL_GUARDED_BY(mutex);
};

}
