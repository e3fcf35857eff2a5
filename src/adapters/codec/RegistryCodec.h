#pragma once

#include "adapters/codec/Codec.h"
#include "core/registry/RegistryService.h"

namespace teaselturn {

/// Binary encoding of registry snapshots. Models RegistryCodec.
struct BinaryRegistryCodec {
    std::vector<std::uint8_t> encode(const RegistrySnapshot& snapshot) const { return encodeRegistrySnapshot(snapshot); }
    Result<RegistrySnapshot> decode(std::span<const std::uint8_t> bytes) const { return decodeRegistrySnapshot(bytes); }
};

static_assert(RegistryCodec<BinaryRegistryCodec>);

}
