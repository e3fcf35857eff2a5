#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace teaselturn {

/// Ranges of the values of a bundle.
namespace limits {
    /// Largest version; JSON readers elsewhere keep integers up to this value exact.
    inline constexpr std::uint64_t maxBundleVersion = (std::uint64_t { 1 } << 53U) - 1;
    inline constexpr std::size_t maxNameBytes = 63;
    inline constexpr std::size_t maxRegions = 64;
    inline constexpr std::size_t maxZones = 256;
    inline constexpr std::size_t maxEntries = 4'096;
    /// Seven members serve, and two more can be joining while they replace others.
    inline constexpr std::size_t maxMembers = 9;
    inline constexpr std::size_t maxServices = 1'024;
    inline constexpr std::size_t maxOperators = 64;
    /// An objective of 100 % leaves no share of bad requests to divide the burn rate by.
    inline constexpr std::uint32_t minObjectivePerMillion = 500'000;
    inline constexpr std::uint32_t maxObjectivePerMillion = 999'999;
    inline constexpr std::uint32_t maxMovesPerMinute = 100'000;
    inline constexpr std::uint32_t maxRetryBudgetPercent = 100;
}

/// Words for what isBundleName accepts, for messages.
inline constexpr std::string_view bundleNameRule = "1 to 63 lower-case letters, digits and hyphens, not beginning with a hyphen";

/// @return True for a name of a region, zone, service or operator.
bool isBundleName(std::string_view name) noexcept;

/// Checks that a bundle is consistent in itself: ids are unique and refer to each other, values are in range.
/// @return BundleInvalid with the path of the offending member.
Status validateBundle(const Bundle& bundle);

/// Checks what may not change from the bundle in force to its successor, such as the number of a service's partitions.
/// @return BundleInvalid with the path of the offending member; BundleOutdated where the version is not higher.
Status validateSuccessor(const Bundle& inForce, const Bundle& next);

/// Checks digest, signatures and threshold against the operators who may sign. Every signature must be valid and from
/// an operator of the list, and no operator may sign twice.
/// @param operators The operators of the bundle in force, or those of the settings before the first bundle.
/// @param threshold Number of operators that must have signed, at least 1.
/// @return BundleUnknownSigner, BundleSignatureInvalid or BundleTooFewSignatures with the signer or the numbers.
template <SignatureVerifier Verifier>
Status verifySignatures(const Verifier& verifier, const SignedBundle& candidate, std::span<const OperatorKey> operators, std::uint32_t threshold);

}

#include "core/bundle/BundleRulesInlines.h"
