#pragma once

#include "adapters/settings/Problem.h"
#include "teaselturn/Bundle.h"
#include "teaselturn/Result.h"

#include <string>
#include <string_view>

/// JSON encoding of bundles. docs/operations.md describes the members, docs/design.md section 4.7 the rules.
namespace teaselturn {

/// Reads a signed bundle `{"bundle": ..., "signatures": [...]}` in the form in which it is submitted. Checks the
/// structure and validateBundle(), but doesn't verify signatures. Comments are syntax errors.
/// @return The bundle with canonical bytes and digest, or every problem found.
Checked<SignedBundle> readSignedBundle(std::string_view text);

/// Reads a bundle file of an operator: a bundle without signatures, which may contain comments, or a signed bundle.
/// @return The bundle, without signatures if the text had none, or every problem found.
Checked<SignedBundle> readBundle(std::string_view text);

/// Parses the canonical bytes of a bundle.
/// @return The bundle; BundleTooLarge, BundleSyntax or BundleInvalid if it cannot be read; BundleInvalid if the bytes
/// are not in canonical form.
Result<Bundle> parseCanonicalBundle(std::string_view bytes);

/// Does the same as readSignedBundle(), but returns all problems as one failure: BundleTooLarge, BundleSyntax or
/// BundleInvalid.
Result<SignedBundle> parseSignedBundle(std::string_view text);

/// Returns the canonical bytes of a bundle: compact JSON with sorted members. Every member is written, except for
/// unknown disk identities.
/// Requires validateBundle(bundle).
std::string writeCanonicalBundle(const Bundle& bundle);

/// Returns the signed form as one line of JSON.
std::string writeSignedBundle(const SignedBundle& bundle);

/// Derives canonical bytes and digest of a bundle, without signatures. Requires validateBundle(bundle).
SignedBundle sealBundle(const Bundle& bundle);

}
