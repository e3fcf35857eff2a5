#pragma once

#include <cstddef>

/// Limits of the load report in one renewal. With the fixed fields and the frame, a DelegationRequest of this size
/// takes about 1,000 bytes: it fits one datagram, and two a second leave a third of the 3 KB/s that a node may use for
/// control traffic.
namespace teaselturn::limits {
/// Maximum number of slots in one report, at 10 bytes each.
inline constexpr std::size_t maxReportedSlots = 48;
/// Maximum encoded size in bytes of the frequent keys in one report. Fits the longest key.
inline constexpr std::size_t maxReportedKeyBytes = 384;
/// Encoded size in bytes of a frequent key without the key itself.
inline constexpr std::size_t keySampleFixedBytes = 14;
}
