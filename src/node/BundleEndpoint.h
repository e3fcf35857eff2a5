#pragma once

#include "adapters/http/HttpTypes.h"
#include "core/ownership/OwnershipState.h"

#include <functional>
#include <optional>
#include <string_view>

namespace teaselturn {

/// What accepting bundles needs of the process.
struct BundleDesk {
    /// @return The accepted bundle in this VM's copy of the state.
    std::function<std::optional<SignedBundle>()> accepted;
    /// True where that copy may lack bundles that the ledger has accepted.
    std::function<bool()> isBehind;
    /// Checks signatures and rules of a bundle; the same on every VM.
    BundleCheck check;
    /// Proposes the bundle and waits until the ledger decided.
    std::function<Result<ApplyOutcome>(AcceptBundle)> propose;
};

/// Answers `POST /v1/bundles`, as docs/admin-api.md describes it.
/// @param body The signed form of a bundle.
HttpResponse submitBundle(const BundleDesk& desk, std::string_view body);

}
