#pragma once

#include "core/Mutex.h"
#include "core/ledger/Member.h"
#include "teaselturn/Message.h"
#include "teaselturn/Result.h"

#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace teaselturn {

/// Limit for each wait, far longer than any step takes. A test that reaches it fails.
inline constexpr std::chrono::seconds testTimeout { 30 };

/// Waits until a condition holds. The caller holds `mutex`, which is released during each wait.
/// @return False if the condition does not hold within testTimeout.
template <typename Condition>
bool waitUntil(Mutex& mutex, ConditionVariable& changed, Condition condition) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!condition()) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= end) {
            return false;
        }
        changed.waitFor(mutex, end - now);
    }
    return true;
}

/// Records the messages that a node sends. Models PeerSender.
class RecordingSender {
public:
    void send(NodeId to, const PeerMessage& message)
    {
        const MutexLock lock { this->mutex };
        this->sent.push_back({ to, message });
        this->changed.notifyAll();
    }

    /// Waits for the next message of a type and removes it.
    /// @return std::nullopt if none is sent within testTimeout.
    template <typename Message>
    std::optional<Message> next()
    {
        const MutexLock lock { this->mutex };
        std::optional<Message> found;
        waitUntil(this->mutex, this->changed, [&] {
            this->mutex.assertHeld();
            for (auto item = this->sent.begin(); item != this->sent.end(); ++item) {
                if (const auto* message = std::get_if<Message>(&item->message)) {
                    found = *message;
                    this->sent.erase(item);
                    break;
                }
            }
            return found.has_value();
        });
        return found;
    }

    template <typename Message>
    std::size_t count()
    {
        const MutexLock lock { this->mutex };
        std::size_t number = 0;
        for (const auto& item : this->sent) {
            number += std::holds_alternative<Message>(item.message) ? 1 : 0;
        }
        return number;
    }

private:
    Mutex mutex;
    ConditionVariable changed;
    std::deque<OutboundMessage> sent ABSL_GUARDED_BY(mutex);
};

/// Controls and observes a FakeStore. The store and the test share it.
struct StoreControl {
    Mutex mutex;
    ConditionVariable changed;
    bool isBlocked ABSL_GUARDED_BY(mutex) {};
    bool isFailing ABSL_GUARDED_BY(mutex) {};
    int started ABSL_GUARDED_BY(mutex) {};
    std::vector<LogEntry> entries ABSL_GUARDED_BY(mutex);
    int snapshots ABSL_GUARDED_BY(mutex) {};

    void set(bool StoreControl::*flag, bool value)
    {
        const MutexLock lock { this->mutex };
        this->*flag = value;
        this->changed.notifyAll();
    }

    template <typename Condition>
    bool waitFor(Condition condition)
    {
        const MutexLock lock { this->mutex };
        return waitUntil(this->mutex, this->changed, condition);
    }
};

/// An in-memory store whose writes the test can block or make fail. Models LogStore.
class FakeStore {
public:
    explicit FakeStore(StoreControl& control)
        : control(&control)
    {
    }

    Status write(const MemberEffects& effects)
    {
        auto& shared = *this->control;
        const MutexLock lock { shared.mutex };
        ++shared.started;
        shared.changed.notifyAll();
        while (shared.isBlocked) {
            shared.changed.wait(shared.mutex);
        }
        if (shared.isFailing) {
            return ResultCode::LogWriteFailed;
        }
        shared.entries.insert(shared.entries.end(), effects.append.begin(), effects.append.end());
        shared.changed.notifyAll();
        return success();
    }

    Status saveSnapshot(const LedgerSnapshot&)
    {
        const MutexLock lock { this->control->mutex };
        ++this->control->snapshots;
        this->control->changed.notifyAll();
        return success();
    }

private:
    StoreControl* control;
};

/// A clock that only the test advances. Models Clock.
class ManualClock {
public:
    Instant now() const noexcept { return Instant { Duration { this->time.load() } }; }
    void advance(Duration by) noexcept { this->time.fetch_add(by.count()); }

private:
    std::atomic<Duration::rep> time { Duration { std::chrono::hours { 1 } }.count() };
};

}
