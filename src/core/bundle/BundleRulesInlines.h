#pragma once

#include "core/bundle/BundleRules.h"

#include <algorithm>
#include <string>

namespace teaselturn {

template <SignatureVerifier Verifier>
Status verifySignatures(const Verifier& verifier, const SignedBundle& candidate, std::span<const OperatorKey> operators, std::uint32_t threshold)
{
    if (verifier.digest(candidate.canonicalBytes) != candidate.digest) {
        return { ResultCode::BundleSignatureInvalid, "the digest does not belong to the bundle" };
    }
    for (std::size_t i = 0; i < candidate.signatures.size(); ++i) {
        const auto& [signer, signature] = candidate.signatures[i];
        const auto key = std::ranges::find(operators, signer, &OperatorKey::name);
        if (key == operators.end()) {
            return { ResultCode::BundleUnknownSigner, "signatures[" + std::to_string(i) + "]: " + signer };
        }
        const auto earlier = std::span { candidate.signatures }.first(i);
        if (std::ranges::find(earlier, signer, &BundleSignature::signer) != earlier.end()) {
            return { ResultCode::BundleSignatureInvalid, "signatures[" + std::to_string(i) + "]: " + signer + " signed twice" };
        }
        if (!verifier.verify(key->publicKey, candidate.canonicalBytes, signature)) {
            return { ResultCode::BundleSignatureInvalid, "signatures[" + std::to_string(i) + "]: " + signer };
        }
    }
    const auto needed = std::max<std::size_t>(threshold, 1);
    if (candidate.signatures.size() < needed) {
        return { ResultCode::BundleTooFewSignatures, std::to_string(candidate.signatures.size()) + " of " + std::to_string(needed) };
    }
    return success();
}

}
