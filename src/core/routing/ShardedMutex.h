#pragma once

#include "core/Mutex.h"

#include <array>
#include <atomic>
#include <cstddef>

namespace teaselturn {

/// Shared mutex for tables that all workers read and that are rarely written. Each thread reads under its own shard, so
/// readers on different threads do not write to the same cache line. A writer locks all shards in ascending order. If
/// there are more threads than shards, some threads share a shard, which affects only speed.
class ABSL_LOCKABLE ShardedMutex {
public:
    /// More than the 32 workers of the largest planned VM. ThreadSanitizer aborts if a thread holds more than 64 locks,
    /// and a writer holds other locks as well.
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

    void lockShared() noexcept ABSL_SHARED_LOCK_FUNCTION() ABSL_NO_THREAD_SAFETY_ANALYSIS { this->shardOfThisThread().lockShared(); }
    void unlockShared() noexcept ABSL_UNLOCK_FUNCTION() ABSL_NO_THREAD_SAFETY_ANALYSIS { this->shardOfThisThread().unlockShared(); }

private:
    // Aligned to 128 bytes, because the adjacent-line prefetcher makes pairs of 64-byte cache lines contend.
    struct alignas(128) Shard {
        Mutex mutex;
    };

    Mutex& shardOfThisThread() noexcept
    {
        static std::atomic<std::size_t> nextIndex { 0 };
        thread_local const std::size_t index = nextIndex.fetch_add(1, std::memory_order_relaxed) % shardCount;
        return this->shards[index].mutex;
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
