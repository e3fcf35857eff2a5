#pragma once

#include "adapters/codec/RegistryCodec.h"
#include "adapters/peer/PeerTransport.h"
#include "core/registry/FeedDelay.h"
#include "core/registry/RegistryReplica.h"
#include "node/gateway/Gateway.h"

#include <atomic>
#include <functional>
#include <memory>

namespace teaselturn {

/// Settings of an entry VM that follows a registry.
struct EntryOptions {
    NodeId self;
    Endpoint front;
    Endpoint readiness;
    Endpoint peer;
    std::vector<NodeId> seeds;
    std::vector<std::uint8_t> clusterKey;
    DispatchOptions dispatch;
    /// Limit of the bytes of requests and responses that are held at once.
    std::size_t bufferBytes { BufferBudget::defaultLimit };
    /// Time between beginStop() and the end of requests in progress. The process ends EntryDaemon::deliveryTime later at most.
    std::chrono::milliseconds gracePeriod { 5'000 };
};

/// The process of an entry VM: the gateway, its copy of the registry, and the readiness and metrics port.
/// @tparam Protocol HTTP conventions of callers and upstreams.
template <CallerProtocol Protocol>
class EntryDaemon {
public:
    /// @param stopped Called once when the process may end.
    EntryDaemon(Reactor& reactor, Logger& logger, EntryOptions options, std::function<void()> onStopped)
        : reactor(reactor)
        , logger(logger)
        , options(std::move(options))
        , onStopped(std::move(onStopped))
        , gateway(reactor, logger, this->options.dispatch, this->options.bufferBytes)
        , readiness(reactor, { [this](HttpRequestId requestId, ReceivedRequest request) { this->handleStatusRequest(requestId, request); }, {} })
        , replica(this->options.seeds, BinaryRegistryCodec {})
    {
    }

    /// Ends the transport's thread first, whose handler uses the other members, the pointer to the transport among them.
    /// The reactor must have stopped.
    ~EntryDaemon()
    {
        if (this->transport) {
            this->transport->stop();
        }
    }
    EntryDaemon(const EntryDaemon&) = delete;
    EntryDaemon& operator=(const EntryDaemon&) = delete;

    /// Opens the ports and starts the timers. Messages may arrive before it returns.
    Status open();

    /// Reports not ready to the load balancer, serves requests until it has removed this VM, then drains and stops. A
    /// request without a response at the end of the grace period gets one that says whether it may have run.
    void beginStop();

    /// @return The port for callers, which the operating system chose if the settings name port 0.
    Endpoint front() const { return this->gateway.localEndpoint(); }

    /// Replaces the seeds after a change of the settings.
    void setSeeds(std::span<const NodeId> seeds);

