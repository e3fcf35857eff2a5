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

/// The core of every process of a deployment over fakes of clock, network, disk and upstream, decided by one seed.
namespace teaselturn::matrix {

using support::SeededRandom;

using Ledger = LedgerService<SeededRandom, BoundedLoadPlacement, OwnershipCodec>;
using Entry = EntryService<OwnershipCodec>;

/// Time of the test since its start; every process has a clock of its own.
using Time = Duration;

/// Breaks of a rule that the checks must notice. They act in the fakes, not in the product.
enum class Mutation : std::uint8_t {
    None,
    /// Upstreams go on serving after their lease.
    IgnoresLeaseEnd,
    /// Upstreams apply answers to heartbeats that they have given up on.
    AcceptsLateAnswers,
    /// Disks acknowledge writes before they are synced.
    AcknowledgesBeforeSync,
    /// A restarted entry VM's state is turned back to an older one.
    RevertsState,
    /// No member ever receives an assignment of slots.
    LosesAssignments,
};

/// A process by its number: ledger members 1 to 9, entry VMs 11 to 99, upstreams from 100.
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
    /// What survives a kill.
    MemberState disk;
    std::unique_ptr<Ledger> service;
    std::optional<LedgerEffects> writing;
    Time writtenAt {};
    /// Writes that were acknowledged without being synced, under Mutation::AcknowledgesBeforeSync.
    std::vector<MemberEffects> unsynced;
    bool isDiskFull {};
};

struct EntryProcess : Process {
    std::unique_ptr<Entry> service;
    BundleVersion highestBundle;
    std::vector<CompletedProposal> finished;
};

/// Counts its lease from before it asked and stops serving when it has ended.
struct UpstreamProcess : Process {
    Heartbeat heartbeat;
    UpstreamId upstream;
    std::map<SlotId, Fence> grants;
    std::vector<SlotRelease> releaseWanted;
    Instant leaseEnd;
    /// Position of the lease manager in the list of entry VMs.
    std::size_t leaseManager {};
    std::uint64_t attempt {};
    bool isWaiting {};
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

/// Something that happened in the cluster, at which a fault can be brought about.
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
    /// Answers to heartbeats are delivered to another upstream than the one that asked.
    bool isCrossing {};
};

class Cluster {
public:
    static constexpr std::uint32_t memberCount = 5;
    static constexpr std::uint32_t entryCount = 9;
    static constexpr std::uint32_t zoneCount = 4;
    static constexpr ServiceId moveService { 1 };
    static constexpr ServiceId keepService { 2 };

    explicit Cluster(std::uint64_t seed, Mutation mutation = Mutation::None);

    /// Runs until a condition holds.
    /// @return False where it did not hold within the limit.
    bool runUntil(Duration limit, const std::function<bool()>& condition);
    void run(Duration length);
    Time now() const { return this->time; }

    /// Calls back on every event. The callback must not remove processes of which it handles the event.
    std::function<void(const Event&)> observer;

    // Actions.
    ProcessId addUpstream(ZoneId zone, ServiceId service, bool checksGrants);
    void leave(ProcessId upstream);
    /// Submits a bundle at an entry VM.
    std::uint64_t submit(ProcessId entry, BundleVersion version, std::uint32_t variant);
    std::uint64_t propose(ProcessId entry, Command command);
    /// Proposes a command straight at the leader, as an operator's member change does through a bundle.
    bool proposeAtLeader(Command command);
    std::uint64_t nextDiskNumber() { return ++this->diskNumber; }

    // Faults.
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
    /// @return True where a quorum of the voters runs and can exchange messages.
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
    const std::vector<std::string>& violations() const { return this->found; }
    /// @return Longest time for which a slot of a service had no serving owner since resetGaps().
    Duration longestGap(ServiceId service) const;
    void resetGaps();
    void violation(const std::string& what);
    /// Members that the current configuration counts, for member changes.
    std::vector<MemberSpec> configuration() const;
    /// Checks what must hold at the end: acknowledged bundles are in force everywhere.
    void checkAcknowledged();
    /// Lines of the session for golden files: messages, decisions, results. Empty unless it is recorded.
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
    void drive(LedgerProcess& process);
    void finishWrite(LedgerProcess& process);
    void drive(EntryProcess& process);
    static void writeTo(MemberState& disk, const MemberEffects& effects, std::size_t entryLimit);
    void noteApplied(ProcessId process, const AppliedEntry& applied);
    void noteBundle(EntryProcess& process);
    void checkOwnership();
    void trackGaps();
    SignedBundle makeBundle(BundleVersion version, std::uint32_t variant) const;

    SeededRandom random;
    Mutation mutation;
    Time time {};
    std::map<ProcessId, LedgerProcess> members;
    std::map<ProcessId, EntryProcess> entries;
    std::map<ProcessId, UpstreamProcess> upstreams;
    std::multimap<Time, Packet> wire;
    std::map<ProcessId, std::vector<Packet>> backlog;
    std::set<std::pair<ProcessId, ProcessId>> processCuts;
    std::set<ZoneId> outgoingCuts;
    std::set<ZoneId> incomingCuts;
    std::uint64_t diskNumber { 100 };
    std::uint64_t bootNumber { 1 };
    std::uint64_t operatorSequence {};
    std::vector<MemberSpec> initialMembers;
    /// Every entry that any process applied.
    std::map<LogIndex, LogEntry> reference;
    std::map<SlotId, Time> lastServed;
    /// Configuration as a leader last had it.
    std::vector<MemberSpec> lastConfiguration;
    std::map<ServiceId, Duration> gaps;
    /// Bundles that were acknowledged to an operator.
    std::map<BundleVersion, std::uint64_t> acknowledged;
    std::map<std::pair<ProcessId, std::uint64_t>, BundleVersion> submitted;
    std::vector<std::string> found;
};

/// @return A one-line description for transcripts.
std::string describe(const Command& command);
std::string describe(const PeerMessage& message);

}
