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

/// How a request ended, as a repeat of its id gets it.
struct RecordedOutcome {
    Outcome outcome {};
    ResultCode code { ResultCode::Ok };
    /// Status and body of an answered request.
    int status {};
    std::string body;
    std::string contentType;
    /// False where the answer was too large to keep.
    bool isBodyStored { true };
};

/// What the table knows of a request id.
struct OutcomeLookup {
    enum class Kind : std::uint8_t {
        /// Not seen; it is in progress from now on.
        New,
        InProgress,
        Finished,
        /// Every place is taken by a request in progress.
        Full,
    };

    Kind kind {};
    /// Set where the request has finished.
    std::shared_ptr<const RecordedOutcome> recorded;
};

/// Remembers request ids for a while, so that a repeat gets the outcome of the first and does not run. Deterministic;
/// not thread-safe.
class OutcomeTable {
public:
    static constexpr std::size_t maxIds = 65'536;
    static constexpr std::chrono::seconds window { 120 };
    static constexpr std::size_t maxStoredBodyBytes = 16 * 1024;
    /// Bodies of all outcomes together; the ids alone would allow 1 GiB.
    static constexpr std::size_t maxKeptBytes = 64 * 1024 * 1024;

    /// @param capacity Most ids remembered.
    explicit OutcomeTable(std::size_t capacity = maxIds);

    /// Looks an id up and takes note of it.
    OutcomeLookup begin(Instant now, std::string_view requestId);

    /// Records how a request ended. A body beyond the bound is left out.
    void finish(Instant now, std::string_view requestId, RecordedOutcome outcome);

    std::size_t size() const noexcept { return this->ids.size(); }
    /// @return Outcomes dropped before their time because the table was full.
    std::uint64_t droppedEarly() const noexcept { return this->droppedCount; }

private:
    struct Finished {
        Instant at;
        std::string requestId;
    };

    struct IdHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the name that lookups by view ask for.
        std::size_t operator()(std::string_view id) const noexcept { return std::hash<std::string_view> {}(id); }
    };
    using Ids = absl::flat_hash_map<std::string, std::shared_ptr<const RecordedOutcome>, IdHash, std::equal_to<>>;

    void expire(Instant now);
    void dropOldest();

    const std::size_t capacity;
    /// Empty value while in progress.
    Ids ids;
    std::size_t keptBytes {};
    std::deque<Finished> finished;
    std::uint64_t droppedCount {};
};

}
