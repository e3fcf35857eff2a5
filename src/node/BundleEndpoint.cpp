#include "node/BundleEndpoint.h"

#include "adapters/crypto/Hex.h"
#include "adapters/settings/BundleJson.h"
#include "node/AdminRouter.h"

#include <nlohmann/json.hpp>

namespace teaselturn {

namespace {

    using nlohmann::json;

    int statusOf(ResultCode code)
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
        // The same bytes get the same response however often they are submitted.
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
        return jsonAnswer(statusOf(code), body.dump(-1, ' ', false, json::error_handler_t::replace));
    }

}

HttpResponse submitBundle(const BundleDesk& desk, std::string_view body)
{
    if (body.size() > limits::maxBundleBytes) {
        return errorAnswer(413, { ResultCode::BundleTooLarge, std::to_string(body.size()) + " bytes" });
    }
    auto parsed = parseSignedBundle(body);
    if (!parsed) {
        return errorAnswer(statusOf(static_cast<ResultCode>(parsed.error().value())), parsed.failure());
    }
    const auto accepted = desk.accepted();
    const auto isNewer = !accepted || accepted->bundle.version < parsed->bundle.version;
    // Rejects here what the ledger would refuse, to keep it out of the log. If this VM may be behind, the ledger decides.
    if (isNewer && !desk.isBehind()) {
        if (const auto checked = desk.check(*parsed, accepted ? &accepted->bundle : nullptr); !checked) {
            return describe(*parsed, { static_cast<ResultCode>(checked.error().value()) }, checked.failure().detail);
        }
    }
    const auto outcome = desk.propose(AcceptBundle { *parsed });
    if (!outcome) {
        return errorAnswer(503, outcome.failure());
    }
    return describe(*parsed, *outcome, {});
}

}
