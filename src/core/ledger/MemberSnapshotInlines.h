#pragma once

#include "core/ledger/LedgerLimits.h"
#include "core/ledger/Member.h"

#include <algorithm>
#include <utility>

/// Member: log compaction, snapshot transfer and snapshot installation.
namespace teaselturn {

template <RandomSource Random>
void Member<Random>::compacted(const LedgerSnapshot& snapshot)
{
    if (snapshot.lastIndex > this->committed || (this->snapshot && snapshot.lastIndex <= this->snapshot->lastIndex)) {
        return;
    }
    auto stored = std::make_shared<LedgerSnapshot>(snapshot);
    if (stored->members.empty()) {
        const auto members = this->configuration.at(snapshot.lastIndex);
        stored->members.assign(members.begin(), members.end());
    }
    this->snapshot = std::move(stored);
    auto through = snapshot.lastIndex;
    for (const auto& progress : this->peers) {
        // A peer that is receiving an earlier snapshot still needs the entries after that snapshot.
        if (progress.mode == ReplicationMode::Snapshot && progress.snapshot && progress.confirmedAt + this->timing.electionMaximum > this->now) {
            through = std::min(through, progress.snapshot->lastIndex);
        }
    }
    this->log.compactThrough(through);
    this->configuration.compactThrough(this->log.base());
}

template <RandomSource Random>
void Member<Random>::sendSnapshot(PeerProgress& progress)
{
    if (!progress.snapshot) {
        progress.snapshot = this->snapshot;
        progress.snapshotOffset = 0;
        progress.isChunkOutstanding = false;
    }
    if (!progress.snapshot || progress.isChunkOutstanding) {
        return;
    }
    const auto& source = *progress.snapshot;
    SnapshotChunk chunk { this->hardState.term, source.lastIndex, source.lastTerm, progress.snapshotOffset, source.bytes.size(), {}, source.members };
    const auto begin = source.bytes.begin() + static_cast<std::ptrdiff_t>(progress.snapshotOffset);
    const auto length = std::min<std::uint64_t>(limits::snapshotChunkBytes, source.bytes.size() - progress.snapshotOffset);
    chunk.bytes.assign(begin, begin + static_cast<std::ptrdiff_t>(length));
    progress.isChunkOutstanding = true;
    progress.chunkSentAt = this->now;
    this->send(progress.node, std::move(chunk));
}

template <RandomSource Random>
void Member<Random>::handle(NodeId from, const SnapshotChunk& chunk)
{
    if (chunk.term < this->hardState.term) {
        this->send(from, SnapshotReply { this->hardState.term, this->disk, chunk.lastIndex, 0 });
        return;
    }
    if (chunk.term > this->hardState.term) {
        this->adoptTerm(chunk.term);
    } else if (this->currentRole == MemberRole::Leader) {
        return;
    }
    this->followLeader(from);
    if (chunk.totalBytes > limits::maxSnapshotBytes) {
        return;
    }
    if (chunk.lastIndex <= this->committed) {
        // The log already holds everything in the snapshot. The reply waits until the log is synced up to that index.
        this->sendAfterPersist(from, SnapshotReply { this->hardState.term, this->disk, chunk.lastIndex, chunk.totalBytes });
        return;
    }
    // Two leaders' snapshots at the same index may differ in their bytes, so the term has to match as well.
    const auto isSameTransfer = this->incoming.term == chunk.term && this->incoming.lastIndex == chunk.lastIndex && this->incoming.totalBytes == chunk.totalBytes;
    if (!isSameTransfer) {
        this->incoming = { chunk.term, chunk.lastIndex, chunk.totalBytes, {} };
    }
    auto& bytes = this->incoming.bytes;
    if (chunk.offset == bytes.size() && chunk.bytes.size() <= chunk.totalBytes - chunk.offset) {
        bytes.insert(bytes.end(), chunk.bytes.begin(), chunk.bytes.end());
    }
    if (chunk.offset > bytes.size() || bytes.size() < chunk.totalBytes) {
        this->send(from, SnapshotReply { this->hardState.term, this->disk, chunk.lastIndex, bytes.size() });
        return;
    }
    this->install(chunk);
    this->sendAfterPersist(from, SnapshotReply { this->hardState.term, this->disk, chunk.lastIndex, chunk.totalBytes });
}

template <RandomSource Random>
void Member<Random>::install(const SnapshotChunk& chunk)
{
    LedgerSnapshot received { chunk.lastIndex, chunk.lastTerm, chunk.members, std::move(this->incoming.bytes) };
    this->incoming = {};
    if (this->log.termAt(received.lastIndex) == received.lastTerm) {
        this->log.compactThrough(received.lastIndex);
        this->configuration.compactThrough(this->log.base());
    } else {
        // The log conflicts with the snapshot or ends before it.
        if (this->log.lastIndex() > received.lastIndex) {
            this->truncateLog(LogIndex { received.lastIndex.value + 1 });
        }
        this->log.reset(received.lastIndex, received.lastTerm);
        this->configuration = Configuration { received.lastIndex, received.members };
        // persisted() sets the index again once the snapshot is on disk.
        this->durableIndex = {};
    }
    auto& appends = this->pending.append;
    appends.erase(std::remove_if(appends.begin(), appends.end(), [&received](const auto& entry) { return entry.index <= received.lastIndex; }), appends.end());
    this->committed = this->deliveredIndex = received.lastIndex;
    this->snapshot = std::make_shared<const LedgerSnapshot>(received);
    this->pending.install = std::move(received);
}

template <RandomSource Random>
void Member<Random>::handle(NodeId from, const SnapshotReply& reply)
{
    if (reply.term > this->hardState.term) {
        this->adoptTerm(reply.term);
        return;
    }
    if (this->currentRole != MemberRole::Leader || reply.term < this->hardState.term) {
        return;
    }
    auto* progress = this->findPeer(from, reply.disk);
    if (!progress || progress->mode != ReplicationMode::Snapshot || !progress->snapshot || progress->snapshot->lastIndex != reply.lastIndex) {
        return;
    }
    if (reply.nextOffset >= progress->snapshot->bytes.size()) {
        progress->recordMatch(reply.lastIndex);
        progress->probeFrom(LogIndex { progress->matchIndex.value + 1 });
        this->advanceCommit();
        return;
    }
    // A duplicate reply requests the offset that was already sent.
    if (reply.nextOffset != progress->snapshotOffset) {
        progress->snapshotOffset = reply.nextOffset;
        progress->isChunkOutstanding = false;
    }
}

}
