#pragma once

#include <cstdint>

namespace teaselturn {

/// Load that an upstream states in a response.
struct ReportedLoad {
    std::uint32_t running {};
    std::uint32_t waiting {};
    std::uint32_t slots {};
    /// How long work takes on the upstream's machine at the moment, in percent of the usual time.
    std::uint32_t workTimePercent { 100 };

    friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

}