    /// Time after the grace period in which callers may receive what was sent to them.
    static constexpr std::chrono::milliseconds deliveryTime { 200 };

private:
    /// The load balancer removes a VM after two failed health checks, which it sends once a second.
    static constexpr std::chrono::milliseconds balancerRemovalTime { 2'600 };
    static constexpr std::chrono::milliseconds feedInterval { 50 };
    static constexpr std::chrono::milliseconds loadInterval { 500 };
    static constexpr std::chrono::milliseconds transportInterval { 500 };
    static constexpr std::chrono::milliseconds drainInterval { 50 };
    /// The feed is logged as lost after this time without a reply.
    static constexpr std::chrono::milliseconds feedLossTimeout { 3'000 };

    void handleStatusRequest(HttpRequestId requestId, const ReceivedRequest& request);
    void handleMessage(NodeId from, const PeerMessage& message);
    void pollFeed();
    void sendKeyLoads();
    void drain();

    Reactor& reactor;
    Logger& logger;
    const EntryOptions options;
    std::function<void()> onStopped;
    Gateway<Protocol> gateway;
    HttpListener readiness;
    std::unique_ptr<PeerTransport> transport;
    std::atomic<bool> isOpen { false };
    std::atomic<bool> isStopping { false };
    std::atomic<bool> hasEndedRequests { false };
    std::atomic<bool> hasStopped { false };
    Instant drainDeadline;

    /// Locked before the gateway's mutex, so that states reach the gateway in log order.
    Mutex mutex;
    RegistryReplica<BinaryRegistryCodec> replica ABSL_GUARDED_BY(mutex);
    FeedDelay feedDelay ABSL_GUARDED_BY(mutex);
    bool isFeedLost ABSL_GUARDED_BY(mutex) {};
};

template <CallerProtocol Protocol>
Status EntryDaemon<Protocol>::open()
{
    auto started = PeerTransport::Builder {}
                       .identity(this->options.self, makeBootId())
                       .listenOn(this->options.peer)
                       .clusterKey(this->options.clusterKey)
                       .peersByAddress()
                       .handler([this](NodeId from, const PeerMessage& message) {
                           // Messages that arrive before the pointer to the transport is set are dropped; the feed asks again.
                           if (this->isOpen) {
                               this->handleMessage(from, message);
                           }
                       })
                       .logger(this->logger)
                       .start();
    if (!started) {
        return started.failure();
    }
    this->transport = std::move(*started);
    this->isOpen = true;
    if (auto opened = this->gateway.listen(this->options.front); !opened) {
        return opened;
    }
    this->readiness.setLogger(this->logger);
    if (auto opened = this->readiness.listen(this->options.readiness); !opened) {
        return opened;
    }
    this->reactor.every(feedInterval, [this](Instant) { this->pollFeed(); });
    this->reactor.every(loadInterval, [this](Instant) { this->sendKeyLoads(); });
    this->reactor.every(transportInterval, [this](Instant) { this->transport->tick(); });
    return success();
}

template <CallerProtocol Protocol>
void EntryDaemon<Protocol>::setSeeds(std::span<const NodeId> seeds)
{
    const MutexLock lock { this->mutex };
    this->replica.setSeeds(seeds);
}

template <CallerProtocol Protocol>
void EntryDaemon<Protocol>::handleStatusRequest(HttpRequestId requestId, const ReceivedRequest& request)
{
    OutgoingResponse response;
    if (request.target == "/metrics") {
        response.body = this->gateway.metricsText();
    } else {
        response.status = !this->isStopping && this->gateway.hasRoutes() ? 200 : 503;
    }
    this->readiness.respond(requestId, std::move(response));
}

template <CallerProtocol Protocol>
void EntryDaemon<Protocol>::handleMessage(NodeId from, const PeerMessage& message)
{
    if (const auto* reply = std::get_if<FeedReply>(&message)) {
        typename Gateway<Protocol>::Effects effects;
        {
            const MutexLock lock { this->mutex };
            const auto lastCurrentAt = this->replica.lastCurrentAt();
            const auto changed = this->replica.handleFeedReply(this->reactor.now(), from, *reply);
            if (!changed) {
                this->logger.log(LogEvent::MessageDropped, changed.failure().describe(), { { "from", from } });
            } else if (*changed && this->replica.isComplete()) {
                // Until the replica has caught up, it holds an older configuration, which must not be applied.
                effects = this->gateway.applyState(this->replica.state(), lastCurrentAt);
            }
        }
        this->gateway.executeEffects(std::move(effects));
        this->pollFeed();
    } else if (const auto* probe = std::get_if<MemberProbeReply>(&message)) {
        const MutexLock lock { this->mutex };
        this->replica.handleProbeReply(this->reactor.now(), from, *probe);
    } else if (std::holds_alternative<MemberUnavailableReply>(message)) {
        const MutexLock lock { this->mutex };
        this->replica.handleUnavailableReply(this->reactor.now());
    } else if (const auto* load = std::get_if<KeyLoadReply>(&message)) {
        this->gateway.setEntryCount(load->entryCount);
    }
}

template <CallerProtocol Protocol>
void EntryDaemon<Protocol>::pollFeed()
{
    std::vector<OutboundMessage> messages;
    {
        const MutexLock lock { this->mutex };
        const auto now = this->reactor.now();
        messages = this->replica.nextMessages(now);
        if (this->replica.isComplete() && this->feedDelay.update(now, this->replica.lastCurrentAt(), this->replica.lastUnavailableAt())) {
            this->gateway.setFeedDelayed(this->feedDelay.isDelayed());
            this->logger.log(this->feedDelay.isDelayed() ? LogEvent::FeedDelayed : LogEvent::FeedDelayEnded, "", { { "index", this->replica.state().appliedIndex() } });
        }
        const bool isLost = this->replica.isComplete() && now - this->replica.lastReplyAt() > feedLossTimeout;
        if (isLost != std::exchange(this->isFeedLost, isLost)) {
            this->logger.log(isLost ? LogEvent::FeedLost : LogEvent::FeedRegained, "", { { "index", this->replica.state().appliedIndex() } });
        }
    }
    for (const auto& [to, message] : messages) {
        this->transport->send(to, message);
    }
}

template <CallerProtocol Protocol>
void EntryDaemon<Protocol>::sendKeyLoads()
{
    NodeId source;
    {
        const MutexLock lock { this->mutex };
        source = this->replica.source();
    }
    if (source != NodeId {}) {
        this->transport->send(source, KeyLoadReport { this->options.self, this->gateway.takeKeyLoads() });
    }
}

template <CallerProtocol Protocol>
void EntryDaemon<Protocol>::beginStop()
{
    if (this->isStopping.exchange(true)) {
        return;
    }
    this->logger.log(LogEvent::ProcessStopping);
    this->gateway.beginDrain();
    this->drainDeadline = this->reactor.now() + this->options.gracePeriod;
    this->reactor.after(balancerRemovalTime, [this](Instant) {
        this->gateway.stopAccepting(this->drainDeadline);
        this->reactor.every(drainInterval, [this](Instant) { this->drain(); });
    });
}

template <CallerProtocol Protocol>
void EntryDaemon<Protocol>::drain()
{
    this->gateway.closeIdle();
    const auto open = this->gateway.openRequests();
    const auto connections = this->gateway.connectionCount();
    const auto now = this->reactor.now();
    if (open > 0 && now >= this->drainDeadline && !this->hasEndedRequests.exchange(true)) {
        this->logger.log(LogEvent::DrainDeadlineReached, "", { { "open", open }, { "connections", connections } });
        this->gateway.endOpenRequests();
        return;
    }
    // Requests may be arriving, and the kernel resets connections whose callers send after the end of the process.
    if ((connections == 0 || now >= this->drainDeadline + deliveryTime) && !this->hasStopped.exchange(true)) {
        this->onStopped();
    }
}

}
