#pragma once

#include "teaselturn/Types.h"

namespace teaselturn {

/// Default disk identity of an initial member, written by `teaselturnd --create-ledger` if the settings contain none.
/// Any other new data folder gets a random identity, so a member that lost its disk cannot vote until it has been added
/// again. A random identity equals this one with negligible probability.
constexpr DiskId initialDiskId(NodeId node) noexcept
{
    return DiskId { node.value };
}

}
