#pragma once

#include <cstddef>

/// What one renewal reports of an entry VM's load. With the fixed fields and the frame, a DelegationRequest of these
/// bounds takes about 1,000 bytes: it goes as one datagram, and two a second leave a third of the 3 KB/s that a node may
/// spend on control.
namespace teaselturn::limits {
/// Most slots in one report, of 10 bytes each.
inline constexpr std::size_t maxReportedSlots = 48;
/// Most bytes of frequent keys in one report, as they are encoded. Room for the longest key.
inline constexpr std::size_t maxReportedKeyBytes = 384;
/// Bytes of a frequent key besides the key itself.
inline constexpr std::size_t keySampleFixedBytes = 14;
}
