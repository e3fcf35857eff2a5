#pragma once

#include "core/Mutex.h"

#include <functional>
#include <utility>
#include <vector>

namespace teaselturn {

/// Calls the handlers of one event source, one at a time and in the order of its events. Two workers of a reactor may
/// process events of one socket in a row; without the queue, the handler of the later event could run first. Thread-safe;
/// its lock is a leaf.
///
/// An event source pushes calls while it holds the lock that orders its events, and runs them after it has released it.
class HandlerQueue {
public:
    using Call = std::function<void()>;

    void push(Call call)
    {
        const MutexLock lock { this->mutex };
        this->calls.push_back(std::move(call));
    }

    /// Runs the queued calls until none is left. Does nothing if a run() is in progress, on another thread or further up
    /// the stack; that one runs the calls. The queue must outlive the calls.
    void run()
    {
        if (!this->begin()) {
            return;
        }
        for (auto batch = this->take(); !batch.empty(); batch = this->take()) {
            for (const auto& call : batch) {
                call();
            }
        }
    }

private:
    /// @return False if there is nothing to run, or a run() is in progress.
    bool begin()
    {
        const MutexLock lock { this->mutex };
        if (this->isRunning || this->calls.empty()) {
            return false;
        }
        this->isRunning = true;
        return true;
    }

    /// @return The queued calls. If there is none, the run has ended.
    std::vector<Call> take()
    {
        const MutexLock lock { this->mutex };
        this->isRunning = !this->calls.empty();
        return std::exchange(this->calls, {});
    }

    Mutex mutex;
    std::vector<Call> calls ABSL_GUARDED_BY(mutex);
    bool isRunning ABSL_GUARDED_BY(mutex) {};
};

}
