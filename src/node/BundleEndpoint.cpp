#include "node/BundleEndpoint.h"

#include "adapters/crypto/Hex.h"
#include "adapters/settings/BundleJson.h"
#include "node/AdminRouter.h"

#include <nlohmann/json.hpp>

namespace teaselturn {

namespace {

    using nlohmann::json;

    int httpStatusFor(ResultCode code)
    {
        switch (code) {
        case ResultCode::Ok:
        case ResultCode::AlreadyApplied:
            return 200;
        case ResultCode::BundleSyntax:
        case ResultCode::BundleInvalid:
            return 400;
        case ResultCode::BundleSignatureInvalid:
        case ResultCode::BundleTooFewSignatures:
        case ResultCode::BundleUnknownSigner:
            return 403;
        case ResultCode::BundleConflict:
        case ResultCode::BundleOutdated:
            return 409;
        case ResultCode::BundleTooLarge:
            return 413;
        default:
            return 503;
        }
    }

    HttpResponse describe(const SignedBundle& bundle, const ApplyOutcome& outcome, std::string_view detail)
    {
        // Submitting the same bytes again returns the same response.
        const auto code = outcome.code == ResultCode::AlreadyApplied ? ResultCode::Ok : outcome.code;
        auto message = make_error_code(code).message();
        if (!detail.empty()) {
            message.append(": ").append(detail);
        }
        json body { { "code", static_cast<unsigned>(code) }, { "name", resultCodeName(code) }, { "message", message },
            { "version", bundle.bundle.version.value }, { "digest", encodeHex(bundle.digest) } };
        if (code == ResultCode::BundleConflict) {
            body["winner"] = encodeHex(outcome.winner);
            body["signers"] = outcome.winnerSigners;
        }
        return makeJsonResponse(httpStatusFor(code), body.dump(-1, ' ', false, json::error_handler_t::replace));
    }

}

HttpResponse submitBundle(const BundleOperations& operations, std::string_view body)
{
    if (body.size() > limits::maxBundleBytes) {
        return makeErrorResponse(413, { ResultCode::BundleTooLarge, std::to_string(body.size()) + " bytes" });
    }
    auto parsed = parseSignedBundle(body);
    if (!parsed) {
        return makeErrorResponse(httpStatusFor(static_cast<ResultCode>(parsed.error().value())), parsed.failure());
    }
    const auto accepted = operations.accepted();
    const auto isNewer = !accepted || accepted->bundle.version < parsed->bundle.version;
    // Refuses here what the ledger would refuse, to keep it out of the log. If this VM may be behind, the ledger
    // decides.
    if (isNewer && !operations.isBehind()) {
        if (const auto checked = operations.check(*parsed, accepted ? &accepted->bundle : nullptr); !checked) {
            return describe(*parsed, { static_cast<ResultCode>(checked.error().value()) }, checked.failure().detail);
        }
    }
    const auto outcome = operations.propose(AcceptBundle { *parsed });
    if (!outcome) {
        return makeErrorResponse(503, outcome.failure());
    }
    return describe(*parsed, *outcome, {});
}

}
