#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/LogEvent.h"
#include "teaselturn/Types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

/// Settings of teaselturnd. docs/settings-example.json shows every member, docs/operations.md describes them.
namespace teaselturn {

/// Upper limits of settings.
namespace limits {
    inline constexpr std::uint32_t maxWorkers = 1'024;
    inline constexpr std::uint32_t maxCallerConnections = 65'536;
    inline constexpr std::uint32_t maxRequestQueue = 65'536;
    inline constexpr std::chrono::milliseconds maxDrain { 600'000 };
}

/// Certificate chain and private key, as PEM files.
struct TlsSettings {
    std::filesystem::path certificate;
    std::filesystem::path key;

    friend bool operator==(const TlsSettings&, const TlsSettings&) = default;
};

/// The HTTP front end for callers.
struct HttpSettings {
    /// Port 0 asks the system for a port.
    Endpoint listen;
    /// Plain HTTP if absent.
    std::optional<TlsSettings> tls;
    /// Threads that handle requests. A persistent connection occupies one.
    std::uint32_t workers { 32 };
    std::uint32_t maxConnections { 256 };
    /// Maximum number of requests that wait for a worker.
    std::uint32_t queue { 128 };

    friend bool operator==(const HttpSettings&, const HttpSettings&) = default;
};

/// Settings of the entry role.
struct EntrySettings {
    HttpSettings http;

    friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

/// Settings of the ledger role.
struct LedgerSettings {
    std::filesystem::path dataFolder;

    friend bool operator==(const LedgerSettings&, const LedgerSettings&) = default;
};

/// One of the initial members of the ledger.
struct BootstrapMember {
    NodeId node;
    std::string zone;
    std::string region;
    Endpoint peer;
    /// Disk identity of the member's data folder. Zero if the settings don't state it.
    DiskId disk;

    friend bool operator==(const BootstrapMember&, const BootstrapMember&) = default;
};

/// Initial members and trusted operators until the first bundle is in force. Must be equal on every VM.
struct BootstrapSettings {
    std::vector<BootstrapMember> members;
    std::vector<OperatorKey> operators;
    /// Number of operators that must sign the first bundle.
    std::uint32_t threshold {};

    friend bool operator==(const BootstrapSettings&, const BootstrapSettings&) = default;
};

/// Level and destination of the log.
struct LogSettings {
    LogLevel level { LogLevel::Info };
    /// Standard error if absent.
    std::optional<std::filesystem::path> file;

    friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

/// The checked settings of one process.
struct Settings {
    NodeId node;
    std::string zone;
    std::string region;
    /// Present if and only if the VM has the entry role.
    std::optional<EntrySettings> entry;
    /// Present if and only if the VM has the ledger role.
    std::optional<LedgerSettings> ledger;
    /// Administration API: `entry.admin`, or `admin` of a VM without the entry role. Port 0 asks the system for a port.
    Endpoint admin;
    /// Address on which this process listens for the other processes of the system, over UDP and TCP.
    Endpoint peer;
    std::filesystem::path clusterKeyFile;
    /// Key of the messages between processes. Zero until clusterKeyFile is read.
    std::array<std::uint8_t, 32> clusterKey {};
    BootstrapSettings bootstrap;
    LogSettings log;
    /// Longest wait for requests in flight at shutdown.
    std::chrono::milliseconds drain { 10'000 };

    friend bool operator==(const Settings&, const Settings&) = default;
};

}
