#pragma once

#include "teaselturn/Types.h"

namespace teaselturn {

/// Identity of a disk that a new ledger begins with, where the settings state none: `teaselturnd --create-ledger` writes
/// it. A folder that is
/// created otherwise has a random identity, so a member that lost its disk has no vote until the ledger admits it.
/// @return A number that randomDiskId() practically never gives.
constexpr DiskId initialDiskId(NodeId node) noexcept
{
    return DiskId { node.value };
}

}
