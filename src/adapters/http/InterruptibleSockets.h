#pragma once

#include "core/Mutex.h"

#include <absl/container/flat_hash_set.h>
#include <atomic>

namespace teaselturn {

/// Sockets that threads wait for and that another thread can shut down. A socket is registered only while it is open, since
/// its number may belong to another socket afterwards. Thread-safe; its mutex is a leaf of the lock order.
class InterruptibleSockets {
public:
    /// Registers a socket for the lifetime of the object.
    class Use {
    public:
        /// @param descriptor A socket that stays open for the lifetime of this object.
        Use(InterruptibleSockets& sockets, int descriptor);
        ~Use();
        Use(const Use&) = delete;
        Use& operator=(const Use&) = delete;

        /// @return False if the sockets were interrupted before; the socket must not be used then.
        bool isRegistered() const noexcept { return this->hasRegistered; }

    private:
        InterruptibleSockets& sockets;
        const int descriptor;
        bool hasRegistered;
    };

    /// Shuts down both directions of the registered sockets, which wakes the threads that wait for them, and registers no
    /// more. Bytes that the kernel has taken may still reach the peer.
    void interrupt();

    bool isInterrupted() const noexcept { return this->hasInterrupted; }

private:
    Mutex mutex;
    /// Written with the mutex held.
    std::atomic<bool> hasInterrupted {};
    absl::flat_hash_set<int> descriptors ABSL_GUARDED_BY(mutex);
};

}
