#include "adapters/http/InterruptibleSockets.h"

#include <sys/socket.h>

namespace teaselturn {

InterruptibleSockets::Use::Use(InterruptibleSockets& sockets, int descriptor)
    : sockets(sockets)
    , descriptor(descriptor)
{
    const MutexLock lock { sockets.mutex };
    this->hasRegistered = !sockets.hasInterrupted && sockets.descriptors.insert(descriptor).second;
}

InterruptibleSockets::Use::~Use()
{
    const MutexLock lock { this->sockets.mutex };
    if (this->hasRegistered) {
        this->sockets.descriptors.erase(this->descriptor);
    }
}

void InterruptibleSockets::interrupt()
{
    const MutexLock lock { this->mutex };
    this->hasInterrupted = true;
    for (const int descriptor : this->descriptors) {
        // Fails if the peer has reset the connection, which wakes the thread as well.
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

}
