#pragma once

#include <cstddef>
#include <cstdint>

/// Limits for the ledger's queues, messages and retained entries.
namespace teaselturn::limits {
/// Maximum estimated bytes of entries in one AppendRequest. A larger entry is sent in a request of its own.
inline constexpr std::size_t maxAppendBytes = 64 * 1024;
/// Maximum unacknowledged AppendRequests with entries per peer.
inline constexpr std::size_t maxAppendsInFlight = 16;
/// Size of a snapshot chunk in a transfer, in bytes.
inline constexpr std::size_t snapshotChunkBytes = 256 * 1024;
/// Maximum size of a snapshot that a member accepts, in bytes. 1,048,576 slots and 65,536 upstreams encode to about
/// 50 MiB.
inline constexpr std::uint64_t maxSnapshotBytes = 256ULL * 1024 * 1024;
/// Maximum uncommitted entries in the leader's log.
inline constexpr std::uint64_t maxUncommittedEntries = 4'096;
/// Maximum estimated bytes of uncommitted entries in the leader's log.
inline constexpr std::size_t maxUncommittedBytes = 16 * 1024 * 1024;
/// Entries retained in memory below the newest snapshot, so that a peer that lags slightly needs no snapshot.
inline constexpr std::uint64_t maxRetainedEntries = 1'024;
/// Maximum estimated bytes of these retained entries.
inline constexpr std::size_t maxRetainedBytes = 8 * 1024 * 1024;
/// Maximum number of ledger members, including learners.
inline constexpr std::size_t maxConfiguredMembers = 16;
/// Heartbeat rounds whose start time is stored. At 100 ms each they cover more than twice the longest election timeout.
inline constexpr std::size_t maxRoundsRetained = 32;
}
