#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#define TEASELTURN_TSAN(call) call
#else
#define TEASELTURN_TSAN(call) static_cast<void>(0)
#endif

/// Wrappers of absl::Mutex and absl::CondVar with thread annotations that also report each operation to
/// ThreadSanitizer. Debian's Abseil is built without instrumentation, so ThreadSanitizer would report each use of a
/// plain absl::Mutex as a race. docs/locking.md states the lock order.
namespace teaselturn {

/// Mutex that can be locked exclusively or shared.
class ABSL_LOCKABLE Mutex {
public:
    Mutex() = default;
    Mutex(const Mutex&) = delete;
    Mutex& operator=(const Mutex&) = delete;

    void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION()
    {
        TEASELTURN_TSAN(__tsan_mutex_pre_lock(this, 0));
        this->mutex.Lock();
        TEASELTURN_TSAN(__tsan_mutex_post_lock(this, 0, 0));
    }

    void unlock() ABSL_UNLOCK_FUNCTION()
    {
        TEASELTURN_TSAN(__tsan_mutex_pre_unlock(this, 0));
        this->mutex.Unlock();
        TEASELTURN_TSAN(__tsan_mutex_post_unlock(this, 0));
    }

    void lockShared() ABSL_SHARED_LOCK_FUNCTION()
    {
        TEASELTURN_TSAN(__tsan_mutex_pre_lock(this, __tsan_mutex_read_lock));
        this->mutex.ReaderLock();
        TEASELTURN_TSAN(__tsan_mutex_post_lock(this, __tsan_mutex_read_lock, 0));
    }

    void unlockShared() ABSL_UNLOCK_FUNCTION()
    {
        TEASELTURN_TSAN(__tsan_mutex_pre_unlock(this, __tsan_mutex_read_lock));
        this->mutex.ReaderUnlock();
        TEASELTURN_TSAN(__tsan_mutex_post_unlock(this, __tsan_mutex_read_lock));
    }

    void assertHeld() const ABSL_ASSERT_EXCLUSIVE_LOCK() { this->mutex.AssertHeld(); }

private:
    friend class ConditionVariable;

    absl::Mutex mutex;
};

/// Holds a Mutex exclusively for its scope.
class ABSL_SCOPED_LOCKABLE MutexLock {
public:
    explicit MutexLock(Mutex& mutex) ABSL_EXCLUSIVE_LOCK_FUNCTION(mutex)
        : mutex(mutex)
    {
        this->mutex.lock();
    }
    ~MutexLock() ABSL_UNLOCK_FUNCTION() { this->mutex.unlock(); }
    MutexLock(const MutexLock&) = delete;
    MutexLock& operator=(const MutexLock&) = delete;

private:
    Mutex& mutex;
};

/// Holds a Mutex shared for its scope.
class ABSL_SCOPED_LOCKABLE SharedMutexLock {
public:
    explicit SharedMutexLock(Mutex& mutex) ABSL_SHARED_LOCK_FUNCTION(mutex)
        : mutex(mutex)
    {
        this->mutex.lockShared();
    }
    ~SharedMutexLock() ABSL_UNLOCK_FUNCTION() { this->mutex.unlockShared(); }
    SharedMutexLock(const SharedMutexLock&) = delete;
    SharedMutexLock& operator=(const SharedMutexLock&) = delete;

private:
    Mutex& mutex;
};

/// Condition variable for Mutex. A wait can return spuriously, so callers check their condition in a loop.
class ConditionVariable {
public:
    void wait(Mutex& mutex) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        TEASELTURN_TSAN(__tsan_mutex_pre_unlock(&mutex, 0));
        TEASELTURN_TSAN(__tsan_mutex_post_unlock(&mutex, 0));
        this->variable.Wait(&mutex.mutex);
        TEASELTURN_TSAN(__tsan_mutex_pre_lock(&mutex, 0));
        TEASELTURN_TSAN(__tsan_mutex_post_lock(&mutex, 0, 0));
    }

    /// @param timeout Maximum time to wait, measured on the monotonic clock if the platform supports it.
    void waitFor(Mutex& mutex, std::chrono::nanoseconds timeout) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        TEASELTURN_TSAN(__tsan_mutex_pre_unlock(&mutex, 0));
        TEASELTURN_TSAN(__tsan_mutex_post_unlock(&mutex, 0));
        this->variable.WaitWithTimeout(&mutex.mutex, absl::FromChrono(timeout));
        TEASELTURN_TSAN(__tsan_mutex_pre_lock(&mutex, 0));
        TEASELTURN_TSAN(__tsan_mutex_post_lock(&mutex, 0, 0));
    }

    void notifyOne() { this->variable.Signal(); }
    void notifyAll() { this->variable.SignalAll(); }

private:
    absl::CondVar variable;
};

}
