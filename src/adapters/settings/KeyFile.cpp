#include "adapters/settings/KeyFile.h"

#include "adapters/crypto/Hex.h"
#include "adapters/settings/FileText.h"
#include "adapters/settings/StrictJson.h"
#include "core/bundle/BundleRules.h"

#include <array>
#include <system_error>

namespace teaselturn {

namespace {

    constexpr unsigned privateKeyMode = 0600;

    Status checkPermissions(const std::filesystem::path& file)
    {
        using std::filesystem::perms;
        std::error_code error;
        const auto mode = std::filesystem::status(file, error).permissions();
        if ((mode & (perms::group_all | perms::others_all)) != perms::none) {
            return { ResultCode::KeyFileInvalid, file.string() + ": other users can use the file; allowed: mode 0600" };
        }
        return success();
    }

}

Result<OperatorKeyPair> loadOperatorKey(const std::filesystem::path& file)
{
    const auto text = readFileText(file, ResultCode::KeyFileInvalid);
    if (!text) {
        return text.failure();
    }
    if (const auto status = checkPermissions(file); !status) {
        return status.failure();
    }
    ProblemList problems;
    OperatorKeyPair pair;
    std::array<std::uint8_t, 32> privateKey {};
    if (const auto document = parseStrictJson(*text, Comments::Refused, problems)) {
        ObjectReader reader { *document, {}, problems };
        pair.name = reader.text("name", Presence::Required).value_or("");
        // Doesn't use reader.hex(), whose error message would contain the secret.
        const auto* key = reader.optionalMember("privateKey");
        if (!key || !key->is_string() || !decodeHex(key->get_ref<const std::string&>(), privateKey)) {
            problems.add(ProblemKind::InvalidValue, "privateKey", "an invalid value", "64 hexadecimal digits");
        }
        reader.reportUnknownMembers();
    }
    if (problems.empty() && !isBundleName(pair.name)) {
        problems.add(ProblemKind::InvalidValue, "name", pair.name, std::string { bundleNameRule });
    }
    if (!problems.empty()) {
        return { ResultCode::KeyFileInvalid, describeProblems(problems.all(), file.string()) };
    }
    pair.keys = ed25519FromPrivate(privateKey);
    return pair;
}

Status saveOperatorKey(const std::filesystem::path& file, const OperatorKeyPair& pair)
{
    const nlohmann::json document { { "name", pair.name }, { "privateKey", encodeHex(pair.keys.privateKey) } };
    return writeFileText(file, document.dump() + "\n", privateKeyMode, Existing::Kept);
}

std::string writePublicKey(const OperatorKeyPair& pair)
{
    return nlohmann::json { { "name", pair.name }, { "publicKey", encodeHex(pair.keys.publicKey) } }.dump();
}

}
