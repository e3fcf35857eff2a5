#include "adapters/http/HttpListener.h"

#include <algorithm>
#include <sys/epoll.h>
#include <utility>

/// How a listener closes the connections of its callers.
namespace teaselturn {

void HttpListener::closeDelivered()
{
    PendingCallbacks ignored;
    for (const auto& connection : this->allConnections()) {
        const MutexLock lock { connection->mutex };
        if (!connection->isClosed && connection->closing && connection->closing->undeliveredBytes() == 0) {
            this->close(*connection, connection->closeReason, ignored);
        }
    }
}

void HttpListener::cancelRequests(Connection& connection, PendingCallbacks& callbacks)
{
    for (const auto& exchange : connection.exchanges) {
        if (exchange.id != HttpRequestId {} && !exchange.hasResponse()) {
            callbacks.disconnected.push_back(exchange.id);
        }
    }
    connection.exchanges.clear();
    // Frees the part of a request that was read, with its reservation.
    connection.reader = MessageReader<ReceivedRequest> { this->readLimits() };
    this->endTransfer(connection);
    connection.reservation.reset();
}

void HttpListener::beginClose(const ConnectionPointer& connection, CloseReason reason, PendingCallbacks& callbacks)
{
    if (connection->isClosed || connection->closing) {
        return;
    }
    this->cancelRequests(*connection, callbacks);
    connection->input = {};
    connection->closeReason = reason;
    const auto lateInput = reason == CloseReason::Idle || reason == CloseReason::TimedOut ? LateInput::LeaveUnread : LateInput::Discard;
    connection->closing.emplace(connection->stream.descriptor().number(), this->reactor.now(), lateInput);
    ++this->closingCount;
    this->continueClose(connection, callbacks);
}

void HttpListener::continueClose(const ConnectionPointer& connection, PendingCallbacks& callbacks)
{
    const auto peer = connection->closing->checkPeer();
    this->reportLateInput(*connection);
    switch (peer) {
    case GracefulClose::PeerState::Open:
        break;
    case GracefulClose::PeerState::Sending:
        this->continueReading(connection, EPOLLIN);
        break;
    case GracefulClose::PeerState::Ended:
        this->close(*connection, connection->closeReason, callbacks);
        break;
    case GracefulClose::PeerState::Reset:
        this->close(*connection, CloseReason::CallerReset, callbacks);
        break;
    }
}

void HttpListener::close(Connection& connection, CloseReason reason, PendingCallbacks& callbacks)
{
    if (connection.isClosed) {
        return;
    }
    connection.isClosed = true;
    if (connection.closing) {
        --this->closingCount;
    }
    this->counters.closedFor(reason).add();
    this->reportIfCut(connection, reason);
    this->cancelRequests(connection, callbacks);
    connection.unsentReservations.clear();
    this->reactor.remove(connection.stream.descriptor(), connection.watchId);
    if (connection.closing) {
        connection.closing->prepareClose();
    }
    connection.stream.close();
    const MutexLock lock { this->mutex };
    this->connections.erase(&connection);
}

void HttpListener::reportIfCut(Connection& connection, CloseReason reason)
{
    if (reason == CloseReason::CallerEnded || reason == CloseReason::CallerReset) {
        return;
    }
    // After the caller has ended, nothing can reset the connection, and the kernel sends the rest.
    if (connection.closing && connection.closing->checkPeer() == GracefulClose::PeerState::Ended) {
        return;
    }
    const auto inKernel = kernelBuffers(connection.stream.descriptor().number());
    const auto unsent = connection.stream.unsentBytes();
    const auto unacknowledged = connection.closing ? connection.closing->undeliveredBytes() : inKernel.unacknowledged;
    const auto unread = connection.closing && connection.closing->leavesInputUnread() ? 0 : inKernel.unread;
    if (unsent == 0 && unread == 0 && unacknowledged == 0) {
        return;
    }
    this->counters.cut.add();
    if (this->logger == nullptr) {
        return;
    }
    const auto skippedLines = this->acquireLogLine();
    if (!skippedLines) {
        return;
    }
    this->logger->log(LogEvent::ResponseCut, "", { { "request", connection.lastRequestName }, { "reason", closeReasonName(reason) }, { "unsentBytes", unsent }, { "unacknowledgedBytes", unacknowledged }, { "unreadBytes", inKernel.unread }, { "skippedLines", *skippedLines } });
}

std::optional<std::uint64_t> HttpListener::acquireLogLine()
{
    const MutexLock lock { this->mutex };
    if (!this->logRateLimiter.tryAcquire(this->reactor.now())) {
        return std::nullopt;
    }
    return this->logRateLimiter.takeSkipped();
}

void HttpListener::reportLateInput(Connection& connection)
{
    const auto bytes = connection.closing->lateInputBytes();
    if (bytes == 0 || std::exchange(connection.isLateInputReported, true)) {
        return;
    }
    const auto reason = connection.closeReason;
    this->counters.lateInput[static_cast<std::size_t>(reason)].add();
    // A caller that pipelines sends behind its last response; only a close of an idle connection takes callers by surprise.
    if (this->logger == nullptr || (reason != CloseReason::Idle && reason != CloseReason::TimedOut)) {
        return;
    }
    const auto skippedLines = this->acquireLogLine();
    if (!skippedLines) {
        return;
    }
    const auto millisecondsSince = [now = this->reactor.now()](Instant time) { return std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count(); };
    this->logger->log(LogEvent::LateInput, "", { { "lastRequest", connection.lastRequestName }, { "reason", closeReasonName(reason) }, { "bytes", bytes }, { "closedMs", millisecondsSince(connection.closing->beganAt()) }, { "idleMs", millisecondsSince(connection.lastActiveAt) }, { "skippedLines", *skippedLines } });
}

void HttpListener::recordDelivery(Connection& connection, Instant now)
{
    if (connection.stream.unsentBytes() == 0) {
        return;
    }
    const auto undelivered = connection.stream.unsentBytes() + kernelBuffers(connection.stream.descriptor().number()).unacknowledged;
    if (undelivered != connection.undeliveredBytes) {
        connection.undeliveredBytes = undelivered;
        connection.lastActiveAt = now;
    }
}

void HttpListener::recordActivity(Connection& connection)
{
    connection.lastActiveAt = this->reactor.now();
    const MutexLock lock { this->mutex };
    connection.idleTimeout = this->limits.idleTimeout;
}

bool HttpListener::isTimedOut(Connection& connection, const CallerLimits& currentLimits, Instant now)
{
    const auto inactiveTime = now - connection.lastActiveAt;
    const bool isReading = connection.reader.isWithinMessage();
    if (inactiveTime <= (isReading ? currentLimits.headerTimeout + currentLimits.idleTimeout : currentLimits.idleTimeout)) {
        return false;
    }
    const auto inKernel = kernelBuffers(connection.stream.descriptor().number());
    if (connection.stream.unsentBytes() > 0 || inKernel.unacknowledged > 0) {
        // The caller does not read, so it is not about to send a request.
        return true;
    }
    if (isReading) {
        // A request that begins to arrive at the end of the margin gets the same time as any other.
        return now - connection.readBegunAt > currentLimits.headerTimeout;
    }
    // Unread input may be a request that no worker has read yet.
    return inKernel.unread == 0 && inactiveTime > std::max(connection.idleTimeout, currentLimits.idleTimeout) + idleMargin;
}

void HttpListener::closeTimedOut(Instant now)
{
    CallerLimits currentLimits;
    {
        const MutexLock lock { this->mutex };
        currentLimits = this->limits;
    }
    for (const auto& connection : this->allConnections()) {
        {
            const MutexLock lock { connection->mutex };
            PendingCallbacks callbacks;
            if (connection->isClosed) {
                continue;
            }
            if (connection->closing) {
                if (connection->closing->isExpired(now)) {
                    this->close(*connection, connection->closeReason, callbacks);
                }
                continue;
            }
            if (connection->bodyPausedAt) {
                // The listener, not the caller, delays the body.
                continue;
            }
            recordDelivery(*connection, now);
            const bool isSendingPieces = isWithinResponse(*connection) && connection->stream.unsentBytes() > 0;
            if ((connection->exchanges.empty() || isSendingPieces) && isTimedOut(*connection, currentLimits, now)) {
                if (connection->stream.unsentBytes() > 0) {
                    this->close(*connection, CloseReason::TimedOut, callbacks);
                } else {
                    this->beginClose(connection, CloseReason::TimedOut, callbacks);
                }
            }
            this->queueHandlers(*connection, std::move(callbacks));
        }
        connection->handlerCalls.run();
    }
}

bool HttpListener::hasUnreadInput(const Connection& connection)
{
    return !connection.closing && kernelBuffers(connection.stream.descriptor().number()).unread > 0;
}

void HttpListener::closeIdle()
{
    for (const auto& connection : this->allConnections()) {
        {
            const MutexLock lock { connection->mutex };
            PendingCallbacks callbacks;
            if (connection->exchanges.empty() && !connection->reader.isWithinMessage() && connection->stream.unsentBytes() == 0 && !hasUnreadInput(*connection)) {
                this->beginClose(connection, CloseReason::Idle, callbacks);
            }
            this->queueHandlers(*connection, std::move(callbacks));
        }
        connection->handlerCalls.run();
    }
}

std::size_t HttpListener::receivingConnections()
{
    std::size_t count = 0;
    for (const auto& connection : this->allConnections()) {
        const MutexLock lock { connection->mutex };
        const bool isReceiving = !connection->exchanges.empty() || connection->reader.isWithinMessage() || hasUnreadInput(*connection);
        count += !connection->isClosed && !connection->closing && isReceiving ? 1 : 0;
    }
    return count;
}

std::size_t HttpListener::undeliveredConnections()
{
    std::size_t count = 0;
    for (const auto& connection : this->allConnections()) {
        const MutexLock lock { connection->mutex };
        const bool isClosing = connection->closing && !connection->isClosed;
        const bool isDelivered = isClosing && connection->closeReason == CloseReason::Idle && connection->closing->undeliveredBytes() == 0;
        count += isClosing && !isDelivered ? 1 : 0;
    }
    return count;
}

}
