#pragma once

#include "adapters/settings/Problem.h"
#include "teaselturn/Bundle.h"
#include "teaselturn/Result.h"

#include <string>
#include <string_view>

/// The JSON of bundles. docs/operations.md describes the members; docs/design.md section 4.7 the rules.
namespace teaselturn {

/// Reads a signed bundle `{"bundle": ..., "signatures": [...]}` as it is submitted. Checks the form and
/// validateBundle, but no signature. Comments are refused.
/// @return The bundle with canonical bytes and digest, or every problem found.
Checked<SignedBundle> readSignedBundle(std::string_view text);

/// Reads what operators write: a bundle without signatures, which may contain comments, or a signed bundle.
/// @return The bundle; it has no signatures where the text had none.
Checked<SignedBundle> readBundle(std::string_view text);

/// Reads the canonical bytes of a bundle.
/// @return The bundle, or BundleInvalid where the bytes are not the canonical form of what they say.
Result<Bundle> parseCanonicalBundle(std::string_view bytes);

/// As readSignedBundle, with the problems as one failure: BundleTooLarge, BundleSyntax or BundleInvalid.
Result<SignedBundle> parseSignedBundle(std::string_view text);

/// @return The canonical bytes of a bundle: compact JSON with sorted members, every member written but
/// disk identities that are not known.
/// Requires validateBundle(bundle).
std::string writeCanonicalBundle(const Bundle& bundle);

/// @return The signed form as one line of JSON.
std::string writeSignedBundle(const SignedBundle& bundle);

/// Derives canonical bytes and digest of a bundle, without signatures. Requires validateBundle(bundle).
SignedBundle sealBundle(const Bundle& bundle);

}
