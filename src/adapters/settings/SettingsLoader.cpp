#include "adapters/settings/SettingsLoader.h"

#include "adapters/settings/BundleReader.h"
#include "adapters/settings/FileText.h"
#include "adapters/settings/SettingsBuilder.h"
#include "adapters/settings/SettingsFiles.h"
#include "adapters/settings/StrictJson.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>

namespace teaselturn {

namespace {

    using nlohmann::json;

    /// Reads the members of a settings document into a builder.
    class SettingsReader {
    public:
        SettingsReader(const json& document, const std::filesystem::path& folder, ProblemList& problems)
            : root(document, {}, problems)
            , folder(folder)
            , problems(problems)
        {
        }

        SettingsBuilder read()
        {
            this->builder.withNode({ this->readInteger<std::uint32_t>(this->root, "node", Presence::Required, 1, std::numeric_limits<std::uint32_t>::max(), 0) });
            const auto zone = this->root.text("zone", Presence::Required).value_or("");
            this->builder.withLocation(zone, this->root.text("region", Presence::Required).value_or(""));
            const auto roles = this->readRoles();
            if (roles.contains("entry")) {
                // Makes the builder report problems under the paths of the entry role even if the member is missing.
                this->builder.withEntry({});
            }
            this->readRole("entry", roles, [this](ObjectReader& entry) { this->readEntry(entry); });
            this->readRole("ledger", roles, [this](ObjectReader& ledger) { this->readLedger(ledger); });
            this->readLedgerOnlyAdmin(roles);
            this->builder.withPeer(this->readEndpoint(this->root, "peer", 1));
            this->builder.withClusterKeyFile(this->readPath(this->root, "clusterKeyFile", Presence::Required).value_or(""));
            this->readBootstrap();
            this->readLog();
            const auto maximum = static_cast<std::uint64_t>(limits::maxDrain.count());
            const auto fallback = static_cast<std::uint64_t>(Settings {}.drain.count());
            this->builder.withDrain(std::chrono::milliseconds { this->readInteger<std::uint64_t>(this->root, "drainMs", Presence::Optional, 0, maximum, fallback) });
            this->root.reportUnknownMembers();
            return this->builder;
        }

    private:
        using Roles = std::set<std::string, std::less<>>;

        template <typename Integer>
        Integer readInteger(ObjectReader& reader, std::string_view name, Presence presence, std::uint64_t minimum, std::uint64_t maximum, Integer fallback)
        {
            return static_cast<Integer>(reader.integer(name, presence, minimum, maximum).value_or(fallback));
        }

        std::optional<std::filesystem::path> readPath(ObjectReader& reader, std::string_view name, Presence presence)
        {
            const auto text = reader.text(name, presence);
            return text ? std::optional { (this->folder / *text).lexically_normal() } : std::nullopt;
        }

        /// Reads the members `address` and `port` of the reader's own object.
        Endpoint readEndpointMembers(ObjectReader& reader, std::uint64_t minPort)
        {
            Endpoint endpoint;
            endpoint.address = reader.text("address", Presence::Required).value_or("");
            endpoint.port = this->readInteger<std::uint16_t>(reader, "port", Presence::Required, minPort, std::numeric_limits<std::uint16_t>::max(), 0);
            return endpoint;
        }

        Endpoint readEndpoint(ObjectReader& reader, std::string_view name, std::uint64_t minPort)
        {
            auto object = reader.object(name, Presence::Required);
            if (!object) {
                return {};
            }
            auto endpoint = this->readEndpointMembers(*object, minPort);
            object->reportUnknownMembers();
            return endpoint;
        }

        Roles readRoles()
        {
            Roles roles;
            auto isValid = true;
            const auto isArray = this->root.forEach("roles", Presence::Required, [&](const json& element, const std::string& path) {
                if (element != "entry" && element != "ledger") {
                    this->problems.add(ProblemKind::InvalidValue, path, describeJson(element), R"("entry" or "ledger")");
                    isValid = false;
                } else if (!roles.insert(element.get<std::string>()).second) {
                    this->problems.add(ProblemKind::InvalidValue, path, describeJson(element), "each role once");
                    isValid = false;
                }
            });
            if (isArray && isValid && roles.empty()) {
                this->problems.add(ProblemKind::InvalidValue, "roles", "no role", R"("entry" or "ledger" or both)");
            }
            // If `roles` is invalid, infers the roles from the members `entry` and `ledger`, to avoid reporting
            // problems that only follow from the first one.
            const auto areRolesValid = isValid && !roles.empty();
            for (const auto* name : { "entry", "ledger" }) {
                if (!areRolesValid && this->root.has(name)) {
                    roles.emplace(name);
                }
            }
            return roles;
        }

        /// Reads the member with a role's settings, which is required with the role and rejected without it.
        template <typename Read>
        void readRole(const std::string& name, const Roles& roles, Read read)
        {
            const auto hasRole = roles.contains(name);
            auto object = this->root.object(name, hasRole ? Presence::Required : Presence::Optional);
            if (!object) {
                return;
            }
            if (!hasRole) {
                this->problems.add(ProblemKind::InvalidValue, name, "settings of a role that roles does not list", "no such member, or the role in roles");
            }
            read(*object);
            object->reportUnknownMembers();
        }

