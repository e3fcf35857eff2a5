#pragma once

#include "adapters/codec/OwnershipCodec.h"
#include "core/ledger/LedgerService.h"
#include "core/ownership/BoundedLoadPlacement.h"
#include "core/ownership/EntryService.h"
#include "core/support/SeededRandom.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Deterministic simulation of a deployment, driven by one seed: the core of every process with fake clocks, network,
/// disks and upstreams.
namespace teaselturn::matrix {

using support::SeededRandom;

using Ledger = LedgerService<SeededRandom, BoundedLoadPlacement, OwnershipCodec>;
using Entry = EntryService<OwnershipCodec>;

/// Simulated time since the start of the test. Every process also has its own clock.
using Time = Duration;

/// Protocol violations that the checks must detect. The fakes introduce them; the production code is unchanged.
enum class Mutation : std::uint8_t {
    None,
    /// Upstreams continue to serve after their lease has ended.
    IgnoresLeaseEnd,
    /// Upstreams apply replies to heartbeats that have timed out.
    AcceptsLateReplies,
    /// Disks acknowledge writes before they are synced.
    AcknowledgesBeforeSync,
    /// A restarted entry VM counts as having reverted to an older bundle, as its highest bundle is not reset.
    RevertsState,
    /// From 12 s on, members do not receive AppendRequests that contain slot assignments.
    LosesAssignments,
};

/// Process number: ledger members 1 to 9, entry VMs 11 to 99, upstreams from 100.
using ProcessId = std::uint32_t;

struct Clock {
    double rate { 1.0 };

    Instant at(Time time) const { return Instant { std::chrono::seconds { 1000 } + Duration { static_cast<std::int64_t>(static_cast<double>(time.count()) * this->rate) } }; }
};

struct Process {
    ProcessId id {};
    ZoneId zone;
    Clock clock;
    bool isRunning {};
    bool isFrozen {};
};

struct LedgerProcess : Process {
    /// Synced disk content, which survives a kill.
    MemberState disk;
    std::unique_ptr<Ledger> service;
    std::optional<LedgerEffects> pendingWrite;
    /// Simulated time at which the write in progress is synced.
    Time writeCompletesAt {};
    /// Writes acknowledged without a sync, under Mutation::AcknowledgesBeforeSync.
    std::vector<MemberEffects> unsynced;
    bool isDiskFull {};
};

struct EntryProcess : Process {
    std::unique_ptr<Entry> service;
    BundleVersion highestBundle;
    std::vector<CompletedProposal> finished;
};

/// Fake upstream. Its lease starts when it sends the heartbeat; it stops serving when the lease has ended.
struct UpstreamProcess : Process {
    Heartbeat heartbeat;
    UpstreamId upstream;
    std::map<SlotId, Fence> grants;
    std::vector<SlotRelease> releaseWanted;
    Instant leaseEnd;
    /// Position of the lease manager in the list of entry VMs.
    std::size_t leaseManager {};
    std::uint64_t attempt {};
    bool isHeartbeatOutstanding {};
    Instant sentAt;
    Instant nextHeartbeat;
};

struct PeerPacket {
    PeerMessage message;
};
struct HeartbeatPacket {
    Heartbeat heartbeat;
};
struct HeartbeatReplyPacket {
    ResultCode code {};
    HeartbeatReply reply;
};

struct Packet {
    ProcessId from {};
    ProcessId to {};
    std::variant<PeerPacket, HeartbeatPacket, HeartbeatReplyPacket> content;
};

/// Event in the cluster at which a fault can be injected.
struct Event {
    enum class Kind : std::uint8_t { Sent,
        Applied,
        SnapshotWritten };

    Kind kind {};
    ProcessId actor {};
    const Packet* packet {};
    const Command* command {};
};

struct Network {
    std::uint32_t lossPercent {};
    std::uint32_t duplicatePercent {};
    Duration extraDelay {};
    bool isReordering {};
    /// Half of the heartbeat replies go to a random upstream.
    bool isMisroutingReplies {};
};

class Cluster {
public:
    static constexpr std::uint32_t memberCount = 5;
    static constexpr std::uint32_t entryCount = 9;
    static constexpr std::uint32_t zoneCount = 4;
    static constexpr ServiceId moveService { 1 };
    static constexpr ServiceId keepService { 2 };

    explicit Cluster(std::uint64_t seed, Mutation mutation = Mutation::None);

    /// Runs until the condition holds.
    /// @param limit Maximum simulated time to run.
    /// @return False if the condition did not hold within the limit.
    bool runUntil(Duration limit, const std::function<bool()>& condition);
    void run(Duration length);
    Time now() const { return this->time; }

    /// Called on every event. The callback must not remove the process that caused the event.
    std::function<void(const Event&)> observer;

