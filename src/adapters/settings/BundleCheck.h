#pragma once

#include "core/ownership/OwnershipState.h"
#include "teaselturn/Bundle.h"

#include <cstdint>
#include <vector>

namespace teaselturn {

/// Returns the check that every replica applies to a submitted bundle. It parses the canonical bytes again and requires
/// the submitted bundle to equal the result. Then it verifies the digest, the signatures and the threshold, and, if a
/// bundle is in force, the rules for a successor. The result depends only on the check's arguments and on the operators
/// and threshold given here, so these must be equal on every VM.
/// @param trustedOperators Operators who may sign the first bundle.
/// @param threshold Number of trusted operators that must sign the first bundle.
BundleCheck makeBundleCheck(std::vector<OperatorKey> trustedOperators, std::uint32_t threshold);

}
