#pragma once

#include "core/ledger/Member.h"
#include "teaselturn/Command.h"
#include "teaselturn/Message.h"
#include "teaselturn/OwnershipTypes.h"
#include "teaselturn/Result.h"

#include <cstdint>
#include <span>
#include <vector>

/// Binary encoding, by cereal, of messages between processes and of stored records.
namespace teaselturn {

std::vector<std::uint8_t> encodeMessage(const PeerMessage& message);
/// @return The message, or MessageMalformed. Bytes after the message are malformed too.
Result<PeerMessage> decodeMessage(std::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> encodeLogEntry(const LogEntry& entry);
Result<LogEntry> decodeLogEntry(std::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> encodeHardState(const HardState& state);
Result<HardState> decodeHardState(std::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> encodeOwnershipSnapshot(const OwnershipSnapshot& snapshot);
/// @return The snapshot, or SnapshotCorrupt.
Result<OwnershipSnapshot> decodeOwnershipSnapshot(std::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> encodeRegistrySnapshot(const RegistrySnapshot& snapshot);
/// @return The snapshot, or SnapshotCorrupt.
Result<RegistrySnapshot> decodeRegistrySnapshot(std::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> encodeLedgerSnapshot(const LedgerSnapshot& snapshot);
Result<LedgerSnapshot> decodeLedgerSnapshot(std::span<const std::uint8_t> bytes);

}
