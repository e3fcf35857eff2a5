#pragma once

#include "adapters/settings/StrictJson.h"
#include "teaselturn/Bundle.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselturn {

/// Reads the members of a bundle. Names of zones and regions are resolved to their ids.
/// @param path Path of the bundle in its document, for problems.
/// @return The bundle, whose values count only where no problem was added.
Bundle readBundleDocument(const nlohmann::json& document, const std::string& path, ProblemList& problems);

/// Reads an objective such as "99.9%".
/// @return Parts per million, or nothing where the text is not a percentage with up to four decimals.
std::optional<std::uint32_t> parseObjective(std::string_view text);

/// @return The objective as parseObjective reads it, with no more decimals than needed.
std::string formatObjective(std::uint32_t perMillion);

/// Reads an operator's public key `{"name", "publicKey"}`, as in bundles and settings.
OperatorKey readOperatorKey(const nlohmann::json& element, const std::string& path, ProblemList& problems);

/// Reads the optional member `disk`: a disk identity as formatDiskId writes it, and not zero.
/// @return Zero where the member is missing.
DiskId readDiskId(ObjectReader& reader);

/// @return The identity as 16 hexadecimal digits, most significant first, as `/status` shows it.
std::string formatDiskId(DiskId disk);

/// Reads `{"address", "port"}` of another VM: an IP number that names one host, and a port other than 0.
/// @param name Member that holds the object.
Endpoint readPeerEndpoint(ObjectReader& reader, std::string_view name);

}
