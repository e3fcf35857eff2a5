#pragma once

#include "load-model/EventQueue.h"
#include "load-model/Figures.h"
#include "load-model/Pattern.h"
#include "load-model/Policies.h"
#include "load-model/RegistryModel.h"
#include "load-model/UpstreamModel.h"

#include <deque>
#include <memory>
#include <string>

namespace teaselturn::model {

/// Settings of a run beside the load: mechanisms of the product that a comparison turns off.
struct SimulationOptions {
    std::uint64_t seed { 1 };
    RegistryOptions registry;
    /// False where entry VMs do not know the speed of their link.
    bool knowsLink { true };
};

/// Plays a pattern on the simulated clock: callers, entry VMs with a policy each, upstreams and the registry.
/// @tparam Policy Decides on each entry VM.
template <DispatchPolicy Policy>
class Simulation {
public:
    Simulation(const Pattern& pattern, const SimulationOptions& options);

    Figures run();

private:
    /// Time before the first request, in which upstreams announce themselves and keys are placed.
    static constexpr std::chrono::milliseconds settleTime { 3'000 };
    /// Time after the last request in which answers still come.
    static constexpr std::chrono::milliseconds tailTime { 3'000 };
    static constexpr std::chrono::milliseconds networkDelay { 2 };
    static constexpr std::chrono::milliseconds heartbeatInterval { 870 };
    static constexpr std::chrono::milliseconds releaseInterval { 100 };
    static constexpr std::chrono::milliseconds reportInterval { 500 };
    static constexpr std::chrono::milliseconds impatientReturn { 5 };
    static constexpr std::size_t requestBytes { 300 };
    static constexpr std::size_t maxReportedKeys { 96 };

    struct Caller {
        Instant firstAt;
        std::optional<KeyNumber> key;
        std::uint32_t returns {};
        bool isImpatient {};
    };

    struct Attempt {
        std::shared_ptr<Caller> caller;
        Instant deadline;
        /// Number of the attempt at an upstream that is under way.
        std::uint64_t work {};
        UpstreamModel* upstream {};
    };

    struct Entry {
        NodeId node;
        std::unique_ptr<Policy> policy;
        absl::flat_hash_map<PendingRequestId, Attempt> attempts;
        std::optional<Instant> timer;
        Instant linkFreeAt;
    };

    bool isActive(const Disturbance& disturbance) const;
    double arrivalRate() const;
    KeyNumber chooseKey();
    void applyDisturbances();
    void addUpstream(std::size_t number);
    void beat(UpstreamModel& upstream, bool isRegular);
    void replaceNext(std::size_t number, std::size_t count, Duration interval);
    void reportLoad(Entry& entry);
    void arrive();
    void attempt(const std::shared_ptr<Caller>& caller);
    void perform(Entry& entry, const DispatchDecisions& decisions);
    void sendTo(Entry& entry, const SendRequest& send);
    void ended(Entry& entry, PendingRequestId id, std::uint64_t work, AttemptOutcome outcome);
    void refused(Entry& entry, const RefuseRequest& refusal);
    void delivered(Entry& entry, PendingRequestId id);
    void schedule(Entry& entry);
    double bound() const;

    const Pattern& pattern;
    SimulationOptions options;
    EventQueue events;
    ModelRandom random;
    Instant startAt;
    std::shared_ptr<const CompiledRoute> route;
    std::deque<UpstreamModel> upstreams;
    std::deque<Entry> entries;
    RegistryModel registry;
    std::uint64_t lastId {};
    Figures figures;
};

}

#include "load-model/SimulationInlines.h"
