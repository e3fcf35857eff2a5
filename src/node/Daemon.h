#pragma once

#include "adapters/clock/SteadyClock.h"
#include "adapters/clock/ThreadTimerService.h"
#include "adapters/http/HttpServer.h"
#include "adapters/log/Logger.h"
#include "adapters/peer/PeerTransport.h"
#include "adapters/settings/Settings.h"
#include "adapters/threads/WorkerPool.h"
#include "node/AdminRouter.h"
#include "node/BundleEndpoint.h"
#include "node/EntryRole.h"
#include "node/LedgerRole.h"
#include "node/MetricsRegistry.h"
#include "node/PeerDirectory.h"

#include <array>
#include <atomic>
#include <memory>
#include <optional>

namespace teaselturn {

/// Exit codes of teaselturnd.
namespace exits {
    inline constexpr int success = 0;
    /// The daemon could not start, or the drain deadline passed with requests in flight.
    inline constexpr int failure = 1;
    inline constexpr int usage = 2;
    /// The ledger's disk failed or its state cannot be read.
    inline constexpr int ledgerFailed = 5;
}

/// The teaselturnd process: the roles named in the settings, with a shared transport, timer service and administration
/// API.
class Daemon {
public:
    /// Opens all roles and starts all threads. The logger outlives the daemon.
    /// @return The daemon, or the error that prevents it from running.
    static Result<std::unique_ptr<Daemon>> start(Settings settings, Logger& logger);

    /// Stops without draining.
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Waits for a stop request or a fatal error, then drains.
    /// @return The exit code.
    int run();

    /// Asks run() to drain and return. Any thread may call it.
    void requestStop();

    std::uint16_t adminPort() const { return this->adminServer->port(); }
    /// @return The port that callers connect to. Requires the entry role.
    std::uint16_t callerPort() const { return this->entry->callerPort(); }

private:
    Daemon(Settings settings, Logger& logger);

    Status open();
    void makeEntry(const BundleCheck& check);
    Status makeLedger(const BundleCheck& check);
    void startTimers();
    Status startAdmin();
    void addEntryRoutes();
    void dispatch(NodeId from, const PeerMessage& message);
    void handleLedgerFailure(const Failure& failure);
    bool drain();

    void handleBundleChange(const OwnershipState& state);
    void exportCounters();

    HttpResponse handleStatus();
    HttpResponse handleMetrics();
    HttpResponse handleOwners(const HttpRequest& request);
    HttpResponse handleReady();
    HttpResponse handleHeartbeat(const HttpRequest& request);
    Result<ApplyOutcome> propose(AcceptBundle command);
    std::optional<SignedBundle> acceptedBundle();
    bool isBehind();
    template <typename Read>
    auto withState(Read&& read);

    const Settings settings;
    Logger& logger;
    const BootId boot;
    SteadyClock clock;
    BundleCheck check;
    MetricsRegistry metrics;
    /// Number of messages dropped by the transport that the metrics already include. Used by the timer thread only.
    std::array<std::uint64_t, PeerStatistics::dropCodes.size()> exportedDrops {};
    /// Messages and timers are ignored until every part exists.
    std::atomic<bool> isOpen { false };
    std::atomic<bool> isDraining { false };

    Mutex mutex;
    ConditionVariable changed;
    bool isStopRequested ABSL_GUARDED_BY(mutex) {};
    bool hasFailed ABSL_GUARDED_BY(mutex) {};

    std::unique_ptr<PeerTransport> transport;
    std::optional<PeerDirectory> peers;
    std::unique_ptr<DaemonProposals> proposals;
    std::unique_ptr<EntryRole> entry;
    std::unique_ptr<DaemonLedger> ledger;
    std::unique_ptr<ThreadTimerService> timers;
    AdminRouter router;
    std::unique_ptr<WorkerPool> adminWorkers;
    std::unique_ptr<HttpServer> adminServer;
};

}
