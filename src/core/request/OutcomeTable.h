#pragma once

#include "core/request/RequestMachine.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace teaselturn {

/// The outcome of a request, which is returned to a later request with the same id.
struct RecordedOutcome {
    Outcome outcome {};
    ResultCode code { ResultCode::Ok };
    /// HTTP status and body of the response if the outcome is Answered.
    int status {};
    std::string body;
    std::string contentType;
    /// False if the body was too large to store.
    bool isBodyStored { true };
};

/// Result of looking up a request id.
struct OutcomeLookup {
    enum class Kind : std::uint8_t {
        /// The id was not in the table; it is now in progress.
        New,
        InProgress,
        Finished,
        /// The table is full of requests in progress.
        Full,
    };

    Kind kind {};
    /// Set if kind is Finished.
    std::shared_ptr<const RecordedOutcome> recorded;
};

/// Deduplicates requests by id: a request with the id of an earlier one gets that one's outcome and does not run.
/// Outcomes are stored for a limited time. Deterministic; not thread-safe.
class OutcomeTable {
public:
    static constexpr std::size_t maxIds = 65'536;
    static constexpr std::chrono::seconds outcomeRetention { 120 };
    static constexpr std::size_t maxStoredBodyBytes = 16 * 1024;
    /// Limit for the bodies of all outcomes together. Without it, 65,536 bodies of 16 KiB would take 1 GiB.
    static constexpr std::size_t maxStoredBytes = 64 * 1024 * 1024;

    /// @param capacity Maximum number of ids.
    explicit OutcomeTable(std::size_t capacity = maxIds);

    /// Looks up an id, and adds it as in progress if it is new.
    OutcomeLookup begin(Instant now, std::string_view requestId);

    /// Records the outcome of a request in progress. The body is left out if it exceeds the limits.
    void finish(Instant now, std::string_view requestId, RecordedOutcome outcome);

    std::size_t size() const noexcept { return this->ids.size(); }
    /// @return Number of outcomes removed before the end of their retention because the table was full.
    std::uint64_t evictedCount() const noexcept { return this->evictions; }

private:
    struct Finished {
        Instant at;
        std::string requestId;
    };

    struct IdHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): hash containers require this name.
        std::size_t operator()(std::string_view id) const noexcept { return std::hash<std::string_view> {}(id); }
    };
    using Ids = absl::flat_hash_map<std::string, std::shared_ptr<const RecordedOutcome>, IdHash, std::equal_to<>>;

    void expire(Instant now);
    void removeOldest();

    const std::size_t capacity;
    /// The value is null while the request is in progress.
    Ids ids;
    std::size_t storedBytes {};
    std::deque<Finished> finished;
    std::uint64_t evictions {};
};

}
