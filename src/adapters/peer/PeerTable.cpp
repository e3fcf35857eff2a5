#include "adapters/peer/PeerTable.h"

#include <arpa/inet.h>
#include <utility>

namespace teaselturn {

std::optional<NodeId> nodeAtAddress(std::string_view address)
{
    in_addr parsed {};
    if (inet_pton(AF_INET, std::string { address }.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    return NodeId { ntohl(parsed.s_addr) };
}

std::string addressOfNode(NodeId node)
{
    const in_addr address { htonl(node.value) };
    char text[INET_ADDRSTRLEN] {};
    return inet_ntop(AF_INET, &address, text, sizeof text);
}

void PeerTable::acceptByAddress(std::uint16_t port)
{
    const MutexLock lock { this->mutex };
    this->addressPort = port;
}

Status PeerTable::replace(std::span<const PeerAddress> addresses)
{
    std::vector<std::pair<NodeId, SocketAddress>> parsed;
    parsed.reserve(addresses.size());
    for (const auto& peer : addresses) {
        const auto address = toSocketAddress(peer.endpoint);
        if (!address) {
            return address.failure();
        }
        parsed.emplace_back(peer.node, *address);
    }
    const MutexLock lock { this->mutex };
    for (auto& [node, peer] : this->peers) {
        peer.isListed = false;
    }
    for (const auto& [node, address] : parsed) {
        auto& peer = this->peers[node];
        peer.address = address;
        peer.isListed = true;
    }
    return success();
}

PeerTable::Peer* PeerTable::findOrAddPeer(NodeId node)
{
    const auto found = this->peers.find(node);
    if (found != this->peers.end()) {
        return found->second.isListed ? &found->second : nullptr;
    }
    if (this->addressPort == 0 || node == NodeId {} || this->peers.size() >= maxPeers) {
        return nullptr;
    }
    const auto address = toSocketAddress({ addressOfNode(node), this->addressPort });
    if (!address) {
        return nullptr;
    }
    auto& peer = this->peers[node];
    peer.address = *address;
    peer.isListed = true;
    return &peer;
}

bool PeerTable::contains(NodeId node) const
{
    const MutexLock lock { this->mutex };
    const auto found = this->peers.find(node);
    return found != this->peers.end() ? found->second.isListed : this->addressPort != 0;
}

std::optional<SocketAddress> PeerTable::addressOf(NodeId node)
{
    const MutexLock lock { this->mutex };
    const auto* peer = this->findOrAddPeer(node);
    return peer == nullptr ? std::nullopt : std::optional { peer->address };
}

std::optional<PeerTable::Target> PeerTable::nextDatagram(NodeId node)
{
    const MutexLock lock { this->mutex };
    auto* peer = this->findOrAddPeer(node);
    if (peer == nullptr) {
        return std::nullopt;
    }
    return Target { peer->address, ++peer->datagramSequence };
}

std::optional<std::uint64_t> PeerTable::nextStreamSequence(NodeId node)
{
    const MutexLock lock { this->mutex };
    auto* peer = this->findOrAddPeer(node);
    if (peer == nullptr) {
        return std::nullopt;
    }
    return ++peer->streamSequence;
}

bool PeerTable::queueFrame(NodeId node, std::vector<std::uint8_t> frame)
{
    const MutexLock lock { this->mutex };
    auto* peer = this->findOrAddPeer(node);
    if (peer == nullptr || peer->queuedBytes + frame.size() > maxQueuedBytes) {
        return false;
    }
    peer->queuedBytes += frame.size();
    peer->queue.push_back(std::move(frame));
    return true;
}

std::optional<std::vector<std::uint8_t>> PeerTable::takeFrame(NodeId node)
{
    const MutexLock lock { this->mutex };
    const auto found = this->peers.find(node);
    if (found == this->peers.end() || found->second.queue.empty()) {
        return std::nullopt;
    }
    auto& peer = found->second;
    auto frame = std::move(peer.queue.front());
    peer.queue.pop_front();
    peer.queuedBytes -= frame.size();
    return frame;
}

std::size_t PeerTable::dropFrames(NodeId node)
{
    const MutexLock lock { this->mutex };
    const auto found = this->peers.find(node);
    if (found == this->peers.end()) {
        return 0;
    }
    found->second.queuedBytes = 0;
    return std::exchange(found->second.queue, {}).size();
}

std::vector<NodeId> PeerTable::nodesWithQueuedFrames() const
{
    const MutexLock lock { this->mutex };
    std::vector<NodeId> nodes;
    for (const auto& [node, peer] : this->peers) {
        if (!peer.queue.empty()) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

bool PeerTable::queueLoopback(PeerMessage message)
{
    const MutexLock lock { this->mutex };
    if (this->loopback.size() >= maxLoopbackMessages) {
        return false;
    }
    this->loopback.push_back(std::move(message));
    return true;
}

std::deque<PeerMessage> PeerTable::takeLoopback()
{
    const MutexLock lock { this->mutex };
    return std::exchange(this->loopback, {});
}

}
