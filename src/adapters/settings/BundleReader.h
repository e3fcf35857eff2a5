#pragma once

#include "adapters/settings/StrictJson.h"
#include "teaselturn/Bundle.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselturn {

/// Reads the members of a bundle and resolves names of zones and regions to their ids.
/// @param path Path of the bundle in its document, for problems.
/// @return The bundle. Its values are valid only if no problem was added.
Bundle readBundleDocument(const nlohmann::json& document, const std::string& path, ProblemList& problems);

/// Reads an objective such as "99.9%".
/// @return Parts per million, or nothing if the text is not a percentage with one to three digits and up to four
/// decimals.
std::optional<std::uint32_t> parseObjective(std::string_view text);

/// Formats an objective in parts per million as a percentage without trailing zeros, which parseObjective() accepts.
std::string formatObjective(std::uint32_t perMillion);

/// Reads an operator's public key `{"name", "publicKey"}`, as in bundles and settings.
OperatorKey readOperatorKey(const nlohmann::json& element, const std::string& path, ProblemList& problems);

/// Reads the optional member `disk`: a non-zero disk identity in the format of formatDiskId().
/// @return The identity, or zero if the member is missing or malformed.
DiskId readDiskId(ObjectReader& reader);

/// Formats the identity as 16 hexadecimal digits, most significant first, as in `/status`.
std::string formatDiskId(DiskId disk);

/// Reads `{"address", "port"}` of another VM: a numeric IP address other than the unspecified address, and a port
/// other than 0.
/// @param name Member that holds the object.
Endpoint readPeerEndpoint(ObjectReader& reader, std::string_view name);

}
