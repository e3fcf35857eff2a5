#include "adapters/settings/SettingsFiles.h"

#include "adapters/crypto/Hex.h"
#include "adapters/crypto/TlsFiles.h"
#include "adapters/settings/FileText.h"

#include <system_error>

namespace teaselturn {

namespace {

    void readClusterKey(Settings& settings, ProblemList& problems)
    {
        const std::string member = "clusterKeyFile";
        auto text = readFileText(settings.clusterKeyFile, ResultCode::SettingsInvalidValue);
        if (!text) {
            problems.add(ProblemKind::InvalidValue, member, text.failure().detail, "a readable file");
            return;
        }
        text->resize(text->find_last_not_of(" \r\n") + 1);
        // The message must not contain the file's content, which is a secret.
        if (!decodeHex(*text, settings.clusterKey)) {
            problems.add(ProblemKind::InvalidValue, member, "a file of another form", "a file with 64 hexadecimal digits");
        }
        using std::filesystem::perms;
        std::error_code error;
        const auto mode = std::filesystem::status(settings.clusterKeyFile, error).permissions();
        if ((mode & perms::others_all) != perms::none) {
            problems.add(ProblemKind::InvalidValue, member, "a file that every user of the VM can use", "a file without permissions for others");
        }
    }

}

ProblemList readSettingsFiles(Settings& settings)
{
    ProblemList problems;
    readClusterKey(settings, problems);
    if (settings.entry && settings.entry->http.tls) {
        const auto& tls = *settings.entry->http.tls;
        if (const auto fault = findTlsFault(tls.certificate, tls.key)) {
            problems.add(ProblemKind::InvalidValue, fault->isCertificate ? "entry.http.tls.certificate" : "entry.http.tls.key", fault->found, fault->allowed);
        }
    }
    std::error_code error;
    if (settings.ledger && std::filesystem::exists(settings.ledger->dataFolder, error) && !std::filesystem::is_directory(settings.ledger->dataFolder, error)) {
        problems.add(ProblemKind::InvalidValue, "ledger.dataFolder", settings.ledger->dataFolder.string() + ", which is no folder", "a folder, or a path at which one can be created");
    }
    if (settings.log.file && !std::filesystem::is_directory(settings.log.file->parent_path(), error)) {
        problems.add(ProblemKind::InvalidValue, "log.file", settings.log.file->string() + ", whose folder does not exist", "a file in an existing folder");
    }
    return problems;
}

}
