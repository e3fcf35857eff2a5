#pragma once

#include "adapters/codec/Codec.h"
#include "core/ledger/LedgerService.h"

namespace teaselturn {

/// Binary encoding of snapshots of the replicated state. Models SnapshotCodec.
struct OwnershipCodec {
    std::vector<std::uint8_t> encode(const OwnershipSnapshot& snapshot) const { return encodeOwnershipSnapshot(snapshot); }
    Result<OwnershipSnapshot> decode(std::span<const std::uint8_t> bytes) const { return decodeOwnershipSnapshot(bytes); }
};

static_assert(SnapshotCodec<OwnershipCodec>);

}
