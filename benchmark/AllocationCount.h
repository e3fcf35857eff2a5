#pragma once

#include <cstdint>

namespace teaselturn {

/// @return Number of allocations by operator new in all threads since the program started.
std::uint64_t allocationCount() noexcept;

}
