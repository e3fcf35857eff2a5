#include "node/Daemon.h"

#include "adapters/settings/BundleCheck.h"
#include "node/StatusJson.h"

#include <algorithm>
#include <variant>

namespace teaselturn {

namespace {

    /// More workers than concurrent bundle submissions, since a submission blocks its worker until the ledger decides.
    constexpr std::size_t adminWorkerCount = 8;
    constexpr std::size_t adminQueueLimit = 256;
    /// Large enough for a whole bundle, and for a heartbeat that releases thousands of slots.
    constexpr std::size_t maxAdminBodyBytes = 1024 * 1024;
    constexpr std::chrono::milliseconds transportTickInterval { 500 };
    constexpr std::chrono::seconds cleanUpInterval { 1 };
    constexpr std::chrono::milliseconds loadReportInterval { 100 };

}

Result<std::unique_ptr<Daemon>> Daemon::start(Settings settings, Logger& logger)
{
    std::unique_ptr<Daemon> daemon { new Daemon { std::move(settings), logger } };
    if (const auto opened = daemon->open(); !opened) {
        return opened.failure();
    }
    return daemon;
}

Daemon::Daemon(Settings settings, Logger& logger)
    : settings(std::move(settings))
    , logger(logger)
    , boot(makeBootId())
    , check(makeBundleCheck(this->settings.bootstrap.operators, this->settings.bootstrap.threshold))
    , metrics(this->settings.node)
{
}

Daemon::~Daemon()
{
    // Each part is stopped after its callers: HTTP, then timers, then the ledger's writer, then the transport's thread.
    this->adminServer.reset();
    this->adminWorkers.reset();
    this->timers.reset();
    this->isOpen = false;
    if (this->ledger) {
        this->ledger->stop();
    }
    // Its handler uses the pointer to the transport, so the pointer is reset later.
    if (this->transport) {
        this->transport->stop();
    }
}

Status Daemon::open()
{
    auto started = PeerTransport::Builder {}
                       .identity(this->settings.node, this->boot)
                       .listenOn(this->settings.peer)
                       .clusterKey(this->settings.clusterKey)
                       .handler([this](NodeId from, const PeerMessage& message) { this->dispatch(from, message); })
                       .logger(this->logger)
                       .start();
    if (!started) {
        return started.failure();
    }
    this->transport = std::move(*started);
    this->peers.emplace(this->settings.bootstrap, [this](std::span<const PeerAddress> list) { return this->transport->setPeers(list); });
    if (auto listed = this->peers->setInitialPeers(); !listed) {
        return listed;
    }
    if (this->settings.entry) {
        this->makeEntry(this->check);
    }
    if (this->settings.ledger) {
        if (auto made = this->makeLedger(this->check); !made) {
            return made;
        }
    }
    this->isOpen = true;
    this->startTimers();
    if (auto admin = this->startAdmin(); !admin) {
        return admin;
    }
    return this->entry ? this->entry->listen(this->settings.entry->http) : success();
}

void Daemon::makeEntry(const BundleCheck& bundleCheck)
{
    this->entry = std::make_unique<EntryRole>(this->settings, this->boot, *this->transport, bundleCheck, this->clock, this->logger, this->metrics,
        [this](const OwnershipState& state) { this->handleBundleChange(state); });
}

Status Daemon::makeLedger(const BundleCheck& bundleCheck)
{
    this->proposals = std::make_unique<DaemonProposals>(*this->transport, this->clock, this->boot);
    LedgerCallbacks callbacks { [this](const OwnershipState& state) { this->peers->update(state); },
        [this](const Failure& failure) { this->handleLedgerFailure(failure); } };
    auto opened = openLedger(this->settings, *this->transport, bundleCheck, this->clock, this->logger, std::move(callbacks));
    if (!opened) {
        return opened.failure();
    }
    this->ledger = std::move(*opened);
    return success();
}

/// Called with ReplicaTable::mutex held; every lock acquired here comes later in the lock order.
void Daemon::handleBundleChange(const OwnershipState& state)
{
    this->peers->update(state);
    if (const auto* inForce = state.bundleInForce(findRegion(state, this->settings.region))) {
        this->metrics.setBundle(inForce->bundle);
        const auto& zones = inForce->bundle.zones;
        if (const auto own = std::ranges::find(zones, this->settings.zone, &ZoneSpec::name); own != zones.end() && this->entry) {
            this->entry->requestRecorder().setZone(own->id);
        }
    }
}

void Daemon::startTimers()
{
    this->timers = std::make_unique<ThreadTimerService>();
    this->timers->every(transportTickInterval, [this](Instant) { this->transport->tick(); });
    this->timers->every(cleanUpInterval, [this](Instant) { this->exportCounters(); });
    if (this->entry) {
        this->timers->every(loadReportInterval, [this](Instant) { this->entry->reportLoad(); });
        this->timers->every(EntryRole::Node::tickInterval, [this](Instant) { this->entry->entryNode().tick(); });
        this->timers->every(cleanUpInterval, [this](Instant now) { this->entry->cleanUp(now); });
    }
    if (this->ledger) {
        this->timers->every(DaemonLedger::tickInterval, [this](Instant) { this->ledger->tick(); });
    }
}

Status Daemon::startAdmin()
{
    this->router.add("GET", "/status", [this](const HttpRequest&) { return this->handleStatus(); });
    this->router.add("GET", "/owners", [this](const HttpRequest& request) { return this->handleOwners(request); });
    this->router.add("GET", "/metrics", [this](const HttpRequest&) { return this->handleMetrics(); });
    this->router.add("GET", "/report", [this](const HttpRequest&) { return makeJsonResponse(200, this->metrics.renderReport(this->clock.now())); });
    this->router.add("GET", "/health", [](const HttpRequest&) { return makeJsonResponse(200, R"({"ok":true})"); });
    this->router.add("GET", "/ready", [this](const HttpRequest&) { return this->handleReady(); });
    this->router.add("POST", "/v1/bundles", [this](const HttpRequest& request) {
        const BundleOperations operations { [this] { return this->acceptedBundle(); }, [this] { return this->isBehind(); }, this->check,
            [this](AcceptBundle command) { return this->propose(std::move(command)); } };
        return submitBundle(operations, request.body);
    });
    if (this->entry) {
        this->router.add("POST", "/v1/upstreams/heartbeat", [this](const HttpRequest& request) { return this->handleHeartbeat(request); });
    }
    HttpServerSettings serverSettings;
    serverSettings.listen = this->settings.admin;
    serverSettings.limits.maxBodyBytes = maxAdminBodyBytes;
    this->adminWorkers = std::make_unique<WorkerPool>(adminWorkerCount, adminQueueLimit);
    auto started = HttpServer::start(serverSettings, *this->adminWorkers, [this](const HttpRequest& request) { return this->router.handle(request); });
    if (!started) {
        return started.failure();
    }
    this->adminServer = std::move(*started);
    return success();
}

void Daemon::dispatch(NodeId from, const PeerMessage& message)
{
    if (!this->isOpen) {
        return;
    }
    const auto isReply = std::holds_alternative<DelegationReply>(message) || std::holds_alternative<FeedReply>(message) || std::holds_alternative<ProposeReply>(message);
    if (isReply) {
        if (this->entry) {
            this->entry->entryNode().receive(from, message);
        } else if (const auto* reply = std::get_if<ProposeReply>(&message); reply != nullptr && this->proposals) {
            this->proposals->receive(*reply);
        }
    } else if (this->ledger) {
        this->ledger->receive(from, message);
    } else if (this->entry && std::holds_alternative<FeedRequest>(message)) {
        this->entry->entryNode().receive(from, message);
    }
}

void Daemon::handleLedgerFailure(const Failure& /*failure*/)
{
    const MutexLock lock { this->mutex };
    this->hasFailed = true;
    this->changed.notifyAll();
}

void Daemon::requestStop()
{
    const MutexLock lock { this->mutex };
    this->isStopRequested = true;
    this->changed.notifyAll();
}

int Daemon::run()
{
    {
        const MutexLock lock { this->mutex };
        while (!this->isStopRequested && !this->hasFailed) {
            this->changed.wait(this->mutex);
        }
        if (this->hasFailed) {
            return exits::ledgerFailed;
        }
    }
    this->logger.log(LogEvent::ProcessStopping);
    return this->drain() ? exits::success : exits::failure;
}

/// This VM keeps renewing the leases of its upstreams until the last caller is served.
bool Daemon::drain()
{
    this->isDraining = true;
    if (this->entry && !this->entry->drain(this->settings.drain)) {
        this->logger.log(LogEvent::DrainDeadlineReached, "", { { "connections", this->entry->callerConnections() } });
        this->entry->endRequests();
        return false;
    }
    return true;
}

}
