#pragma once

#include "adapters/disk/DataFolder.h"
#include "adapters/http/HttpListener.h"
#include "adapters/peer/PeerTransport.h"
#include "core/ledger/InitialDisk.h"
#include "node/registry/ControlProtocol.h"
#include "node/registry/InitialMembers.h"
#include "node/registry/RegistryNode.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>

namespace teaselturn {

namespace registry {
    /// Connections for control requests. The leader keeps one for the heartbeats of each upstream; a member has 3,896
    /// descriptors and needs few others.
    inline constexpr std::size_t maxControlConnections = 3'500;
}

/// Settings of a member of a registry.
struct RegistryDaemonOptions {
    NodeId self;
    Endpoint control;
    Endpoint peer;
    std::string dataFolder;
    std::vector<NodeId> seeds;
    /// True if the whole system starts for the first time. The seeds are then the initial members.
    bool isBootstrap {};
    std::vector<std::uint8_t> clusterKey;
    RegistryOptions registry;
    /// Longest time between beginStop() and the end. A member without a quorum cannot answer its requests, so it ends with
    /// requests open.
    std::chrono::milliseconds stopTime { 1'000 };
};

/// Callbacks of a RegistryDaemon. Any thread may call them.
struct RegistryDaemonCallbacks {
    /// Called once after beginStop() when the process may end.
    std::function<void()> onStopped;
    /// Called when the node has failed and the process must end.
    std::function<void()> onFailure;
};

/// The process of a registry member: its node, the transport to other processes, and the port for control requests.
/// @tparam Protocol HTTP encoding of control requests.
template <ControlProtocol Protocol>
class RegistryDaemon {
public:
    RegistryDaemon(Reactor& reactor, Logger& logger, RegistryDaemonOptions options, RegistryDaemonCallbacks callbacks)
        : reactor(reactor)
        , logger(logger)
        , options(std::move(options))
        , callbacks(std::move(callbacks))
        , listener(reactor, { [this](HttpRequestId requestId, ReceivedRequest request) { this->handleRequest(requestId, request); }, {} })
    {
    }

    /// Ends the transport's thread first, whose handler uses the other members. The reactor must have stopped.
    ~RegistryDaemon()
    {
        if (this->transport) {
            this->transport->stop();
        }
    }
    RegistryDaemon(const RegistryDaemon&) = delete;
    RegistryDaemon& operator=(const RegistryDaemon&) = delete;

    /// Opens the data folder and the ports, and starts the timers.
    Status open();

    /// Takes no further connections, answers the requests that have arrived, and stops when their callers have received the
    /// responses. The member takes part in the ledger until then. A request without a response near the end of the time to
    /// stop gets the response of a member without a leader, which leaves open whether it takes effect.
    void beginStop();

    /// Replaces the members to which the process sends join requests while it is not a member. Called only after open().
    void setSeeds(std::span<const NodeId> seeds) { this->node->setSeeds(seeds); }

    /// @return The address for control requests, with the port that the operating system chose if the settings name port 0.
    Endpoint control() const { return this->listener.localEndpoint(); }

private:
    using Node = RegistryNode<PeerTransport, DataFolder<>, SteadyClock>;

    static constexpr std::chrono::milliseconds transportInterval { 500 };
    /// Also the time in which a request may arrive on a connection that was idle when the stop began.
    static constexpr std::chrono::milliseconds drainInterval { 50 };
    /// Part of the time to stop in which callers may receive the responses to requests that were ended.
    static constexpr std::chrono::milliseconds deliveryTime { 200 };

    Result<std::unique_ptr<Node>> makeNode();
    void handleRequest(HttpRequestId requestId, const ReceivedRequest& request);
    void respond(ControlResponse response);
    Endpoint endpointOf(const ControlResult& result) const;
    void drain();
    void endOpenRequests();

