#include "adapters/settings/BundleJson.h"
#include "adapters/settings/FileText.h"
#include "adapters/settings/StrictJson.h"
#include "ctl/AdminClient.h"
#include "ctl/Program.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace teaselturn {

namespace {

    constexpr int httpOk = 200;
    constexpr int httpNotFound = 404;
    constexpr int httpUnavailable = 503;

    /// Parses the body of a response, which must be a JSON object.
    Result<nlohmann::json> parseResponse(const AdminResponse& response)
    {
        ProblemList problems;
        auto document = parseStrictJson(response.body, Comments::Refused, problems);
        if (!document || !document->is_object()) {
            return { ResultCode::HttpUnexpectedResponse, "status " + std::to_string(response.status) + " without a JSON object" };
        }
        return *std::move(document);
    }

    std::string stringMember(const nlohmann::json& document, const char* name)
    {
        const auto member = document.find(name);
        return member != document.end() && member->is_string() ? member->get<std::string>() : std::string {};
    }

    void printSubmissionResult(const nlohmann::json& result, Console& console)
    {
        const auto code = result.find("code");
        console.out << (code != result.end() && *code == 0 ? "accepted" : "refused") << ": " << stringMember(result, "message");
        if (const auto version = result.find("version"); version != result.end() && version->is_number_unsigned()) {
            console.out << "; version " << version->get<std::uint64_t>();
        }
        console.out << ", digest " << stringMember(result, "digest");
        if (const auto conflictingDigest = stringMember(result, "winner"); !conflictingDigest.empty()) {
            console.out << "; the bundle accepted before has digest " << conflictingDigest;
            const auto signers = result.find("signers");
            for (std::size_t i = 0; signers != result.end() && signers->is_array() && i < signers->size(); ++i) {
                const auto& signer = (*signers)[i];
                console.out << (i == 0 ? " and was signed by " : ", ") << (signer.is_string() ? signer.get<std::string>() : describeJson(signer));
            }
        }
        console.out << "\n";
    }

}

ExitCode submitCommand(const Arguments& arguments, Console& console)
{
    const auto to = parseAddress(arguments.value("to"));
    if (!to) {
        return reportFailure(to.failure(), ExitCode::Usage, console);
    }
    const auto text = readFileText(arguments.operandText(), ResultCode::BundleSyntax);
    if (!text) {
        return reportFailure(text.failure(), ExitCode::Refused, console);
    }
    if (const auto bundle = parseSignedBundle(*text); !bundle) {
        return reportFailure(bundle.failure(), ExitCode::Refused, console);
    }
    const auto response = adminPost(*to, "/v1/bundles", *text);
    if (!response) {
        console.err << "The bundle may or may not have been accepted; submitting the same file again is safe.\n";
        return reportFailure(response.failure(), exitCodeOf(response.failure()), console);
    }
    const auto result = parseResponse(*response);
    if (!result) {
        return reportFailure(result.failure(), ExitCode::Refused, console);
    }
    if (arguments.has("json")) {
        console.out << result->dump() << "\n";
    } else {
        printSubmissionResult(*result, console);
    }
    if (response->status == httpUnavailable) {
        return ExitCode::Unreachable;
    }
    return response->status == httpOk ? ExitCode::Success : ExitCode::Refused;
}

ExitCode ownerCommand(const Arguments& arguments, Console& console)
{
    const auto to = parseAddress(arguments.value("to"));
    if (!to) {
        return reportFailure(to.failure(), ExitCode::Usage, console);
    }
    const auto response = adminGet(*to, "/owners?service=" + encodeQueryValue(arguments.value("service")) + "&key=" + encodeQueryValue(arguments.operandText()));
    if (!response) {
        return reportFailure(response.failure(), exitCodeOf(response.failure()), console);
    }
    const auto document = parseResponse(*response);
    if (!document) {
        return reportFailure(document.failure(), ExitCode::Refused, console);
    }
    if (response->status != httpOk) {
        const auto code = response->status == httpNotFound ? ResultCode::RequestServiceUnknown : ResultCode::HttpUnexpectedResponse;
        return reportFailure({ make_error_code(code), stringMember(*document, "message") }, ExitCode::Refused, console);
    }
    const auto owner = document->find("owner");
    const auto isOwned = owner != document->end() && owner->is_object();
    if (arguments.has("json")) {
        console.out << document->dump() << "\n";
    } else if (isOwned) {
        console.out << stringMember(*owner, "name") << " at " << stringMember(*owner, "address") << " in " << stringMember(*owner, "zone") << "\n";
    } else {
        console.out << "no owner\n";
    }
    return isOwned ? ExitCode::Success : ExitCode::Refused;
}

}
