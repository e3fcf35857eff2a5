#pragma once

#include "adapters/codec/RegistryCodec.h"
#include "core/registry/RegistryService.h"
#include "core/support/SeededRandom.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace teaselturn::support {

/// Registry members that exchange messages in memory, without delay or loss. A member that is frozen or down neither
/// sends nor receives. Writes are durable at once.
class RegistryCluster {
public:
    using Service = RegistryService<SeededRandom, BinaryRegistryCodec>;

    /// The nodes 1 to 3 are the initial members and the seeds of all members; the others join.
    explicit RegistryCluster(std::uint32_t size)
    {
        for (std::uint32_t node = 1; node <= size; ++node) {
            this->add(NodeId { node }, DiskId { node });
        }
    }

    /// Starts a member with an empty disk.
    void add(NodeId node, DiskId disk)
    {
        auto& added = this->nodes[node];
        added = Node {};
        added.disk.node = node;
        added.disk.disk = disk;
        if (disk.value <= initialMembers) {
            for (std::uint32_t member = 1; member <= initialMembers; ++member) {
                added.disk.initialMembers.push_back({ NodeId { member }, DiskId { member }, true });
            }
        }
        this->start(node);
    }

    void setFrozen(NodeId node, bool isFrozen) { this->nodes.at(node).isFrozen = isFrozen; }
    void end(NodeId node) { this->nodes.at(node).service.reset(); }
    /// Starts a member from what its disk holds.
    void start(NodeId node)
    {
        auto& started = this->nodes.at(node);
        const std::vector<NodeId> seeds { NodeId { 1 }, NodeId { 2 }, NodeId { 3 } };
        started.service = std::make_unique<Service>(started.disk, seeds, SeededRandom { node.value }, BinaryRegistryCodec {}, this->now);
    }

    void advance(std::chrono::milliseconds time)
    {
        for (const auto end = this->now + time; this->now < end;) {
            this->now += std::chrono::milliseconds { 25 };
            for (auto& [id, node] : this->nodes) {
                if (node.isRunning()) {
                    node.service->tick(this->now);
                }
            }
            this->exchangeMessages();
        }
    }

    Service& service(NodeId node) { return *this->nodes.at(node).service; }

    /// @return The member that serves reads and changes, or zero.
    NodeId leader()
    {
        for (auto& [id, node] : this->nodes) {
            if (node.isRunning() && !node.service->redirectForRead(this->now)) {
                return id;
            }
        }
        return {};
    }

    /// @return The members that the leader's configuration lists; empty without a leader.
    std::vector<MemberSpec> members()
    {
        const auto node = this->leader();
        if (node == NodeId {}) {
            return {};
        }
        const auto specs = this->service(node).ledgerMember().members();
        return { specs.begin(), specs.end() };
    }

    /// @return True if the leader's configuration lists the node as a voter.
    bool isVoter(NodeId node)
    {
        return std::ranges::any_of(this->members(), [node](const MemberSpec& spec) { return spec.node == node && spec.voter; });
    }

    Instant now { std::chrono::seconds { 50 } };
    /// Messages that members have sent, including those to members that are frozen or down.
    std::vector<std::pair<NodeId, OutboundMessage>> sent;

private:
    static constexpr std::uint32_t initialMembers = 3;

    struct Node {
        MemberState disk;
        std::unique_ptr<Service> service;
        bool isFrozen {};

        bool isRunning() const noexcept { return this->service != nullptr && !this->isFrozen; }
    };

    static void write(MemberState& disk, const MemberEffects& effects)
    {
        disk.hardState = effects.hardState.value_or(disk.hardState);
        if (effects.truncateFrom) {
            std::erase_if(disk.entries, [&effects](const LogEntry& entry) { return entry.index >= *effects.truncateFrom; });
        }
        if (effects.install) {
            disk.snapshot = effects.install;
            disk.entries.clear();
        }
        disk.entries.insert(disk.entries.end(), effects.append.begin(), effects.append.end());
    }

    void exchangeMessages()
    {
        bool isActive = true;
        while (isActive) {
            isActive = false;
            std::vector<std::pair<NodeId, OutboundMessage>> messages;
            for (auto& [id, node] : this->nodes) {
                if (!node.isRunning()) {
                    continue;
                }
                auto effects = node.service->takeEffects(this->now);
                if (effects.storage.needsWrite()) {
                    write(node.disk, effects.storage);
                    node.service->persisted(this->now);
                    isActive = true;
                }
                for (auto* part : { &effects.immediate, &effects.afterPersist }) {
                    for (auto& message : *part) {
                        messages.emplace_back(id, std::move(message));
                    }
                }
            }
            for (auto& [from, message] : messages) {
                isActive = true;
                const auto receiver = this->nodes.find(message.to);
                if (receiver != this->nodes.end() && receiver->second.isRunning()) {
                    receiver->second.service->receive(this->now, from, message.message);
                }
                this->sent.emplace_back(from, std::move(message));
            }
        }
    }

    std::map<NodeId, Node> nodes;
};

}