    Reactor& reactor;
    Logger& logger;
    const RegistryDaemonOptions options;
    const RegistryDaemonCallbacks callbacks;
    SteadyClock clock;
    /// Budget of control requests. Destroyed after them.
    BufferBudget buffers { BufferBudget::defaultLimit };
    HttpListener listener;
    std::unique_ptr<PeerTransport> transport;
    std::unique_ptr<Node> node;
    std::atomic<bool> isOpen { false };
    std::atomic<bool> isStopping { false };
    std::atomic<bool> hasEndedRequests { false };
    std::atomic<bool> hasStopped { false };
    /// Set before the timer that calls drain() starts.
    Instant stopDeadline;

    Mutex mutex;
    /// Paths of control requests without a response so far, for redirects and logs.
    absl::flat_hash_map<HttpRequestId, std::string> targets ABSL_GUARDED_BY(mutex);
};

template <ControlProtocol Protocol>
Result<std::unique_ptr<typename RegistryDaemon<Protocol>::Node>> RegistryDaemon<Protocol>::makeNode()
{
    const auto isInitialMember = this->options.isBootstrap && std::ranges::find(this->options.seeds, this->options.self) != this->options.seeds.end();
    // The disk ids of initial members are derived from their node ids, so that all members agree on them. Any other
    // folder gets a random id, so that a replaced disk isn't taken for the lost one.
    auto folder = DataFolder<>::open(PosixFiles {}, this->options.dataFolder, isInitialMember ? initialDiskId(this->options.self) : randomDiskId());
    if (!folder) {
        return folder.failure();
    }
    if (folder->tornTailBytes() > 0) {
        this->logger.log(LogEvent::LogTailCut, "", { { "bytes", folder->tornTailBytes() } });
    }
    auto state = folder->takeState();
    state.node = this->options.self;
    if (isInitialMember) {
        if (const auto recorded = recordInitialMembers(*folder, state, this->options.seeds); !recorded) {
            return recorded.failure();
        }
    }
    RegistryCallbacks nodeCallbacks { [this](ControlResponse response) { this->respond(std::move(response)); }, [this](const Failure&) { this->callbacks.onFailure(); } };
    auto newNode = std::make_unique<Node>(*this->transport, std::move(*folder), std::move(state), this->options.seeds, this->clock, this->logger, std::move(nodeCallbacks), this->options.registry);
    if (const auto checked = newNode->checkStart(); !checked) {
        return checked.failure();
    }
    return newNode;
}

template <ControlProtocol Protocol>
Status RegistryDaemon<Protocol>::open()
{
    auto started = PeerTransport::Builder {}
                       .identity(this->options.self, makeBootId())
                       .listenOn(this->options.peer)
                       .clusterKey(this->options.clusterKey)
                       .peersByAddress()
                       .handler([this](NodeId from, const PeerMessage& message) {
                           // Messages that arrive before the node exists are dropped; their senders repeat them.
                           if (this->isOpen) {
                               this->node->receive(from, message);
                           }
                       })
                       .logger(this->logger)
                       .start();
    if (!started) {
        return started.failure();
    }
    this->transport = std::move(*started);
    auto newNode = this->makeNode();
    if (!newNode) {
        return newNode.failure();
    }
    this->node = std::move(*newNode);
    this->isOpen = true;
    this->listener.setMaxConnections(registry::maxControlConnections);
    this->listener.setBuffers(this->buffers);
    this->listener.setLogger(this->logger);
    if (auto opened = this->listener.listen(this->options.control); !opened) {
        return opened;
    }
    this->reactor.every(Node::tickInterval, [this](Instant) { this->node->tick(); });
    this->reactor.every(transportInterval, [this](Instant) { this->transport->tick(); });
    return success();
}

template <ControlProtocol Protocol>
void RegistryDaemon<Protocol>::handleRequest(HttpRequestId requestId, const ReceivedRequest& request)
{
    const ControlRequestId id { requestId.value };
    auto decoded = Protocol::decodeRequest(request);
    if (const auto* malformed = std::get_if<MalformedControlRequest>(&decoded)) {
        this->logger.log(LogEvent::ControlRequestRefused, malformed->detail, { { "method", request.method }, { "path", request.target }, { "status", malformed->status } });
        this->listener.respond(requestId, Protocol::encodeMalformedRequest(*malformed));
        return;
    }
    {
        const MutexLock lock { this->mutex };
        this->targets[requestId] = request.target;
    }
    if (auto* heartbeat = std::get_if<KeyHeartbeat>(&decoded)) {
        this->node->heartbeat(id, std::move(*heartbeat));
    } else if (const auto* departure = std::get_if<Departure>(&decoded)) {
        this->node->depart(id, departure->name, departure->incarnation);
    } else if (auto* change = std::get_if<ChangeItems>(&decoded)) {
        this->node->changeItems(id, std::move(*change));
    } else if (auto* order = std::get_if<EvacuationOrder>(&decoded)) {
        this->node->evacuate(id, { std::move(order->zone), order->isEvacuated });
    } else {
        OutgoingResponse response;
        auto redirect = this->node->read([&response](const RegistryState& state) { response = Protocol::encodeItems(state); });
        if (redirect) {
            this->respond({ id, std::move(*redirect) });
        } else {
            {
                const MutexLock lock { this->mutex };
                this->targets.erase(requestId);
            }
            this->listener.respond(requestId, std::move(response));
        }
    }
}

template <ControlProtocol Protocol>
Endpoint RegistryDaemon<Protocol>::endpointOf(const ControlResult& result) const
{
    const auto* redirect = std::get_if<RedirectToLeader>(&result);
    return redirect == nullptr ? this->options.control : Endpoint { addressOfNode(redirect->leader), this->options.control.port };
}

template <ControlProtocol Protocol>
void RegistryDaemon<Protocol>::respond(ControlResponse response)
{
    const HttpRequestId requestId { response.requestId.value };
    std::string target;
    {
        const MutexLock lock { this->mutex };
        const auto found = this->targets.find(requestId);
        if (found != this->targets.end()) {
            target = std::move(found->second);
            this->targets.erase(found);
        }
    }
    if (const auto* items = std::get_if<ItemsResult>(&response.result); items != nullptr && items->code != ResultCode::Ok) {
        this->logger.log(LogEvent::ControlRequestRefused, items->detail, { { "path", target }, { "code", static_cast<unsigned>(items->code) } });
    }
    this->listener.respond(requestId, Protocol::encodeResult(response.result, this->endpointOf(response.result), target));
}

template <ControlProtocol Protocol>
void RegistryDaemon<Protocol>::beginStop()
{
    if (this->isStopping.exchange(true)) {
        return;
    }
    this->logger.log(LogEvent::ProcessStopping);
    this->stopDeadline = this->reactor.now() + this->options.stopTime;
    this->listener.beginDrain();
    this->listener.stopListening();
    this->reactor.every(drainInterval, [this](Instant) { this->drain(); });
}

template <ControlProtocol Protocol>
void RegistryDaemon<Protocol>::drain()
{
    this->listener.closeIdle();
    const auto open = this->listener.openRequests();
    const auto closing = this->listener.undeliveredConnections();
    const auto receiving = this->listener.receivingConnections();
    const auto now = this->reactor.now();
    if (open > 0 && now >= this->stopDeadline - deliveryTime && !this->hasEndedRequests.exchange(true)) {
        this->logger.log(LogEvent::DrainDeadlineReached, "", { { "open", open }, { "closing", closing } });
        this->endOpenRequests();
        return;
    }
    const bool isDrained = open == 0 && closing == 0 && receiving == 0;
    if ((isDrained || now >= this->stopDeadline) && !this->hasStopped.exchange(true)) {
        this->callbacks.onStopped();
    }
}

template <ControlProtocol Protocol>
void RegistryDaemon<Protocol>::endOpenRequests()
{
    std::vector<HttpRequestId> open;
    {
        const MutexLock lock { this->mutex };
        for (const auto& [requestId, target] : this->targets) {
            open.push_back(requestId);
        }
    }
    for (const auto requestId : open) {
        this->respond({ ControlRequestId { requestId.value }, LeaderUnavailable {} });
    }
}

}
