#pragma once

#include "core/registry/RegistryService.h"
#include "core/registry/RegistryState.h"
#include "teaselturn/Message.h"

#include <optional>
#include <vector>

namespace teaselturn {

/// An entry VM's copy of the registry: asks members for what was committed, one after the other where one does not
/// answer. What it has applied it never takes back. It does no I/O. Not thread-safe.
/// @tparam Codec Encoding of snapshots.
template <RegistryCodec Codec>
class RegistryReplica {
public:
    /// @param seeds Members to begin with; the members that the log names come in as they are learned.
    RegistryReplica(std::vector<NodeId> seeds, Codec codec)
        : seeds(std::move(seeds))
        , codec(std::move(codec))
    {
    }

    /// @return A request to send now, or nothing while one is out.
    std::optional<OutboundMessage> nextRequest(Instant now);

    /// Takes an answer.
    /// @return True where the state changed.
    Result<bool> take(Instant now, NodeId from, const FeedReply& reply);

    /// Replaces the members to fall back to, after the settings changed.
    void setSeeds(std::vector<NodeId> newSeeds) { this->seeds = std::move(newSeeds); }

    const RegistryState& state() const noexcept { return this->registry; }
    /// @return The member that answers at the moment, or zero.
    NodeId source() const noexcept { return this->isAnswering ? this->asked : NodeId {}; }
    /// @return True once an answer showed that this copy is complete.
    bool isComplete() const noexcept { return this->hasCaughtUp; }
    /// @return Time of the last answer.
    Instant answeredAt() const noexcept { return this->lastAnswer; }

    /// A member holds a request open for 700 ms; a reply that has not come after this is lost.
    static constexpr std::chrono::milliseconds patience { 1'000 };
    /// Patience with a member that was not heard yet.
    static constexpr std::chrono::milliseconds firstPatience { 300 };

private:
    std::vector<NodeId> candidates() const;
    void askNext();

    std::vector<NodeId> seeds;
    Codec codec;
    RegistryState registry;
    NodeId asked;
    std::size_t turn {};
    std::uint64_t sequence {};
    Instant askedAt;
    Instant lastAnswer;
    bool isOut {};
    bool isAnswering {};
    bool hasCaughtUp {};
    LogIndex snapshotIndex;
    std::vector<std::uint8_t> snapshotBytes;
};

template <RegistryCodec Codec>
std::vector<NodeId> RegistryReplica<Codec>::candidates() const
{
    std::vector<NodeId> nodes;
    for (const auto& member : this->registry.members()) {
        nodes.push_back(member.node);
    }
    for (const auto seed : this->seeds) {
        if (std::ranges::find(nodes, seed) == nodes.end()) {
            nodes.push_back(seed);
        }
    }
    return nodes;
}

template <RegistryCodec Codec>
void RegistryReplica<Codec>::askNext()
{
    const auto nodes = this->candidates();
    if (nodes.empty()) {
        return;
    }
    this->isAnswering = false;
    this->snapshotIndex = {};
    this->snapshotBytes.clear();
    this->asked = nodes[++this->turn % nodes.size()];
}

template <RegistryCodec Codec>
std::optional<OutboundMessage> RegistryReplica<Codec>::nextRequest(Instant now)
{
    if (this->isOut && now - this->askedAt < (this->isAnswering ? patience : firstPatience)) {
        return std::nullopt;
    }
    if (this->isOut || this->asked == NodeId {}) {
        this->askNext();
    }
    if (this->asked == NodeId {}) {
        return std::nullopt;
    }
    this->isOut = true;
    this->askedAt = now;
    return OutboundMessage { this->asked, FeedRequest { ++this->sequence, this->registry.appliedIndex(), this->snapshotIndex, this->snapshotBytes.size() } };
}

template <RegistryCodec Codec>
Result<bool> RegistryReplica<Codec>::take(Instant now, NodeId from, const FeedReply& reply)
{
    if (from != this->asked || reply.sequence != this->sequence) {
        return false;
    }
    this->isOut = false;
    this->isAnswering = true;
    this->lastAnswer = now;
    const auto before = this->registry.appliedIndex();
    if (reply.snapshotTotalBytes > 0) {
        if (reply.snapshotOffset == 0) {
            this->snapshotBytes.clear();
        }
        if (reply.snapshotOffset != this->snapshotBytes.size()) {
            return false;
        }
        this->snapshotIndex = reply.snapshotIndex;
        this->snapshotBytes.insert(this->snapshotBytes.end(), reply.snapshotBytes.begin(), reply.snapshotBytes.end());
        if (this->snapshotBytes.size() < reply.snapshotTotalBytes) {
            return false;
        }
        auto decoded = this->codec.decode(this->snapshotBytes);
        this->snapshotIndex = {};
        this->snapshotBytes.clear();
        if (!decoded) {
            return decoded.failure();
        }
        if (decoded->appliedIndex > before) {
            this->registry.restore(std::move(*decoded));
        }
    }
    for (const auto& entry : reply.entries) {
        if (entry.index.value == this->registry.appliedIndex().value + 1) {
            static_cast<void>(this->registry.apply(entry.index, entry.command));
        }
    }
    this->hasCaughtUp = this->hasCaughtUp || this->registry.appliedIndex() >= reply.lastIndex;
    return this->registry.appliedIndex() != before;
}

}
