#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace teaselturn {

/// Limits of the values in a bundle.
namespace limits {
    /// 2^53 - 1: JSON readers that use doubles represent integers exactly only up to this value.
    inline constexpr std::uint64_t maxBundleVersion = (std::uint64_t { 1 } << 53U) - 1;
    inline constexpr std::size_t maxNameBytes = 63;
    inline constexpr std::size_t maxRegions = 64;
    inline constexpr std::size_t maxZones = 256;
    inline constexpr std::size_t maxEntries = 4'096;
    /// Seven voting members, and two more that are joining to replace others.
    inline constexpr std::size_t maxMembers = 9;
    inline constexpr std::size_t maxServices = 1'024;
    inline constexpr std::size_t maxOperators = 64;
    /// The burn rate divides by the allowed share of bad requests, which would be zero for an objective of 100 %.
    inline constexpr std::uint32_t minObjectivePerMillion = 500'000;
    inline constexpr std::uint32_t maxObjectivePerMillion = 999'999;
    inline constexpr std::uint32_t maxMovesPerMinute = 100'000;
    inline constexpr std::uint32_t maxRetryBudgetPercent = 100;
}

/// Describes the names that isBundleName() accepts, for error messages.
inline constexpr std::string_view bundleNameRule = "1 to 63 lower-case letters, digits and hyphens, not beginning with a hyphen";

/// @return True if the text is a valid name of a region, zone, service or operator.
bool isBundleName(std::string_view name) noexcept;

/// Checks that a bundle is consistent: ids are unique, references resolve, and values are in range.
/// @return Success, or BundleInvalid with the path of the invalid element.
Status validateBundle(const Bundle& bundle);

/// Checks that the next bundle changes no immutable field, such as the number of a service's partitions.
/// @return Success, BundleInvalid with the path of the invalid element, or BundleOutdated if the version is not higher.
Status validateSuccessor(const Bundle& inForce, const Bundle& next);

/// Checks that elements with the same id in both bundles are the same: regions, zones and services keep their names, zones
/// their regions, nodes their zones, and services their number of partitions.
/// @return Success, or BundleInvalid with the path of the invalid element.
Status validateSameIds(const Bundle& inForce, const Bundle& next);

/// Checks the digest and the signatures of a bundle. Each signature must be valid and by one of the operators, no
/// operator may sign twice, and the number of signatures must reach the threshold.
/// @param operators The operators of the bundle in force, or of the settings before the first bundle.
/// @param threshold Number of operators that must have signed, at least 1.
/// @return Success, or BundleUnknownSigner, BundleSignatureInvalid or BundleTooFewSignatures with the signer or the
/// number of signatures.
template <SignatureVerifier Verifier>
Status verifySignatures(const Verifier& verifier, const SignedBundle& candidate, std::span<const OperatorKey> operators, std::uint32_t threshold);

}

#include "core/bundle/BundleRulesInlines.h"