    // Actions.
    ProcessId addUpstream(ZoneId zone, ServiceId service, bool checksGrants);
    void leave(ProcessId upstream);
    /// Submits a bundle at an entry VM.
    /// @param variant Distinguishes bundles of the same version.
    /// @return Sequence number of the proposal, or zero if the entry VM is down.
    std::uint64_t submit(ProcessId entry, BundleVersion version, std::uint32_t variant);
    std::uint64_t propose(ProcessId entry, Command command);
    /// Proposes a command directly at the leader. In production, operators change members through a bundle.
    /// @return False if there is no leader.
    bool proposeAtLeader(Command command);
    std::uint64_t nextDiskNumber() { return ++this->diskNumber; }

    // Faults.
    /// @param tearsWrite Leaves half of the entries of the write in progress on the disk, if it contains no hard state.
    void kill(ProcessId process, bool tearsWrite = false);
    void start(ProcessId process);
    void loseDisk(ProcessId member);
    void freeze(ProcessId process, bool isFrozen);
    void fillDisk(ProcessId member, bool isFull);
    void cutZone(ZoneId zone, bool outgoing, bool incoming);
    void cutProcess(ProcessId process, bool outgoing, bool incoming);
    void heal();
    Network network;

    // Observations.
    ProcessId leader() const;
    ProcessId leaseManagerOf(ProcessId upstream) const;
    ProcessId anyFollower() const;
    /// Returns true if a quorum of the voters is running and connected.
    bool hasQuorum() const;
    bool isServed(SlotId slot) const;
    bool areAllServed() const;
    bool isConverged() const;
    const OwnershipState* leaderState() const;
    LedgerProcess& member(ProcessId id) { return this->members.at(id); }
    EntryProcess& entry(ProcessId id) { return this->entries.at(id); }
    UpstreamProcess& upstream(ProcessId id) { return this->upstreams.at(id); }
    const std::map<ProcessId, UpstreamProcess>& allUpstreams() const { return this->upstreams; }
    ZoneId zoneOf(ProcessId process) const;
    const std::vector<std::string>& violations() const { return this->violationTexts; }
    /// Returns the longest time that a slot of the service was without a serving owner since resetGaps().
    Duration longestGap(ServiceId service) const;
    void resetGaps();
    void recordViolation(const std::string& description);
    /// Returns the leader's newest member configuration, or nothing if there is no leader.
    std::vector<MemberSpec> configuration() const;
    /// Checks at the end of a run that the highest acknowledged bundle is in force on every entry VM.
    void checkAcknowledged();
    /// Lines for golden files: proposals, votes, commits and results. Recorded while isRecording is set.
    std::vector<std::string> transcript;
    bool isRecording {};

private:
    Process* find(ProcessId id);
    const Process* find(ProcessId id) const;
    void send(Packet packet);
    Duration delayBetween(ProcessId from, ProcessId to);
    bool isCut(ProcessId from, ProcessId to) const;
    void step();
    void deliver(Packet packet);
    void deliverTo(LedgerProcess& process, const Packet& packet);
    void deliverTo(EntryProcess& process, const Packet& packet);
    void deliverTo(UpstreamProcess& process, const Packet& packet);
    void tickUpstream(UpstreamProcess& process);
    void executeEffects(LedgerProcess& process);
    void finishWrite(LedgerProcess& process);
    void executeEffects(EntryProcess& process);
    static void applyWrite(MemberState& disk, const MemberEffects& effects, std::size_t entryLimit);
    void recordApplied(ProcessId process, const AppliedEntry& applied);
    void recordBundleInForce(EntryProcess& process);
    void checkOwnership();
    void trackGaps();
    SignedBundle makeBundle(BundleVersion version, std::uint32_t variant) const;

    SeededRandom random;
    Mutation mutation;
    Time time {};
    std::map<ProcessId, LedgerProcess> members;
    std::map<ProcessId, EntryProcess> entries;
    std::map<ProcessId, UpstreamProcess> upstreams;
    std::multimap<Time, Packet> inTransit;
    std::map<ProcessId, std::vector<Packet>> backlog;
    std::set<std::pair<ProcessId, ProcessId>> processCuts;
    std::set<ZoneId> outgoingCuts;
    std::set<ZoneId> incomingCuts;
    std::uint64_t diskNumber { 100 };
    std::uint64_t bootNumber { 1 };
    std::uint64_t operatorSequence {};
    std::vector<MemberSpec> initialMembers;
    /// Every entry that any process has applied.
    std::map<LogIndex, LogEntry> appliedEntries;
    std::map<SlotId, Time> lastServed;
    /// Configuration of the last known leader.
    std::vector<MemberSpec> lastConfiguration;
    std::map<ServiceId, Duration> gaps;
    /// Bundles whose acceptance was reported to the operator, with the sequence number of the proposal.
    std::map<BundleVersion, std::uint64_t> acknowledgedBundles;
    std::map<std::pair<ProcessId, std::uint64_t>, BundleVersion> submittedBundles;
    std::vector<std::string> violationTexts;
};

/// Returns a one-line description for transcripts, or an empty string if transcripts omit the command or message.
std::string describe(const Command& command);
std::string describe(const PeerMessage& message);

}
