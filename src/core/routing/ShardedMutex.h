#pragma once

#include "core/Mutex.h"

#include <array>
#include <atomic>
#include <cstddef>

namespace teaselturn {

/// A lock for tables that are read by every worker and written rarely. Each thread reads under a shard of its own, so
/// readers on different threads do not write to the same cache line; a writer takes every shard, in ascending order.
/// With more threads than shards some threads share one, which costs speed only.
class ABSL_LOCKABLE ShardedMutex {
public:
    /// More than the workers of the largest VM planned (32). ThreadSanitizer ends the process when a thread holds more
    /// than 64 locks, and a writer holds others besides.
    static constexpr std::size_t shardCount = 48;

    void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION() ABSL_NO_THREAD_SAFETY_ANALYSIS
    {
        for (auto& shard : this->shards) {
            shard.mutex.lock();
        }
    }

    void unlock() ABSL_UNLOCK_FUNCTION() ABSL_NO_THREAD_SAFETY_ANALYSIS
    {
        for (auto shard = this->shards.rbegin(); shard != this->shards.rend(); ++shard) {
            shard->mutex.unlock();
        }
    }

    void lockShared() noexcept ABSL_SHARED_LOCK_FUNCTION() ABSL_NO_THREAD_SAFETY_ANALYSIS { this->own().lockShared(); }
    void unlockShared() noexcept ABSL_UNLOCK_FUNCTION() ABSL_NO_THREAD_SAFETY_ANALYSIS { this->own().unlockShared(); }

private:
    // 128 bytes: adjacent-line prefetch makes pairs of 64-byte lines contend.
    struct alignas(128) Shard {
        Mutex mutex;
    };

    Mutex& own() noexcept
    {
        static std::atomic<std::size_t> nextThread { 0 };
        thread_local const std::size_t thread = nextThread.fetch_add(1, std::memory_order_relaxed) % shardCount;
        return this->shards[thread].mutex;
    }

    std::array<Shard, shardCount> shards;
};

/// Holds a ShardedMutex shared for its scope.
class ABSL_SCOPED_LOCKABLE SharedShardLock {
public:
    explicit SharedShardLock(ShardedMutex& mutex) noexcept ABSL_SHARED_LOCK_FUNCTION(mutex)
        : mutex(mutex)
    {
        this->mutex.lockShared();
    }
    ~SharedShardLock() ABSL_UNLOCK_FUNCTION() { this->mutex.unlockShared(); }
    SharedShardLock(const SharedShardLock&) = delete;
    SharedShardLock& operator=(const SharedShardLock&) = delete;

private:
    ShardedMutex& mutex;
};

/// Holds a ShardedMutex exclusively for its scope.
class ABSL_SCOPED_LOCKABLE ExclusiveShardLock {
public:
    explicit ExclusiveShardLock(ShardedMutex& mutex) ABSL_EXCLUSIVE_LOCK_FUNCTION(mutex)
        : mutex(mutex)
    {
        this->mutex.lock();
    }
    ~ExclusiveShardLock() ABSL_UNLOCK_FUNCTION() { this->mutex.unlock(); }
    ExclusiveShardLock(const ExclusiveShardLock&) = delete;
    ExclusiveShardLock& operator=(const ExclusiveShardLock&) = delete;

private:
    ShardedMutex& mutex;
};

}
