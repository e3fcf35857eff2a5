#pragma once

#include "node/gateway/Gateway.h"

/// Responses that the gateway forwards while they arrive.
namespace teaselturn {

namespace gateway {
    /// Interval at which a response waits for the budget to have room for its buffer. Its upstream is paused meanwhile.
    inline constexpr std::chrono::milliseconds bufferWaitInterval { 20 };
}

template <CallerProtocol Protocol>
ResponseBody Gateway<Protocol>::expectedBody(const PendingRequest& pending)
{
    if (pending.request.method == "HEAD") {
        return ResponseBody::None;
    }
    // A response of unknown length that breaks off looks complete to a caller that does not accept chunks.
    const bool isStreamed = pending.route->item.kind == RequestKind::Download && pending.request.acceptsChunks;
    return isStreamed ? ResponseBody::Streamed : ResponseBody::Whole;
}

template <CallerProtocol Protocol>
typename Gateway<Protocol>::PendingRequest* Gateway<Protocol>::findCarried(ConnectionId id)
{
    const auto connection = this->connections.find(id);
    if (connection == this->connections.end()) {
        return nullptr;
    }
    const auto pending = this->pendingRequests.find(connection->second.pendingId);
    return pending == this->pendingRequests.end() ? nullptr : &pending->second;
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::handleResponseHead(ConnectionId id, ReceivedResponse head, std::optional<std::uint64_t> length)
{
    Effects effects;
    {
        const MutexLock lock { this->mutex };
        auto* const pending = this->findCarried(id);
        if (pending == nullptr) {
            return;
        }
        const auto now = this->reactor.now();
        auto& connection = this->connections.at(id);
        const bool isFirst = connection.carried.count() == 1;
        const bool isFinalSuccess = head.status / 100 == 2 && Protocol::classifyResponse(head, pending->info, isFirst) == AttemptOutcome::Answered;
        const auto bytesNeeded = std::min<std::uint64_t>(transferBytes, length.value_or(transferBytes));
        std::shared_ptr<BufferReservation> reservation;
        if (!isFinalSuccess) {
            effects.connectionsToHold.push_back(connection.connection);
        } else if (!BufferReservation::grow(reservation, this->buffers, static_cast<std::size_t>(bytesNeeded))) {
            // The request ends at its deadline if there is no room until then.
            this->reactor.after(gateway::bufferWaitInterval, [this, id, head = std::move(head), length](Instant) { this->handleResponseHead(id, head, length); });
            return;
        } else {
            const auto pendingId = connection.pendingId;
            this->counters.responsesStreamed.add();
            const auto idleTime = gateway::parseKeepAliveTimeout(head.header("Keep-Alive"));
            connection.idleTime = idleTime.value_or(connection.idleTime);
            auto& transfer = pending->transfer.emplace();
            transfer.bytes = gateway::messageBytes(head.headers, {});
            transfer.length = length;
            transfer.pause(PauseReason::Head);
            if (!this->recordOnLink(pendingId, *pending, 0)) {
                transfer.pause(PauseReason::Link);
            }
            const auto notice = Protocol::readNotice(head);
            auto outgoing = relay(std::move(head));
            outgoing.requestName = pending->info.requestId;
            outgoing.reservation = std::move(reservation);
            effects.begins.push_back({ pending->requestId, std::move(outgoing), length });
            this->dispatcher.responseStarted(pendingId);
            DispatchDecisions decisions;
            this->dispatcher.noticeReceived(now, pendingId, notice, decisions);
            this->applyDecisions(now, decisions, effects);
        }
    }
    this->executeEffects(std::move(effects));
}

template <CallerProtocol Protocol>
bool Gateway<Protocol>::recordOnLink(PendingRequestId id, PendingRequest& pending, std::size_t bytes)
{
    auto& transfer = *pending.transfer;
    transfer.bodyBytes += bytes;
    if (transfer.link) {
        return transfer.link.recordRead(bytes);
    }
    if (transfer.length.value_or(transfer.bodyBytes) > TransferSchedule::smallBodyBytes) {
        const TransferUrgency urgency { pending.route->item.priority, pending.deadline };
        const auto bytesLeft = transfer.length ? std::optional { *transfer.length - std::min<std::uint64_t>(*transfer.length, transfer.bodyBytes) } : std::nullopt;
        transfer.link = this->linkTransfers.begin(urgency, bytesLeft, [this, id] { this->unpauseTransfer(id, PauseReason::Link); });
    }
    return transfer.link.recordRead(0);
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::handleBody(ConnectionId id, std::string bytes)
{
    HttpRequestId requestId;
    PendingRequestId pendingId;
    {
        const MutexLock lock { this->mutex };
        auto* const pending = this->findCarried(id);
        if (pending == nullptr) {
            return;
        }
        pending->transfer->bytes += bytes.size();
        requestId = pending->requestId;
        pendingId = this->connections.at(id).pendingId;
        // The connection reads nothing until the reasons are gone. The listener may report room before appendBody() returns.
        pending->transfer->pause(PauseReason::Caller);
        if (!this->recordOnLink(pendingId, *pending, bytes.size())) {
            pending->transfer->pause(PauseReason::Link);
        }
    }
    if (this->listener.appendBody(requestId, std::move(bytes)) == BodyFlow::Open) {
        this->unpauseTransfer(pendingId, PauseReason::Caller);
    }
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::unpauseTransfer(PendingRequestId id, PauseReason reason)
{
    std::shared_ptr<UpstreamConnection> connection;
    bool isBegun = false;
    {
        const MutexLock lock { this->mutex };
        const auto pending = this->pendingRequests.find(id);
        const auto found = pending == this->pendingRequests.end() ? this->connections.end() : this->connections.find(pending->second.connection);
        if (found == this->connections.end() || found->second.pendingId != id || !pending->second.transfer || !pending->second.transfer->unpause(reason)) {
            return;
        }
        connection = found->second.connection;
        isBegun = std::exchange(pending->second.transfer->isBodyBegun, true);
    }
    if (isBegun) {
        connection->resume();
    } else {
        connection->streamBody();
    }
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::handleRequestBody(TransferId transfer, const ReceivedRequest& head)
{
    const auto info = Protocol::readRequest(head);
    if (!info) {
        return;
    }
    std::shared_ptr<const RouteIndex> index;
    {
        const MutexLock lock { this->mutex };
        index = this->routes;
    }
    const auto route = index ? index->find(info->host, gateway::pathOf(head.target)) : nullptr;
    if (route) {
        this->linkTransfers.setUrgency(transfer, { route->item.priority, this->reactor.now() + std::min(info->timeLeft, route->item.timeout) });
    }
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::handleBodyEnd(ConnectionId id, std::string bytes, bool isReusable) // NOLINT(performance-unnecessary-value-param): moved below, in code that depends on Protocol.
{
    Effects effects;
    {
        const MutexLock lock { this->mutex };
        auto* const pending = this->findCarried(id);
        if (pending == nullptr) {
            return;
        }
        const auto now = this->reactor.now();
        auto& connection = this->connections.at(id);
        const auto pendingId = std::exchange(connection.pendingId, {});
        const auto callerDelay = connection.connection->pausedTime();
        pending->transfer->bytes += bytes.size();
        pending->transfer->lastBytes = std::move(bytes);
        this->releaseConnection(now, id, isReusable, effects);
        this->recordTransfer(pendingId, callerDelay);
        this->endAttempt(now, pendingId, AttemptOutcome::Answered, effects);
    }
    this->executeEffects(std::move(effects));
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::recordTransfer(PendingRequestId id, Duration callerDelay)
{
    const auto pending = this->pendingRequests.find(id);
    if (pending != this->pendingRequests.end() && pending->second.transfer) {
        this->dispatcher.responseReceived(id, pending->second.transfer->bytes, callerDelay);
    }
}

template <CallerProtocol Protocol>
void Gateway<Protocol>::endStalledTransfers()
{
    std::vector<std::shared_ptr<UpstreamConnection>> transferring;
    {
        const MutexLock lock { this->mutex };
        for (const auto& [id, pending] : this->pendingRequests) {
            const auto connection = pending.transfer ? this->connections.find(pending.connection) : this->connections.end();
            if (connection != this->connections.end()) {
                transferring.push_back(connection->second.connection);
            }
        }
    }
    for (const auto& connection : transferring) {
        connection->failIfStalled();
    }
}

}