        void readEntry(ObjectReader& reader)
        {
            EntrySettings entry;
            if (auto http = reader.object("http", Presence::Required)) {
                entry.http.listen = this->readEndpointMembers(*http, 0);
                entry.http.workers = this->readInteger(*http, "workers", Presence::Optional, 1, limits::maxWorkers, entry.http.workers);
                entry.http.maxConnections = this->readInteger(*http, "maxConnections", Presence::Optional, 1, limits::maxCallerConnections, entry.http.maxConnections);
                entry.http.queue = this->readInteger(*http, "queue", Presence::Optional, 1, limits::maxRequestQueue, entry.http.queue);
                if (auto tls = http->object("tls", Presence::Optional)) {
                    auto certificate = this->readPath(*tls, "certificate", Presence::Required).value_or("");
                    entry.http.tls = TlsSettings { std::move(certificate), this->readPath(*tls, "key", Presence::Required).value_or("") };
                    tls->reportUnknownMembers();
                }
                http->reportUnknownMembers();
            }
            this->builder.withEntry(entry).withAdmin(this->readEndpoint(reader, "admin", 0));
        }

        void readLedger(ObjectReader& reader)
        {
            this->builder.withLedger({ this->readPath(reader, "dataFolder", Presence::Required).value_or("") });
        }

        void readLedgerOnlyAdmin(const Roles& roles)
        {
            if (!roles.contains("entry")) {
                this->builder.withAdmin(this->readEndpoint(this->root, "admin", 0));
            } else if (this->root.has("admin")) {
                static_cast<void>(this->root.object("admin", Presence::Optional));
                this->problems.add(ProblemKind::InvalidValue, "admin", "an address beside entry.admin", "entry.admin only, since roles lists entry");
            }
        }

        void readBootstrap()
        {
            BootstrapSettings bootstrap;
            auto reader = this->root.object("bootstrap", Presence::Required);
            if (!reader) {
                return;
            }
            reader->forEach("members", Presence::Required, [&](const json& element, const std::string& path) {
                ObjectReader member { element, path, this->problems };
                const NodeId node { this->readInteger<std::uint32_t>(member, "node", Presence::Required, 1, std::numeric_limits<std::uint32_t>::max(), 0) };
                auto zone = member.text("zone", Presence::Required).value_or("");
                auto region = member.text("region", Presence::Required).value_or("");
                auto peer = this->readEndpointMembers(member, 1);
                bootstrap.members.push_back({ node, std::move(zone), std::move(region), std::move(peer), readDiskId(member) });
                member.reportUnknownMembers();
            });
            reader->forEach("operators", Presence::Required, [&](const json& element, const std::string& path) { bootstrap.operators.push_back(readOperatorKey(element, path, this->problems)); });
            bootstrap.threshold = this->readInteger<std::uint32_t>(*reader, "threshold", Presence::Required, 1, std::numeric_limits<std::uint32_t>::max(), 0);
            reader->reportUnknownMembers();
            this->builder.withBootstrap(bootstrap);
        }

        void readLog()
        {
            LogSettings log;
            if (auto reader = this->root.object("log", Presence::Optional)) {
                std::array<std::string_view, 5> levels;
                for (std::size_t i = 0; i < levels.size(); ++i) {
                    levels[i] = logLevelName(static_cast<LogLevel>(i));
                }
                const auto level = reader->choice("level", Presence::Optional, levels);
                log.level = level ? static_cast<LogLevel>(*level) : log.level;
                log.file = this->readPath(*reader, "file", Presence::Optional);
                reader->reportUnknownMembers();
            }
            this->builder.withLog(log);
        }

        ObjectReader root;
        const std::filesystem::path& folder;
        ProblemList& problems;
        SettingsBuilder builder;
    };

    /// Returns true if the path `inner` is equal to `outer` or is a descendant of it.
    bool isWithin(std::string_view inner, std::string_view outer)
    {
        return outer.empty() || (inner.starts_with(outer) && (inner.size() == outer.size() || inner[outer.size()] == '.' || inner[outer.size()] == '['));
    }

    /// Adds the problems found by the builder, except at members for which, or for whose ancestors or descendants, the
    /// reader has already reported a problem.
    void addIndependentProblems(const std::vector<Problem>& found, ProblemList& problems)
    {
        const auto reported = problems.all();
        for (const auto& problem : found) {
            const auto overlaps = [&problem](const Problem& earlier) { return isWithin(problem.path, earlier.path) || isWithin(earlier.path, problem.path); };
            if (std::ranges::none_of(reported, overlaps)) {
                problems.add(problem.kind, problem.path, problem.found, problem.allowed);
            }
        }
    }

}

Checked<Settings> parseSettings(std::string_view text, const std::filesystem::path& folder)
{
    ProblemList problems;
    const auto document = parseStrictJson(text, Comments::Ignored, problems);
    if (!document) {
        return { {}, problems.all() };
    }
    auto checked = SettingsReader { *document, folder, problems }.read().build();
    if (problems.empty()) {
        return checked;
    }
    addIndependentProblems(checked.problems, problems);
    return { {}, problems.all() };
}

Checked<Settings> loadSettings(const std::filesystem::path& file)
{
    const auto text = readFileText(file, ResultCode::SettingsUnreadable);
    if (!text) {
        return { {}, { { ProblemKind::Unreadable, {}, text.failure().detail, "a readable file" } } };
    }
    auto checked = parseSettings(*text, file.parent_path());
    if (checked.value) {
        auto problems = readSettingsFiles(*checked.value);
        if (!problems.empty()) {
            return { {}, problems.all() };
        }
    }
    return checked;
}

ResultCode settingsResultCode(ProblemKind kind) noexcept
{
    switch (kind) {
    case ProblemKind::Unreadable:
        return ResultCode::SettingsUnreadable;
    case ProblemKind::TooLarge:
    case ProblemKind::Syntax:
        return ResultCode::SettingsSyntax;
    case ProblemKind::UnknownMember:
        return ResultCode::SettingsUnknownMember;
    case ProblemKind::DuplicateMember:
        return ResultCode::SettingsDuplicateMember;
    case ProblemKind::MissingMember:
        return ResultCode::SettingsMissingMember;
    default:
        return ResultCode::SettingsInvalidValue;
    }
}

}
