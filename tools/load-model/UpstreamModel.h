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

/// A request at an upstream.
struct UpstreamWork {
    std::uint64_t number {};
    std::optional<KeyNumber> key;
    /// When the caller stops waiting; work that has not begun by then is dropped.
    Instant deadline;
    std::function<void(AttemptOutcome)> ended;
};

/// A server with a few slots and a short queue. It works slower while it is cold and as its slots fill up, refuses what
/// its queue cannot take, and runs requests only for keys that it holds.
class UpstreamModel {
public:
    /// @param speed Relative to the usual speed.
    UpstreamModel(EventQueue& events, ModelRandom& random, const Pattern& pattern, RegisterUpstream announcement, double speed);

    void receive(UpstreamWork work);
    /// The caller left: work that has not begun is dropped.
    void abandon(std::uint64_t number);

    KeyHeartbeat heartbeat();
    /// @param sentAt When the heartbeat was sent.
    /// @return True where keys are to be released that requests still run on.
    bool takeAnswer(Instant sentAt, const KeyHeartbeatReply& answer);

    void beginDrain() noexcept { this->announcement.isDraining = true; }
    void stop() noexcept { this->isGone = true; }
    bool isStopped() const noexcept { return this->isGone; }
    void setSlowness(double factor) noexcept { this->slowness = factor; }
    void setRefusedShare(double share) noexcept { this->refusedShare = share; }

    const UpstreamKey& key() const noexcept { return this->announcement.key; }
    const std::string& service() const noexcept { return this->announcement.service; }
    double speed() const noexcept { return this->ownSpeed; }
    std::uint64_t arrivals() const noexcept { return this->arrived; }
    std::uint64_t misdirected() const noexcept { return this->misdirections; }

private:
    bool holds(std::optional<KeyNumber> wanted) const noexcept;
    void begin(UpstreamWork work);
    void finish(const std::optional<KeyNumber>& worked);

    EventQueue& events;
    ModelRandom& random;
    const Pattern& pattern;
    RegisterUpstream announcement;
    double ownSpeed;
    Instant startedAt;
    bool isGone {};
    double slowness { 1 };
    double refusedShare {};
    std::uint32_t running {};
    std::deque<UpstreamWork> waiting;
    absl::flat_hash_map<KeyNumber, std::uint32_t> busyKeys;
    std::uint64_t sequence {};
    std::uint64_t arrived {};
    std::uint64_t misdirections {};
    /// Fence by key; zero where the key is not held. Keys that are to be released stay while requests run on them.
    std::vector<std::uint64_t> fences;
    std::vector<bool> isGranted;
    std::vector<ReleasedKeys> released;
    Instant leaseEnd;
};

}
