#include "adapters/peer/StreamConnections.h"

#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace teaselturn {

EventSet::EventSet()
    : epoll(epoll_create1(EPOLL_CLOEXEC))
{
}

std::uint64_t EventSet::add(const FileDescriptor& socket, std::uint32_t events)
{
    const auto id = ++this->lastId;
    epoll_event event {};
    event.events = events;
    event.data.u64 = id;
    return epoll_ctl(this->epoll.number(), EPOLL_CTL_ADD, socket.number(), &event) == 0 ? id : 0;
}

void EventSet::change(const FileDescriptor& socket, std::uint64_t id, std::uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = id;
    epoll_ctl(this->epoll.number(), EPOLL_CTL_MOD, socket.number(), &event);
}

void OutboundStreams::sendQueuedFrames(Instant now)
{
    for (const auto node : this->peers.nodesWithQueuedFrames()) {
        if (const auto open = this->byNode.find(node); open != this->byNode.end()) {
            this->write(now, open->second);
            continue;
        }
        const auto address = this->peers.addressOf(node);
        auto socket = address ? startConnect(*address, progressTimeout) : Result<FileDescriptor> { ResultCode::PeerUnreachable };
        const auto id = socket ? this->events.add(*socket, EPOLLIN | EPOLLOUT) : 0;
        if (id == 0) {
            for (auto count = this->peers.dropFrames(node); count > 0; --count) {
                this->statistics.recordDrop(ResultCode::PeerUnreachable);
            }
            continue;
        }
        this->connections.emplace(id, Connection { node, std::move(*socket), {}, 0, now, now });
        this->byNode.emplace(node, id);
    }
}

bool OutboundStreams::handle(Instant now, std::uint64_t id, std::uint32_t eventMask)
{
    if (!this->connections.contains(id)) {
        return false;
    }
    // Peers send nothing on these connections, so a readable socket means that the peer closed it.
    if ((eventMask & (EPOLLERR | EPOLLHUP | EPOLLIN)) != 0) {
        this->fail(id);
    } else {
        this->write(now, id);
    }
    return true;
}

void OutboundStreams::write(Instant now, std::uint64_t id)
{
    auto& connection = this->connections.at(id);
    while (connection.written < connection.frame.size() || this->takeNextFrame(now, id, connection)) {
        const auto rest = std::span { connection.frame }.subspan(connection.written);
        const auto count = ::send(connection.socket.number(), rest.data(), rest.size(), MSG_NOSIGNAL);
        if (count < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
                this->setWaitingForWrite(id, connection, true);
            } else {
                this->fail(id);
            }
            return;
        }
        connection.written += static_cast<std::size_t>(count);
        connection.lastProgressAt = now;
    }
}

/// @return False if there is nothing to write on this connection. It may have been closed and destroyed.
bool OutboundStreams::takeNextFrame(Instant now, std::uint64_t id, Connection& connection)
{
    const auto node = connection.node;
    if (now - connection.openedAt >= maxAge) {
        this->close(id);
        this->sendQueuedFrames(now);
        return false;
    }
    auto frame = this->peers.takeFrame(node);
    if (!frame) {
        this->setWaitingForWrite(id, connection, false);
        return false;
    }
    connection.frame = std::move(*frame);
    connection.written = 0;
    return true;
}

void OutboundStreams::setWaitingForWrite(std::uint64_t id, Connection& connection, bool isWaiting)
{
    if (connection.isWaitingForWrite != isWaiting) {
        connection.isWaitingForWrite = isWaiting;
        this->events.change(connection.socket, id, isWaiting ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }
}

/// Closes a failed connection and drops the frames queued for the peer: they would arrive late, and senders repeat
/// their messages.
void OutboundStreams::fail(std::uint64_t id)
{
    const auto& connection = this->connections.at(id);
    auto lost = this->peers.dropFrames(connection.node);
    if (connection.written < connection.frame.size()) {
        ++lost;
    }
    for (; lost > 0; --lost) {
        this->statistics.recordDrop(ResultCode::PeerUnreachable);
    }
    this->close(id);
}

void OutboundStreams::close(std::uint64_t id)
{
    const auto found = this->connections.find(id);
    this->byNode.erase(found->second.node);
    this->connections.erase(found);
}

void OutboundStreams::expire(Instant now)
{
    std::vector<std::uint64_t> failed;
    std::vector<std::uint64_t> unused;
    for (const auto& [id, connection] : this->connections) {
        const auto hasUnsentBytes = connection.isWaitingForWrite || connection.written < connection.frame.size();
        if (hasUnsentBytes && now - connection.lastProgressAt >= progressTimeout) {
            failed.push_back(id);
        } else if (!hasUnsentBytes && now - connection.openedAt >= maxAge) {
            unused.push_back(id);
        }
    }
    for (const auto id : failed) {
        this->fail(id);
    }
    for (const auto id : unused) {
        this->close(id);
    }
}

}
