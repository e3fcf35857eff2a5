#pragma once

#include "teaselturn/Types.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

namespace teaselturn {

struct LedgerSnapshot;

/// How the leader replicates to a peer.
enum class ReplicationMode : std::uint8_t {
    /// Searches for the last matching entry with one empty AppendRequest at a time.
    Probe,
    /// Pipelines entries without waiting for acknowledgements.
    Replicate,
    /// Transfers a snapshot; heartbeats carry no entries.
    Snapshot,
};

/// Replication progress of a peer, kept by the leader.
struct PeerProgress {
    NodeId node;
    DiskId disk;
    ReplicationMode mode { ReplicationMode::Probe };
    /// Highest index that the peer has synced and that matches the leader's log.
    LogIndex matchIndex;
    LogIndex nextIndex;
    /// Last index of each AppendRequest with entries that is not yet acknowledged.
    std::deque<LogIndex> inFlight;
    bool isHeartbeatDue {};
    bool isProbeOutstanding {};
    /// Start of the latest heartbeat round that the peer has replied to.
    Instant confirmedAt { Instant::min() };
    /// Snapshot being transferred. The pointer keeps it alive after the leader has taken a newer one.
    std::shared_ptr<const LedgerSnapshot> snapshot;
    std::uint64_t snapshotOffset {};
    bool isChunkOutstanding {};
    Instant chunkSentAt { Instant::min() };

    void probeFrom(LogIndex next)
    {
        this->mode = ReplicationMode::Probe;
        this->nextIndex = next;
        this->inFlight.clear();
        this->isProbeOutstanding = false;
        this->snapshot.reset();
    }

    /// Records that the peer's log matches up to index.
    void recordMatch(LogIndex index)
    {
        this->matchIndex = std::max(this->matchIndex, index);
        this->nextIndex = std::max(this->nextIndex, LogIndex { this->matchIndex.value + 1 });
        while (!this->inFlight.empty() && this->inFlight.front() <= this->matchIndex) {
            this->inFlight.pop_front();
        }
    }
};

}
