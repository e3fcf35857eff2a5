#pragma once

#include "core/registry/KeyBalance.h"
#include "core/registry/KeyHeartbeat.h"
#include "core/registry/KeyLoadTable.h"
#include "core/registry/RegistryState.h"
#include "teaselturn/Command.h"
#include "teaselturn/Message.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <optional>
#include <string>
#include <vector>

namespace teaselturn {

/// Intervals of the leases on numbered keys.
struct KeyLeaseTiming {
    /// Length of a lease as its holder counts it. It outlasts the loss of a leader: a heartbeat interval of 0.9 s, an
    /// election of 1 s and the second after which a caller tries another member.
    Duration lease { std::chrono::milliseconds { 4'000 } };
    /// A holder's clock runs slow by at most one part in this many.
    std::int64_t driftDivisor { 40 };
    /// How long after the first announcement of a service keys are placed, so that all upstreams of a start are there.
    Duration settleTime { std::chrono::milliseconds { 1'200 } };
    /// How often keys are balanced.
    Duration balanceInterval { std::chrono::milliseconds { 500 } };
    /// How long before the target's heartbeat released keys are assigned to it: the time of a commit across regions.
    Duration assignLead { std::chrono::milliseconds { 130 } };
    /// How long the answer to a heartbeat waits for news. A heartbeat counts as failed after a second without an answer, and
    /// the next one follows about 900 ms after it.
    Duration answerHold { std::chrono::milliseconds { 500 } };
    /// The same where the upstream leaves: its departure is to be confirmed soon, and moves of its keys begin at once.
    Duration leavingAnswerHold { std::chrono::milliseconds { 200 } };
};

/// Grants leases on numbered keys, moves keys and finds upstreams that fell silent. Used by the leader only; everything
/// it must not lose is in the log, the rest it learns anew in a term. Not thread-safe.
///
/// A key gets its next owner only when the last one released it, was restarted, or cannot hold a lease any more.
class KeyCoordinator {
public:
    explicit KeyCoordinator(KeyLeaseTiming timing = {})
        : timing(timing)
    {
    }

    /// Starts a term: any lease may have been granted just before.
    void becameLeader(Instant now, const RegistryState& state);

    /// @return The command that the heartbeat calls for before it can be answered, or nothing.
    std::optional<Command> registration(const KeyHeartbeat& heartbeat, const RegistryState& state) const;

    /// Takes a heartbeat of a registered upstream.
    /// @return False where it was overtaken by a later one of the same start; it is then not to be answered with grants.
    bool note(Instant now, const KeyHeartbeat& heartbeat);

    /// Takes note of keys that the heartbeat shows to be free. decide() assigns them shortly before their next owner's
    /// heartbeat, so that entry VMs hear of the owner about when it does.
    void takeReleases(Instant now, const KeyHeartbeat& heartbeat, const RegistryState& state);

    /// @return True where the answer to the heartbeat would tell its sender to hold other keys than it does.
    bool hasNews(const KeyHeartbeat& heartbeat, const RegistryState& state) const;

    /// Takes note that the answer to an upstream's latest heartbeat is held back, so that news reach it at once until then.
    void answerHeld(const UpstreamKey& key, Instant until);

    /// Renews the upstream's lease from when its latest heartbeat came, and says what it is to hold.
    KeyHeartbeatReply answer(const KeyHeartbeat& heartbeat, const RegistryState& state);

    void addLoad(Instant now, const KeyLoadReport& report, const RegistryState& state);
    /// @return Entry VMs that reported load lately.
    std::uint32_t entryCount(Instant now) const;

    /// @return What is to be proposed now. Called every tick while no former decision is pending.
    std::vector<Command> decide(Instant now, const RegistryState& state);

private:
    /// What the leader knows of a start of an upstream beside the registry.
    struct Contact {
        UpstreamKey key;
        std::uint64_t sequence {};
        Instant heardAt;
        Instant nextExpected;
        /// Until when an answer to it is held back. In the past where none is.
        Instant reachableUntil;
        /// No lease granted in this term lasts longer. Empty where none was granted.
        std::optional<Instant> leaseEnd;
    };

    /// Keys that the answer to a heartbeat left out for the first time.
    struct Omission {
        std::string service;
        UpstreamKey owner;
        KeyNumber first {};
        KeyNumber last {};
        Fence fence;
        std::uint64_t sequence {};
        /// Set once the owner has let go; the assignment is proposed at that time.
        std::optional<Instant> assignAt;
        std::string handover;
    };

    const Contact* contact(const UpstreamKey& key) const;
    bool isLeasePossible(Instant now, const UpstreamKey& key, const RegistryState& state) const;
    bool isFree(Instant now, const KeyRange& range, const RegistryState& state) const;
    bool isOmitted(const KeyRange& range) const;
    bool isOmissionDue(const KeyRange& range, const RegistryState& state) const;
    /// @return Assignments of released keys that are due.
    std::vector<Command> assignReleased(Instant now, const RegistryState& state);
    /// @return Time until the upstream can be told of an assignment that is proposed now, as far as it can be foreseen. Zero
    /// where the answer to a heartbeat is held back.
    Duration timeToReach(Instant now, const UpstreamKey& key) const;
    void omit(std::string_view service, const KeyRange& range, std::uint64_t sequence);
    std::vector<KeyHolder> holders(std::string_view service, const RegistryState& state) const;
    void findSilent(Instant now, const RegistryState& state, std::vector<Command>& commands) const;
    void place(Instant now, std::string_view service, const RegistryState& state, std::vector<Command>& commands);
    void balance(std::string_view service, const RegistryState& state, std::vector<Command>& commands);
    void countAnswers(Instant now, const ServiceKeyLoad& load, const RegistryState& state);
    void learnServiceTimes(Instant now, const RegistryState& state);

    KeyLeaseTiming timing;
    Instant leaderSince;
    Instant balancedAt;
    absl::flat_hash_map<std::string, Contact> contacts;
    std::vector<Omission> omissions;
    absl::btree_map<std::string, KeyLoadTable, std::less<>> loads;
    /// Answers of an upstream since its service time was last estimated.
    struct Answers {
        Instant since;
        double count {};
        double busyMs {};
    };

    absl::flat_hash_map<UpstreamKey, Answers> answers;
    /// Estimated time that an upstream works on a request, without waiting, in milliseconds.
    absl::flat_hash_map<UpstreamKey, double> serviceTimes;
    absl::flat_hash_map<NodeId, Instant> entries;
    absl::flat_hash_map<std::string, Instant> firstAnnounced;
};

}
