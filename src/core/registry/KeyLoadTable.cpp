#include "core/registry/KeyLoadTable.h"

#include <cmath>

namespace teaselturn {

void KeyLoadTable::add(std::span<const KeyLoad> loads)
{
    for (const auto& load : loads) {
        if (load.first > load.last) {
            continue;
        }
        const auto share = static_cast<float>(load.requests) / static_cast<float>(load.last - load.first + 1);
        for (std::uint32_t key = load.first; key <= load.last; ++key) {
            this->requests[key] += share;
        }
    }
}

void KeyLoadTable::decay(Duration elapsed)
{
    const auto factor = std::exp(-std::chrono::duration<float> { elapsed } / std::chrono::duration<float> { decayTime });
    for (auto& value : this->requests) {
        value *= factor;
    }
}

}
