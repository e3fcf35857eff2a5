#pragma once

#include "adapters/settings/Problem.h"
#include "adapters/settings/Settings.h"

#include <string_view>

namespace teaselturn {

/// Builds validated settings. Used by the loader and by tests that start a daemon in their own process.
class SettingsBuilder {
public:
    SettingsBuilder& withNode(NodeId node);
    SettingsBuilder& withLocation(std::string_view zone, std::string_view region);
    SettingsBuilder& withEntry(const EntrySettings& entry);
    SettingsBuilder& withLedger(const LedgerSettings& ledger);
    SettingsBuilder& withAdmin(const Endpoint& admin);
    SettingsBuilder& withPeer(const Endpoint& peer);
    SettingsBuilder& withClusterKeyFile(const std::filesystem::path& file);
    SettingsBuilder& withClusterKey(const std::array<std::uint8_t, 32>& key);
    SettingsBuilder& withBootstrap(const BootstrapSettings& bootstrap);
    SettingsBuilder& withLog(const LogSettings& log);
    SettingsBuilder& withDrain(std::chrono::milliseconds drain);

    /// Checks each value and the consistency of the values with each other. Reads no file.
    /// @return The settings, or every problem, with paths as in a settings file.
    Checked<Settings> build() const;

private:
    Settings settings;
};

}
