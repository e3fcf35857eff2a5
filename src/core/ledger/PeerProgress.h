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

/// How the leader sends to a peer.
enum class ReplicationMode : std::uint8_t {
    /// Looks for the last matching entry with one empty message at a time.
    Probe,
    /// Sends entries ahead of acknowledgements.
    Replicate,
    /// Transfers a snapshot; heartbeats carry no entries.
    Snapshot,
};

/// What the leader knows of one other member.
struct PeerProgress {
    NodeId node;
    DiskId disk;
    ReplicationMode mode { ReplicationMode::Probe };
    /// Highest index that the peer has synced and that matches the leader's log.
    LogIndex matchIndex;
    LogIndex nextIndex;
    /// Last indexes of the AppendRequests with entries that are not yet acknowledged.
    std::deque<LogIndex> inFlight;
    bool isHeartbeatDue {};
    bool isProbeOutstanding {};
    /// Start of the latest heartbeat round that the peer has answered.
    Instant confirmedAt { Instant::min() };
    /// The snapshot in transfer. It stays alive here even when the leader has a newer one.
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

    /// Takes an acknowledgement up to an index.
    void matched(LogIndex index)
    {
        this->matchIndex = std::max(this->matchIndex, index);
        this->nextIndex = std::max(this->nextIndex, LogIndex { this->matchIndex.value + 1 });
        while (!this->inFlight.empty() && this->inFlight.front() <= this->matchIndex) {
            this->inFlight.pop_front();
        }
    }
};

}
