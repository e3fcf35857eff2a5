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

    /// Reads an answer that must be a JSON object.
    Result<nlohmann::json> parseAnswer(const AdminAnswer& answer)
    {
        ProblemList problems;
        auto document = parseStrictJson(answer.body, Comments::Refused, problems);
        if (!document || !document->is_object()) {
            return { ResultCode::HttpUnexpectedResponse, "status " + std::to_string(answer.status) + " without a JSON object" };
        }
        return *std::move(document);
    }

    std::string textOf(const nlohmann::json& document, const char* name)
    {
        const auto member = document.find(name);
        return member != document.end() && member->is_string() ? member->get<std::string>() : std::string {};
    }

    void printVerdict(const nlohmann::json& verdict, Console& console)
    {
        const auto code = verdict.find("code");
        console.out << (code != verdict.end() && *code == 0 ? "accepted" : "refused") << ": " << textOf(verdict, "message");
        if (const auto version = verdict.find("version"); version != verdict.end() && version->is_number_unsigned()) {
            console.out << "; version " << version->get<std::uint64_t>();
        }
        console.out << ", digest " << textOf(verdict, "digest");
        if (const auto winner = textOf(verdict, "winner"); !winner.empty()) {
            console.out << "; the bundle accepted before has digest " << winner;
            const auto signers = verdict.find("signers");
            for (std::size_t i = 0; signers != verdict.end() && signers->is_array() && i < signers->size(); ++i) {
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
    const auto answer = adminPost(*to, "/v1/bundles", *text);
    if (!answer) {
        console.err << "It is not known whether the bundle was accepted; submitting the same file again is safe.\n";
        return reportFailure(answer.failure(), exitCodeOf(answer.failure()), console);
    }
    const auto verdict = parseAnswer(*answer);
    if (!verdict) {
        return reportFailure(verdict.failure(), ExitCode::Refused, console);
    }
    if (arguments.has("json")) {
        console.out << verdict->dump() << "\n";
    } else {
        printVerdict(*verdict, console);
    }
    if (answer->status == httpUnavailable) {
        return ExitCode::Unreachable;
    }
    return answer->status == httpOk ? ExitCode::Success : ExitCode::Refused;
}

ExitCode ownerCommand(const Arguments& arguments, Console& console)
{
    const auto to = parseAddress(arguments.value("to"));
    if (!to) {
        return reportFailure(to.failure(), ExitCode::Usage, console);
    }
    const auto answer = adminGet(*to, "/owners?service=" + encodeQueryValue(arguments.value("service")) + "&key=" + encodeQueryValue(arguments.operandText()));
    if (!answer) {
        return reportFailure(answer.failure(), exitCodeOf(answer.failure()), console);
    }
    const auto document = parseAnswer(*answer);
    if (!document) {
        return reportFailure(document.failure(), ExitCode::Refused, console);
    }
    if (answer->status != httpOk) {
        const auto code = answer->status == httpNotFound ? ResultCode::RequestServiceUnknown : ResultCode::HttpUnexpectedResponse;
        return reportFailure({ make_error_code(code), textOf(*document, "message") }, ExitCode::Refused, console);
    }
    const auto owner = document->find("owner");
    const auto isOwned = owner != document->end() && owner->is_object();
    if (arguments.has("json")) {
        console.out << document->dump() << "\n";
    } else if (isOwned) {
        console.out << textOf(*owner, "name") << " at " << textOf(*owner, "address") << " in " << textOf(*owner, "zone") << "\n";
    } else {
        console.out << "no owner\n";
    }
    return isOwned ? ExitCode::Success : ExitCode::Refused;
}

}
