#pragma once

#include <cstddef>
#include <cstdint>

/// Bounds of the ledger's queues, messages and retained data.
namespace teaselturn::limits {
/// Most bytes of entries in one AppendRequest, estimated; a single larger entry goes alone.
inline constexpr std::size_t maxAppendBytes = 64 * 1024;
/// Most AppendRequests with entries to one peer that are not yet acknowledged.
inline constexpr std::size_t maxAppendsInFlight = 16;
/// Bytes of one part of a snapshot in transfer.
inline constexpr std::size_t snapshotChunkBytes = 256 * 1024;
/// Largest snapshot that a member accepts; 1,048,576 slots and 65,536 upstreams encode to about 50 MiB.
inline constexpr std::uint64_t maxSnapshotBytes = 256ULL * 1024 * 1024;
/// Most entries that the leader has appended and not yet committed.
inline constexpr std::uint64_t maxUncommittedEntries = 4'096;
/// Most bytes of such entries, estimated.
inline constexpr std::size_t maxUncommittedBytes = 16 * 1024 * 1024;
/// Entries kept in memory below the newest snapshot, so that a slightly late peer needs no snapshot.
inline constexpr std::uint64_t maxRetainedEntries = 1'024;
/// Most bytes of these entries, estimated.
inline constexpr std::size_t maxRetainedBytes = 8 * 1024 * 1024;
/// Most ledger members, learners included.
inline constexpr std::size_t maxConfiguredMembers = 16;
/// Heartbeat rounds whose start is remembered; at 100 ms each they cover more than twice the longest election timeout.
inline constexpr std::size_t maxRoundsRemembered = 32;
}
