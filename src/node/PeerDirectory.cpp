#include "node/PeerDirectory.h"

#include <algorithm>

namespace teaselturn {

Status PeerDirectory::setInitialPeers()
{
    return this->setPeers(this->list(nullptr));
}

void PeerDirectory::update(const OwnershipState& state)
{
    const auto* accepted = state.acceptedBundle();
    if (accepted == nullptr) {
        return;
    }
    const auto& bundle = accepted->bundle;
    const MutexLock lock { this->mutex };
    // An accepted bundle contains only numeric IP addresses, so setPeers accepts the list.
    if (this->latestVersion <= bundle.version && this->setPeers(this->list(&bundle))) {
        this->latestVersion = bundle.version;
    }
}

std::vector<PeerAddress> PeerDirectory::list(const Bundle* bundle) const
{
    std::vector<PeerAddress> peers;
    const auto add = [&peers](NodeId node, const Endpoint& endpoint) {
        if (std::ranges::find(peers, node, &PeerAddress::node) == peers.end()) {
            peers.push_back({ node, endpoint });
        }
    };
    if (bundle != nullptr) {
        peers.reserve(bundle->entries.size() + bundle->members.size());
        for (const auto* nodes : { &bundle->members, &bundle->entries }) {
            for (const auto& node : *nodes) {
                add(node.id, node.peer);
            }
        }
    }
    for (const auto& member : this->bootstrap.members) {
        add(member.node, member.peer);
    }
    return peers;
}

}
