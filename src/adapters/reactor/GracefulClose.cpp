#include "adapters/reactor/GracefulClose.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace teaselturn {

GracefulClose::GracefulClose(int descriptor, Instant now, LateInput lateInput) noexcept
    : descriptor(descriptor)
    , lateInput(lateInput)
    , begunAt(now)
    , lastProgressAt(now)
    , lastCheckAt(now)
    , checkedUndelivered(kernelBuffers(descriptor).unacknowledged)
{
    // Fails if the connection was reset; checkPeer() reports that.
    ::shutdown(descriptor, SHUT_WR);
}

GracefulClose::PeerState GracefulClose::checkPeer() noexcept
{
    if (!this->leavesInputUnread()) {
        return this->discardInput();
    }
    // recv() reports the peer's end only behind the input, so it is asked for as an event.
    pollfd peer { this->descriptor, POLLRDHUP, 0 };
    if (::poll(&peer, 1, 0) < 0) {
        return PeerState::Open;
    }
    if ((peer.revents & POLLERR) != 0) {
        return PeerState::Reset;
    }
    if (this->lateInputBytes() > 0) {
        // Closing resets the connection, which tells the peer at once, but would drop what is not acknowledged. The end of a peer
        // that fills its window may never arrive, so it is not waited for.
        return this->undeliveredBytes() > 0 ? PeerState::Open : PeerState::Ended;
    }
    return (peer.revents & (POLLRDHUP | POLLHUP)) != 0 ? PeerState::Ended : PeerState::Open;
}

void GracefulClose::prepareClose() noexcept
{
    if (this->leavesInputUnread() && this->undeliveredBytes() > 0) {
        static_cast<void>(this->discardInput());
    }
}

GracefulClose::PeerState GracefulClose::discardInput() noexcept
{
    std::array<char, 16 * 1024> discarded;
    for (std::size_t total = 0; this->discardedBytes < maxDiscardedBytes;) {
        if (total >= maxBytesPerCall) {
            return PeerState::Sending;
        }
        const auto count = recv(this->descriptor, discarded.data(), discarded.size(), MSG_DONTWAIT);
        if (count == 0) {
            return PeerState::Ended;
        }
        if (count < 0 && errno != EINTR) {
            return errno == EAGAIN || errno == EWOULDBLOCK ? PeerState::Open : PeerState::Reset;
        }
        const auto bytes = static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        total += bytes;
        this->discardedBytes += bytes;
    }
    return PeerState::Open;
}

std::size_t GracefulClose::lateInputBytes() const noexcept
{
    return this->leavesInputUnread() ? kernelBuffers(this->descriptor).unread : this->discardedBytes;
}

std::size_t GracefulClose::undeliveredBytes() const noexcept
{
    // The kernel counts the end of the sending direction as a byte.
    constexpr std::size_t endBytes = 1;
    return std::max(kernelBuffers(this->descriptor).unacknowledged, endBytes) - endBytes;
}

bool GracefulClose::isExpired(Instant now) noexcept
{
    if (now - this->begunAt >= totalTimeout) {
        return true;
    }
    if (now - this->lastCheckAt < checkInterval) {
        return false;
    }
    this->lastCheckAt = now;
    const auto undelivered = this->undeliveredBytes();
    if (undelivered < this->checkedUndelivered || this->discardedBytes > this->checkedBytes) {
        this->checkedUndelivered = undelivered;
        this->checkedBytes = this->discardedBytes;
        this->lastProgressAt = now;
    }
    return now - this->lastProgressAt >= (undelivered > 0 ? progressTimeout : peerCloseTimeout);
}

}
