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

/// Settings of a run besides the load pattern. Tests use them to turn mechanisms off for comparison.
struct SimulationOptions {
    std::uint64_t seed { 1 };
    RegistryOptions registry;
    /// False if entry VMs are not configured with the bandwidth of their network link.
    bool isLinkSpeedKnown { true };
    Placement placement { Placement::Subset };
};

/// Simulates a load pattern: callers, entry VMs with a policy each, upstreams and the registry.
/// @tparam Policy Dispatch policy of the entry VMs.
template <DispatchPolicy Policy>
class Simulation {
public:
    Simulation(const Pattern& pattern, const SimulationOptions& options);

    Figures run();

private:
    /// Time before the first request, in which upstreams register and keys are assigned.
    static constexpr std::chrono::milliseconds settleTime { 3'000 };
    /// Shortest time after the last arrival in which responses are still counted.
    static constexpr std::chrono::milliseconds tailTime { 3'000 };
    /// Groups of entry VMs that the waves of the arrivals reach one after the other.
    static constexpr std::size_t waveGroups = 4;
    static constexpr std::chrono::milliseconds networkDelay { 2 };
    static constexpr std::chrono::milliseconds heartbeatInterval { 870 };
    static constexpr std::chrono::milliseconds releaseInterval { 100 };
    static constexpr std::chrono::milliseconds reportInterval { 500 };
    static constexpr std::chrono::milliseconds impatientRetryDelay { 5 };
    static constexpr std::chrono::milliseconds momentaryTime { 400 };
    static constexpr std::size_t requestBytes { 300 };
    static constexpr std::size_t maxReportedKeys { 96 };

    struct Caller {
        Instant firstAt;
        std::optional<KeyNumber> key;
        /// Number of its route.
        std::size_t route {};
        std::uint32_t retriesLeft {};
        bool isImpatient {};
    };

    struct Attempt {
        std::shared_ptr<Caller> caller;
        Instant deadline;
        /// UpstreamWork::number of the outstanding attempt; 0 if there is none.
        std::uint64_t work {};
        UpstreamModel* upstream {};
    };

    /// Connections of one entry VM to one upstream.
    struct Connections {
        std::uint32_t open {};
        std::uint32_t busy {};
    };

    struct Entry {
        NodeId node;
        std::unique_ptr<Policy> policy;
        absl::flat_hash_map<PendingRequestId, Attempt> attempts;
        std::optional<Instant> timer;
        double linkBytesPerSecond {};
        Instant linkFreeAt;
        absl::flat_hash_map<const UpstreamModel*, Connections> connections;
    };

    bool isActive(const Disturbance& disturbance) const;
    /// @return Arrivals at an entry VM's group at the moment, relative to the mean over time.
    double waveFactor(std::size_t entryNumber) const;
    /// @return Arrivals at an entry VM at the moment, relative to the mean of all entry VMs over time.
    double entryWeight(std::size_t entryNumber) const;
    double arrivalRate() const;
    KeyNumber chooseKey();
    std::size_t chooseRoute();
    Entry& chooseEntry();
    void scheduleDisturbances();
    /// Slows an upstream down now and then, for the rest of the disturbance.
    void slowDownMomentarily(UpstreamModel& upstream, const Disturbance& disturbance);
    void recordSpread();
    void addUpstream(std::size_t number);
    void sendHeartbeat(UpstreamModel& upstream, bool isRegular);
    void replaceUpstreams(std::size_t number, std::size_t count, Duration interval);
    void reportLoad(Entry& entry);
    void handleArrival();
    void attempt(const std::shared_ptr<Caller>& caller);
    void executeDecisions(Entry& entry, const DispatchDecisions& decisions);
    void sendTo(Entry& entry, const SendRequest& send);
    void handleAttemptEnd(Entry& entry, PendingRequestId id, std::uint64_t work, AttemptOutcome outcome, std::optional<ReportedLoad> load);
    void handleRefusal(Entry& entry, const RefuseRequest& refusal);
    void handleDelivery(Entry& entry, PendingRequestId id);
    void scheduleTimer(Entry& entry);
    double bound() const;

    const Pattern& pattern;
    SimulationOptions options;
    EventQueue events;
    ModelRandom random;
    Instant startAt;
    std::vector<RouteLoad> routeLoads;
    std::vector<std::shared_ptr<const CompiledRoute>> routes;
    std::deque<UpstreamModel> upstreams;
    std::deque<Entry> entries;
    RegistryModel registry;
    std::uint64_t lastId {};
    Figures figures;
};

}

#include "load-model/SimulationInlines.h"
