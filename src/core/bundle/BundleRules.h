#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Result.h"

#include <span>

namespace teaselturn {

/// Checks that a bundle is consistent in itself: ids are unique and refer to each other, values are in range.
/// @return BundleInvalid with the path of the offending member.
Status validateBundle(const Bundle& bundle);

/// Checks what may not change from the bundle in force to its successor, such as the number of a service's partitions.
Status validateSuccessor(const Bundle& inForce, const Bundle& next);

/// Checks digest, signatures and threshold against the operators who may sign.
/// @param operators The operators of the bundle in force, or those of the settings before the first bundle.
template <SignatureVerifier Verifier>
Status verifySignatures(const Verifier& verifier, const SignedBundle& candidate, std::span<const OperatorKey> operators, std::uint32_t threshold);

}
