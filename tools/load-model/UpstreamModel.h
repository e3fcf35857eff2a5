#pragma once

#include "core/dispatch/UpstreamLoad.h"
#include "core/registry/KeyHeartbeat.h"
#include "load-model/EventQueue.h"
#include "load-model/ModelRandom.h"
#include "load-model/Pattern.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace teaselturn::model {

/// A request received by an upstream.
struct UpstreamWork {
    std::uint64_t number {};
    std::optional<KeyNumber> key;
    /// Deadline of the request; the upstream drops a request that has not started by then.
    Instant deadline;
    /// Mean work of such a request at an upstream of speed 1.
    std::chrono::milliseconds work {};
    /// The load is empty if the upstream states none.
    std::function<void(AttemptOutcome, std::optional<ReportedLoad>)> onEnded;
};

/// A simulated upstream with a few request slots and a short queue. Its service times grow while it is cold and as its
/// slots fill up. When its queue is full it refuses requests, or never responds to them if the pattern says so. It runs
/// requests only for keys that are granted to it.
class UpstreamModel {
public:
    /// @param speed Speed relative to the mean of all upstreams; divides service times.
    UpstreamModel(EventQueue& events, ModelRandom& random, const Pattern& pattern, RegisterUpstream announcement, double speed);

    void receive(UpstreamWork work);
    /// Drops a request that has not started; a running request is not affected.
    void cancel(std::uint64_t number);

    KeyHeartbeat heartbeat();
    /// Applies the reply to a heartbeat.
    /// @param sentAt Time at which the heartbeat was sent; the lease counts from it.
    /// @return True if the caller should send another heartbeat soon: released keys are to be reported, or requests still
    /// run on revoked keys.
    bool handleReply(Instant sentAt, const KeyHeartbeatReply& reply);

    void beginDrain() noexcept { this->announcement.isDraining = true; }
    void stop() noexcept { this->hasStopped = true; }
    bool isStopped() const noexcept { return this->hasStopped; }
    void setSlowness(double factor) noexcept { this->slowness = factor; }
    /// Makes work done before `until` take `factor` times as long.
    void slowDownUntil(Instant until, double factor) noexcept
    {
        this->slowUntil = until;
        this->momentarySlowness = factor;
    }
    void setRefusedShare(double share) noexcept { this->refusedShare = share; }
    void setPartitioned(bool value) noexcept { this->isPartitioned = value; }

    const UpstreamKey& key() const noexcept { return this->announcement.key; }
    const std::string& service() const noexcept { return this->announcement.service; }
    double speed() const noexcept { return this->ownSpeed; }
    std::uint64_t arrivals() const noexcept { return this->arrived; }
    /// @return Attempts received in each interval of 100 ms since the start of the simulated clock.
    const absl::flat_hash_map<std::int64_t, std::uint32_t>& arrivalsByWindow() const noexcept { return this->windows; }
    std::uint64_t misdirected() const noexcept { return this->misdirections; }
    /// @return Requests that got no response because the queue was full or the upstream was partitioned.
    std::uint64_t ignored() const noexcept { return this->ignoredRequests; }

    static constexpr std::chrono::milliseconds windowLength { 100 };
    static std::int64_t windowOf(Instant time) noexcept { return time.time_since_epoch() / windowLength; }

private:
    std::optional<ReportedLoad> load() const;
    bool holds(std::optional<KeyNumber> requestedKey) const noexcept;
    Duration drawWorkingTime(double mean);
    void begin(UpstreamWork work);
    void finish(const std::optional<KeyNumber>& finishedKey);

    EventQueue& events;
    ModelRandom& random;
    const Pattern& pattern;
    RegisterUpstream announcement;
    double ownSpeed;
    Instant startedAt;
    bool hasStopped {};
    double slowness { 1 };
    Instant slowUntil;
    double momentarySlowness { 1 };
    double refusedShare {};
    bool isPartitioned {};
    std::uint32_t running {};
    std::deque<UpstreamWork> waiting;
    absl::flat_hash_map<KeyNumber, std::uint32_t> busyKeys;
    std::uint64_t sequence {};
    std::uint64_t arrived {};
    absl::flat_hash_map<std::int64_t, std::uint32_t> windows;
    std::uint64_t misdirections {};
    std::uint64_t ignoredRequests {};
    /// Fence by key; 0 if the key is not held. A revoked key stays held while requests run on it.
    std::vector<std::uint64_t> fences;
    std::vector<bool> isGranted;
    std::vector<ReleasedKeys> released;
    Instant leaseEnd;
};

}
