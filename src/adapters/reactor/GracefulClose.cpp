#include "adapters/reactor/GracefulClose.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace teaselturn {

GracefulClose::GracefulClose(int descriptor, Instant now) noexcept
    : descriptor(descriptor)
    , lastProgressAt(now)
    , unacknowledgedBytes(kernelBuffers(descriptor).unacknowledged)
{
    // Fails if the connection was reset; discardInput() reports that.
    ::shutdown(descriptor, SHUT_WR);
}

bool GracefulClose::discardInput() noexcept
{
    std::array<char, 16 * 1024> discarded;
    while (this->discardedBytes < maxDiscardedBytes) {
        const auto count = recv(this->descriptor, discarded.data(), discarded.size(), MSG_DONTWAIT);
        if (count == 0) {
            return true;
        }
        if (count < 0 && errno != EINTR) {
            return errno != EAGAIN && errno != EWOULDBLOCK;
        }
        this->discardedBytes += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
    return false;
}

bool GracefulClose::isExpired(Instant now) noexcept
{
    const auto unacknowledged = kernelBuffers(this->descriptor).unacknowledged;
    if (unacknowledged < this->unacknowledgedBytes) {
        this->unacknowledgedBytes = unacknowledged;
        this->lastProgressAt = now;
    }
    return now - this->lastProgressAt >= (unacknowledged > 0 ? progressTimeout : peerCloseTimeout);
}

}
