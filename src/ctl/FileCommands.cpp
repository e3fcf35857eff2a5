#include "adapters/crypto/Ed25519.h"
#include "adapters/crypto/Hex.h"
#include "adapters/settings/BundleCheck.h"
#include "adapters/settings/BundleJson.h"
#include "adapters/settings/FileText.h"
#include "adapters/settings/KeyFile.h"
#include "adapters/settings/SettingsLoader.h"
#include "core/bundle/BundleRules.h"
#include "ctl/Program.h"

#include <algorithm>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <ostream>

namespace teaselturn {

namespace {

    constexpr unsigned publicFileMode = 0644;

    /// Prints problems, one per line.
    /// @return Refused.
    ExitCode reportProblems(const std::vector<Problem>& problems, std::string_view file, Console& console)
    {
        console.err << describeProblems(problems, file) << "\n";
        return ExitCode::Refused;
    }

    /// Reads a bundle file. Prints its problems if it is invalid.
    std::optional<SignedBundle> loadBundle(const std::string& file, Console& console)
    {
        const auto text = readFileText(file, ResultCode::BundleSyntax);
        if (!text) {
            reportFailure(text.failure(), ExitCode::Refused, console);
            return std::nullopt;
        }
        auto checked = readBundle(*text);
        if (!checked.value) {
            reportProblems(checked.problems, file, console);
        }
        return std::move(checked.value);
    }

    /// Checks the signatures and changes against the bundle in force, or the signatures against the operators of the
    /// settings. Succeeds if neither is given.
    Status checkSignatures(const SignedBundle& bundle, const Bundle* inForce, const Settings* settings)
    {
        if (inForce) {
            return makeBundleCheck({}, 0)(bundle, inForce);
        }
        if (settings) {
            return makeBundleCheck(settings->bootstrap.operators, settings->bootstrap.threshold)(bundle, nullptr);
        }
        return success();
    }

    void printBundle(const SignedBundle& bundle, bool asJson, Console& console)
    {
        auto signers = nlohmann::json::array();
        for (const auto& signature : bundle.signatures) {
            signers.push_back(signature.signer);
        }
        if (asJson) {
            console.out << nlohmann::json { { "version", bundle.bundle.version.value }, { "digest", encodeHex(bundle.digest) }, { "signers", signers } }.dump() << "\n";
            return;
        }
        console.out << "version " << bundle.bundle.version.value << ", digest " << encodeHex(bundle.digest) << ", " << signers.size() << " signatures";
        for (const auto& signature : bundle.signatures) {
            console.out << (&signature == bundle.signatures.data() ? " by " : ", ") << signature.signer;
        }
        console.out << "\n";
    }

}

ExitCode checkSettingsCommand(const Arguments& arguments, Console& console)
{
    const auto checked = loadSettings(arguments.operandText());
    if (!checked.value) {
        return reportProblems(checked.problems, arguments.operandText(), console);
    }
    console.out << arguments.operandText() << ": valid\n";
    return ExitCode::Success;
}

ExitCode checkBundleCommand(const Arguments& arguments, Console& console)
{
    if (arguments.has("in-force") && arguments.has("settings")) {
        return reportFailure({ make_error_code(ResultCode::UsageError), "--in-force and --settings are mutually exclusive" }, ExitCode::Usage, console);
    }
    const auto bundle = loadBundle(arguments.operandText(), console);
    const auto inForce = bundle && arguments.has("in-force") ? loadBundle(arguments.value("in-force"), console) : std::nullopt;
    if (!bundle || (arguments.has("in-force") && !inForce)) {
        return ExitCode::Refused;
    }
    Checked<Settings> settings;
    if (arguments.has("settings")) {
        const auto& file = arguments.value("settings");
        const auto text = readFileText(file, ResultCode::SettingsUnreadable);
        if (!text) {
            return reportFailure(text.failure(), ExitCode::Refused, console);
        }
        settings = parseSettings(*text, {});
        if (!settings.value) {
            return reportProblems(settings.problems, file, console);
        }
    }
    const auto status = checkSignatures(*bundle, inForce ? &inForce->bundle : nullptr, settings.value ? &*settings.value : nullptr);
    if (!status) {
        return reportFailure(status.failure(), ExitCode::Refused, console);
    }
    printBundle(*bundle, arguments.has("json"), console);
    return ExitCode::Success;
}

ExitCode keygenCommand(const Arguments& arguments, Console& console)
{
    const auto& prefix = arguments.value("out");
    const auto name = arguments.has("name") ? arguments.value("name") : std::filesystem::path { prefix }.filename().string();
    if (!isBundleName(name)) {
        return reportFailure({ make_error_code(ResultCode::UsageError), "'" + name + "' is not a valid operator name; a name has " + std::string { bundleNameRule } }, ExitCode::Usage, console);
    }
    const OperatorKeyPair pair { name, generateEd25519() };
    if (const auto status = saveOperatorKey(prefix + ".key", pair); !status) {
        return reportFailure(status.failure(), ExitCode::Refused, console);
    }
    if (const auto status = writeFileText(prefix + ".pub", writePublicKey(pair) + "\n", publicFileMode, Existing::Replaced); !status) {
        return reportFailure(status.failure(), ExitCode::Refused, console);
    }
    console.out << writePublicKey(pair) << "\n";
    return ExitCode::Success;
}

ExitCode signCommand(const Arguments& arguments, Console& console)
{
    const auto key = loadOperatorKey(arguments.value("key"));
    if (!key) {
        return reportFailure(key.failure(), ExitCode::Refused, console);
    }
    auto bundle = loadBundle(arguments.value("bundle"), console);
    if (!bundle) {
        return ExitCode::Refused;
    }
    std::erase_if(bundle->signatures, [&key](const BundleSignature& signature) { return signature.signer == key->name; });
    bundle->signatures.push_back({ key->name, signEd25519(key->keys.privateKey, bundle->canonicalBytes) });
    const auto text = writeSignedBundle(*bundle) + "\n";
    if (const auto status = writeFileText(arguments.value("out"), text, publicFileMode, Existing::Replaced); !status) {
        return reportFailure(status.failure(), ExitCode::Refused, console);
    }
    printBundle(*bundle, false, console);
    return ExitCode::Success;
}

}
