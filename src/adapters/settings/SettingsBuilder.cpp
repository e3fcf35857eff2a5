#include "adapters/settings/SettingsBuilder.h"

#include "adapters/settings/BundleReader.h"
#include "adapters/settings/IpNumber.h"
#include "core/bundle/BundleRules.h"

#include <map>
#include <set>

namespace teaselturn {

namespace {

    std::string quoteText(std::string_view text)
    {
        return "\"" + std::string { text } + "\"";
    }

    std::string range(std::uint64_t minimum, std::uint64_t maximum)
    {
        return "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    }

    /// Validates settings and collects the problems.
    class SettingsChecker {
    public:
        explicit SettingsChecker(const Settings& settings)
            : settings(settings)
        {
        }

        ProblemList check()
        {
            this->checkName(this->settings.zone, "zone");
            this->checkName(this->settings.region, "region");
            this->checkNumber("node", this->settings.node.value, 1, UINT32_MAX);
            if (!this->settings.entry && !this->settings.ledger) {
                this->invalid("roles", "no role", R"("entry" or "ledger" or both)");
            }
            if (this->settings.entry) {
                this->checkHttp(this->settings.entry->http);
            }
            if (this->settings.ledger && this->settings.ledger->dataFolder.empty()) {
                this->invalid("ledger.dataFolder", "\"\"", "a path");
            }
            this->checkEndpoint(this->settings.entry ? "entry.admin" : "admin", this->settings.admin, 0);
            this->checkEndpoint("peer", this->settings.peer, 1);
            this->checkNumber("drainMs", static_cast<std::uint64_t>(this->settings.drain.count()), 0, static_cast<std::uint64_t>(limits::maxDrain.count()));
            this->checkMembers();
            this->checkOperators();
            return std::move(this->problems);
        }

    private:
        void invalid(std::string path, std::string found, std::string allowed)
        {
            this->problems.add(ProblemKind::InvalidValue, std::move(path), std::move(found), std::move(allowed));
        }

        void checkNumber(std::string path, std::uint64_t value, std::uint64_t minimum, std::uint64_t maximum)
        {
            if (value < minimum || value > maximum) {
                this->invalid(std::move(path), std::to_string(value), range(minimum, maximum));
            }
        }

        void checkName(std::string_view name, std::string path)
        {
            if (!isBundleName(name)) {
                this->invalid(std::move(path), quoteText(name), std::string { bundleNameRule });
            }
        }

        void checkEndpoint(const std::string& path, const Endpoint& endpoint, std::uint64_t minPort)
        {
            if (!isIpNumber(endpoint.address)) {
                this->invalid(path + ".address", quoteText(endpoint.address), std::string { ipNumberRule });
            }
            this->checkNumber(path + ".port", endpoint.port, minPort, UINT16_MAX);
        }

        void checkHttp(const HttpSettings& http)
        {
            this->checkEndpoint("entry.http", http.listen, 0);
            this->checkNumber("entry.http.workers", http.workers, 1, limits::maxWorkers);
            this->checkNumber("entry.http.maxConnections", http.maxConnections, 1, limits::maxCallerConnections);
            this->checkNumber("entry.http.queue", http.queue, 1, limits::maxRequestQueue);
            if (http.listen.port != 0 && http.listen == this->settings.admin) {
                this->invalid("entry.admin", "the address and port of entry.http", "another port");
            }
        }

        void checkMembers()
        {
            const auto& members = this->settings.bootstrap.members;
            if (members.empty() || members.size() > limits::maxMembers) {
                this->invalid("bootstrap.members", "an array of " + std::to_string(members.size()), "1 to " + std::to_string(limits::maxMembers) + " members");
            }
            std::set<std::uint32_t> nodes;
            std::set<DiskId> disks;
            std::set<std::pair<std::string_view, std::uint16_t>> peers;
            std::map<std::string, std::string> regionOfZone { { this->settings.zone, this->settings.region } };
            for (std::size_t i = 0; i < members.size(); ++i) {
                const auto path = "bootstrap.members[" + std::to_string(i) + "]";
                this->checkMember(path, members[i]);
                if (!nodes.insert(members[i].node.value).second) {
                    this->invalid(path + ".node", std::to_string(members[i].node.value), "a node that is not in the list yet");
                } else if (!peers.emplace(members[i].peer.address, members[i].peer.port).second) {
                    this->invalid(path, "the address and port of another member", "another address or port");
                } else if (members[i].disk != DiskId {} && !disks.insert(members[i].disk).second) {
                    this->invalid(path + ".disk", formatDiskId(members[i].disk), "the identity of a disk that no other member has");
                }
                const auto& region = regionOfZone.emplace(members[i].zone, members[i].region).first->second;
                if (region != members[i].region) {
                    this->invalid(path + ".region", quoteText(members[i].region), quoteText(region) + ", the region of the zone elsewhere in these settings");
                }
            }
        }

        void checkMember(const std::string& path, const BootstrapMember& member)
        {
            this->checkNumber(path + ".node", member.node.value, 1, UINT32_MAX);
            this->checkName(member.zone, path + ".zone");
            this->checkName(member.region, path + ".region");
            this->checkEndpoint(path, member.peer, 1);
            if (isUnspecifiedIpNumber(member.peer.address)) {
                this->invalid(path + ".address", quoteText(member.peer.address), "the address of one VM");
            }
            if (member.node == this->settings.node) {
                this->checkOwnMember(path, member);
            }
        }

        /// Checks that the member with this node's id has the zone and peer address of this node. Skips a comparison if
        /// the node's own value is invalid, because that is reported separately.
        void checkOwnMember(const std::string& path, const BootstrapMember& member)
        {
            if (isBundleName(this->settings.zone) && member.zone != this->settings.zone) {
                this->invalid(path + ".zone", quoteText(member.zone), quoteText(this->settings.zone) + ", the zone of this node");
            }
            const auto& peer = this->settings.peer;
            const auto differs = member.peer.port != peer.port || (member.peer.address != peer.address && !isUnspecifiedIpNumber(peer.address));
            if (differs && peer.port != 0 && isIpNumber(peer.address)) {
                this->invalid(path, "an address and port that differ from peer", "the address and port of peer, since this member is this node");
            }
        }

        void checkOperators()
        {
            const auto& [members, operators, threshold] = this->settings.bootstrap;
            if (operators.empty() || operators.size() > limits::maxOperators) {
                this->invalid("bootstrap.operators", "an array of " + std::to_string(operators.size()), "1 to " + std::to_string(limits::maxOperators) + " operators");
                return;
            }
            std::set<std::string_view> names;
            std::set<std::array<std::uint8_t, 32>> keys;
            for (std::size_t i = 0; i < operators.size(); ++i) {
                const auto path = "bootstrap.operators[" + std::to_string(i) + "]";
                if (!isBundleName(operators[i].name) || !names.insert(operators[i].name).second) {
                    this->invalid(path + ".name", quoteText(operators[i].name), "a name that is not in the list yet, of " + std::string { bundleNameRule });
                }
                // With one key under two names, one operator could reach a threshold of two.
                if (operators[i].publicKey == std::array<std::uint8_t, 32> {} || !keys.insert(operators[i].publicKey).second) {
                    this->invalid(path + ".publicKey", "a key of zeros or the key of another operator", "a key of its own");
                }
            }
            this->checkNumber("bootstrap.threshold", threshold, 1, operators.size());
        }

        const Settings& settings;
        ProblemList problems;
    };

}

SettingsBuilder& SettingsBuilder::withNode(NodeId node)
{
    this->settings.node = node;
    return *this;
}

SettingsBuilder& SettingsBuilder::withLocation(std::string_view zone, std::string_view region)
{
    this->settings.zone = zone;
    this->settings.region = region;
    return *this;
}

SettingsBuilder& SettingsBuilder::withEntry(const EntrySettings& entry)
{
    this->settings.entry = entry;
    return *this;
}

SettingsBuilder& SettingsBuilder::withLedger(const LedgerSettings& ledger)
{
    this->settings.ledger = ledger;
    return *this;
}

SettingsBuilder& SettingsBuilder::withAdmin(const Endpoint& admin)
{
    this->settings.admin = admin;
    return *this;
}

SettingsBuilder& SettingsBuilder::withPeer(const Endpoint& peer)
{
    this->settings.peer = peer;
    return *this;
}

SettingsBuilder& SettingsBuilder::withClusterKeyFile(const std::filesystem::path& file)
{
    this->settings.clusterKeyFile = file;
    return *this;
}

SettingsBuilder& SettingsBuilder::withClusterKey(const std::array<std::uint8_t, 32>& key)
{
    this->settings.clusterKey = key;
    return *this;
}

SettingsBuilder& SettingsBuilder::withBootstrap(const BootstrapSettings& bootstrap)
{
    this->settings.bootstrap = bootstrap;
    return *this;
}

SettingsBuilder& SettingsBuilder::withLog(const LogSettings& log)
{
    this->settings.log = log;
    return *this;
}

SettingsBuilder& SettingsBuilder::withDrain(std::chrono::milliseconds drain)
{
    this->settings.drain = drain;
    return *this;
}

Checked<Settings> SettingsBuilder::build() const
{
    const auto problems = SettingsChecker { this->settings }.check();
    return problems.empty() ? Checked<Settings> { this->settings, {} } : Checked<Settings> { {}, problems.all() };
}

}
