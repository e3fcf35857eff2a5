#include "adapters/peer/Frame.h"
#include "adapters/peer/StreamConnections.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace teaselturn {

void InboundStreams::accept(Instant now, const FileDescriptor& listener)
{
    while (true) {
        FileDescriptor socket { accept4(listener.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) };
        if (!socket) {
            return;
        }
        if (this->connections.size() >= maxConnections) {
            this->handleDrop({ ResultCode::QueueFull, "too many connections" });
            continue;
        }
        if (const auto id = this->events.add(socket, EPOLLIN); id != 0) {
            this->connections.emplace(id, Connection { std::move(socket), {}, now });
        }
    }
}

bool InboundStreams::handle(Instant now, std::uint64_t id)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
        return false;
    }
    if (!this->read(now, found->second)) {
        this->close(id);
    }
    return true;
}

bool InboundStreams::read(Instant now, Connection& connection)
{
    // Reads once per event, so that a fast sender does not delay the others; epoll reports the remaining bytes again.
    std::array<std::uint8_t, 64 * 1024> chunk;
    const auto count = recv(connection.socket.number(), chunk.data(), chunk.size(), 0);
    if (count <= 0) {
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    }
    const auto bytes = std::span { chunk }.first(static_cast<std::size_t>(count));
    if (this->bufferedBytes + bytes.size() > maxBufferedBytes) {
        this->handleDrop({ ResultCode::QueueFull, "too many bytes of incomplete messages" });
        return false;
    }
    connection.lastProgressAt = now;
    connection.buffer.insert(connection.buffer.end(), bytes.begin(), bytes.end());
    this->bufferedBytes += bytes.size();
    return this->extractFrames(connection);
}

bool InboundStreams::extractFrames(Connection& connection)
{
    std::size_t consumed = 0;
    auto isReadable = true;
    while (isReadable) {
        const auto rest = std::span { connection.buffer }.subspan(consumed);
        const auto length = frameLength(rest);
        if (!length) {
            this->handleDrop(length.failure());
            isReadable = false;
            break;
        }
        if (!*length || rest.size() < **length) {
            break;
        }
        isReadable = this->handleFrame(rest.first(**length));
        consumed += **length;
    }
    connection.buffer.erase(connection.buffer.begin(), connection.buffer.begin() + static_cast<std::ptrdiff_t>(consumed));
    this->bufferedBytes -= consumed;
    return isReadable;
}

void InboundStreams::close(std::uint64_t id)
{
    const auto found = this->connections.find(id);
    this->bufferedBytes -= found->second.buffer.size();
    this->connections.erase(found);
}

void InboundStreams::expire(Instant now)
{
    std::vector<std::uint64_t> idle;
    for (const auto& [id, connection] : this->connections) {
        if (now - connection.lastProgressAt >= progressTimeout) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        this->close(id);
    }
}

}
