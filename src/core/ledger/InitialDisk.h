#pragma once

#include "teaselturn/Types.h"

namespace teaselturn {

/// Returns the disk identity of an initial member if the settings state none; `teaselturnd --create-ledger` writes it.
/// Any other new data folder has a random identity, so a member that lost its disk has no vote until the ledger admits
/// it. randomDiskId() returns this value with negligible probability only.
constexpr DiskId initialDiskId(NodeId node) noexcept
{
    return DiskId { node.value };
}

}
