#pragma once

#include "adapters/http/HttpTypes.h"
#include "core/ownership/OwnershipState.h"

#include <functional>
#include <optional>
#include <string_view>

namespace teaselturn {

/// Operations of the process that the bundle endpoint uses.
struct BundleOperations {
    /// @return The accepted bundle in this VM's copy of the state.
    std::function<std::optional<SignedBundle>()> accepted;
    /// True if that copy may lack bundles that the ledger has accepted.
    std::function<bool()> isBehind;
    /// Checks signatures and rules of a bundle; the same on every VM.
    BundleCheck check;
    /// Proposes the bundle and waits for the ledger's decision.
    std::function<Result<ApplyOutcome>(AcceptBundle)> propose;
};

/// Handles `POST /v1/bundles`, as specified in docs/admin-api.md.
/// @param body The signed form of a bundle.
HttpResponse submitBundle(const BundleOperations& operations, std::string_view body);

}
