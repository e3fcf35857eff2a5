#include "adapters/http/HttpListener.h"

#include <sys/epoll.h>

/// Large bodies of requests that share a link of limited speed.
namespace teaselturn {

void HttpListener::recordTransfer(const ConnectionPointer& connection, PendingCallbacks& callbacks)
{
    if (this->transfers == nullptr || !connection->reader.isHeadComplete()) {
        return;
    }
    const auto bytes = connection->reader.bodyBytes();
    if (!connection->transfer) {
        const auto length = connection->reader.declaredLength();
        if (length.value_or(bytes) <= TransferSchedule::smallBodyBytes) {
            return;
        }
        const auto bytesLeft = length ? std::optional { *length - bytes } : std::nullopt;
        const std::weak_ptr<Connection> weak = connection;
        connection->transfer = this->transfers->begin({}, bytesLeft, [this, weak] {
            if (const auto resumed = weak.lock()) {
                this->resumeBody(resumed);
            }
        });
        connection->transferredBytes = bytes;
        connection->headReadAt = this->reactor.now();
        if (connection->transfer.recordRead(0)) {
            widenReceiveWindow(connection->stream.descriptor(), this->transfers->transitLimits());
        }
        callbacks.bodies.emplace_back(connection->transfer.id(), connection->reader.head());
    }
    this->setBodyPaused(*connection, !connection->transfer.recordRead(bytes - std::exchange(connection->transferredBytes, bytes)));
}

void HttpListener::setBodyPaused(Connection& connection, bool isPaused)
{
    if (isPaused == connection.bodyPausedAt.has_value()) {
        return;
    }
    const auto now = this->reactor.now();
    if (isPaused) {
        connection.bodyPausedAt = now;
    } else {
        // The pause does not count against the caller's time to send its request.
        connection.lastActiveAt += now - *connection.bodyPausedAt;
        connection.readBegunAt += now - *connection.bodyPausedAt;
        connection.bodyPausedAt.reset();
        if (connection.transfer) {
            widenReceiveWindow(connection.stream.descriptor(), this->transfers->transitLimits());
        }
    }
}

void HttpListener::endTransfer(Connection& connection)
{
    if (connection.transfer) {
        connection.transfer = LinkTransfer {};
        this->setBodyPaused(connection, false);
    }
}

void HttpListener::resumeBody(const ConnectionPointer& connection)
{
    {
        const MutexLock lock { connection->mutex };
        if (!connection->bodyPausedAt) {
            return;
        }
    }
    this->handleEvents(connection, EPOLLIN);
}

}
