#include "adapters/settings/BundleCheck.h"

#include "adapters/crypto/Ed25519.h"
#include "adapters/settings/BundleJson.h"
#include "core/bundle/BundleRules.h"

#include <utility>

namespace teaselturn {

namespace {

    /// Checks that the parsed bundle equals the one in the canonical bytes, which are what the operators signed.
    Status checkCanonicalBytes(const SignedBundle& candidate)
    {
        const auto parsed = parseCanonicalBundle(candidate.canonicalBytes);
        if (!parsed) {
            return parsed.failure();
        }
        if (*parsed != candidate.bundle) {
            return { ResultCode::BundleInvalid, "the bundle differs from its signed bytes" };
        }
        return success();
    }

}

BundleCheck makeBundleCheck(std::vector<OperatorKey> trustedOperators, std::uint32_t threshold)
{
    return [trusted = std::move(trustedOperators), threshold](const SignedBundle& candidate, const Bundle* inForce) -> Status {
        if (auto status = checkCanonicalBytes(candidate); !status) {
            return status;
        }
        if (auto status = verifySignatures(OpenSslVerifier {}, candidate, inForce ? inForce->operators : trusted, inForce ? inForce->threshold : threshold); !status) {
            return status;
        }
        return inForce ? validateSuccessor(*inForce, candidate.bundle) : success();
    };
}

}
