#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#if defined(__SANITIZE_THREAD__)
#include <absl/synchronization/mutex.h>

namespace {

/// Debian's Abseil is built without ThreadSanitizer, which reports its deadlock detector as a data race. ThreadSanitizer
/// detects lock order inversions itself.
const bool isDeadlockDetectorOff = [] {
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    return true;
}();

}
#endif
