#pragma once

#include <cstdint>

namespace teaselturn {

/// @return Number of allocations by operator new in this program so far, over all threads.
std::uint64_t allocationCount() noexcept;

}
