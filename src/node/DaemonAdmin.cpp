#include "node/Daemon.h"

#include "node/StatusJson.h"

/// Handlers of the daemon's administration API.
namespace teaselturn {

template <typename Read>
auto Daemon::withState(Read&& read)
{
    if (this->entry) {
        return this->entry->entryNode().withState(read);
    }
    return this->ledger->withState([&](const OwnershipState& state) { return read(state, findRegion(state, this->settings.region)); });
}

HttpResponse Daemon::handleStatus()
{
    NodeStatus nodeStatus { this->settings.node, this->boot, this->settings.zone, this->settings.region, std::nullopt, std::nullopt };
    if (this->entry) {
        nodeStatus.entry = this->entry->entryNode().view();
    }
    if (this->ledger) {
        nodeStatus.ledger = this->ledger->view();
    }
    return makeJsonResponse(200, this->withState([&](const OwnershipState& state, RegionId region) { return writeStatus(nodeStatus, state, region); }));
}

void Daemon::exportCounters()
{
    const auto& counters = this->transport->counters();
    const auto set = [this](std::string_view name, std::string_view help, std::uint64_t value) {
        this->metrics.gauge(name, help).set(static_cast<std::int64_t>(value));
    };
    set("peer_sent_frames", "Frames sent to other processes of the system since the start.", counters.sentFrames.load());
    set("peer_sent_bytes", "Bytes of these frames.", counters.sentBytes.load());
    set("peer_received_frames", "Frames received from other processes of the system since the start.", counters.receivedFrames.load());
    set("peer_received_bytes", "Bytes of these frames.", counters.receivedBytes.load());
    for (std::size_t i = 0; i < PeerStatistics::dropCodes.size(); ++i) {
        const auto code = PeerStatistics::dropCodes[i];
        for (const auto total = counters.dropped(code); this->exportedDrops[i] < total; ++this->exportedDrops[i]) {
            this->metrics.recordDroppedMessage(code);
        }
    }
}

HttpResponse Daemon::handleMetrics()
{
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.renderMetrics() };
}

HttpResponse Daemon::handleOwners(const HttpRequest& request)
{
    const auto service = queryParameter(request.target, "service");
    const auto key = queryParameter(request.target, "key");
    if (!service || !key) {
        return makeErrorResponse(400, { ResultCode::RequestMalformed, "service and key are needed" });
    }
    const auto owner = this->withState([&](const OwnershipState& state, RegionId region) { return writeOwner(state, region, *service, *key); });
    return owner ? makeJsonResponse(200, *owner) : makeErrorResponse(404, owner.failure());
}

HttpResponse Daemon::handleReady()
{
    const auto isReady = !this->isDraining && !this->isBehind();
    return makeJsonResponse(isReady ? 200 : 503, isReady ? R"({"ok":true})" : R"({"ok":false})");
}

HttpResponse Daemon::handleHeartbeat(const HttpRequest& request)
{
    const auto heartbeat = decodeHeartbeat(request.body);
    if (!heartbeat) {
        this->logger.log(LogEvent::HeartbeatRefused, heartbeat.failure().describe());
        return makeErrorResponse(400, heartbeat.failure());
    }
    const auto reply = this->entry->entryNode().handleHeartbeat(*heartbeat);
    if (reply.code != 0) {
        this->logger.log(LogEvent::HeartbeatRefused, "", { { "name", heartbeat->name }, { "code", reply.code } });
    }
    const auto code = static_cast<ResultCode>(reply.code);
    // This VM cannot serve the upstream now, but another one may: on status 503 the upstream tries the next entry VM.
    if (code == ResultCode::HeartbeatInvalid || code == ResultCode::DelegationMissing) {
        return makeErrorResponse(503, { code, heartbeat->name });
    }
    return makeJsonResponse(200, encodeHeartbeatReply(reply));
}

Result<ApplyOutcome> Daemon::propose(AcceptBundle command)
{
    if (this->entry) {
        return this->entry->entryNode().propose(std::move(command));
    }
    return this->proposals->propose(std::move(command), [this] { return this->ledger->view().leader; });
}

std::optional<SignedBundle> Daemon::acceptedBundle()
{
    return this->withState([](const OwnershipState& state, RegionId) {
        const auto* accepted = state.acceptedBundle();
        return accepted == nullptr ? std::nullopt : std::optional { *accepted };
    });
}

bool Daemon::isBehind()
{
    return this->entry ? this->entry->entryNode().view().isBehind : this->ledger->view().leader == NodeId {};
}

}
