#pragma once

#include "core/ownership/OwnershipState.h"
#include "teaselturn/Bundle.h"

#include <cstdint>
#include <vector>

namespace teaselturn {

/// Makes the check that every replica applies to an offered bundle: the canonical bytes are read again and must give
/// the digest and the bundle offered with them; then signatures, threshold and the rules of a successor are checked.
/// Its answer depends on its arguments and on the operators given here only, so these must be equal on every VM.
/// @param trustedOperators Operators who may sign the first bundle.
/// @param threshold Number of them that must sign it.
BundleCheck makeBundleCheck(std::vector<OperatorKey> trustedOperators, std::uint32_t threshold);

}
