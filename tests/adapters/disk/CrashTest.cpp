#include "adapters/disk/DataFolder.h"
#include "adapters/disk/FakeFiles.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace teaselturn;
using support::DiskFault;
using support::DiskFaultKind;
using support::DiskMutations;
using support::FakeDisk;
using support::FakeFiles;

namespace {

constexpr int stepsPerRun = 14;

/// Expected content of a data folder.
struct Content {
    HardState hardState;
    std::optional<LedgerSnapshot> snapshot;
    std::vector<LogEntry> entries;

    std::uint64_t snapshotIndex() const { return this->snapshot ? this->snapshot->lastIndex.value : 0; }
    std::uint64_t lastIndex() const { return this->snapshotIndex() + this->entries.size(); }

    void truncateFrom(LogIndex index)
    {
        std::erase_if(this->entries, [index](const auto& entry) { return entry.index >= index; });
    }

    void applySnapshot(const LedgerSnapshot& newSnapshot)
    {
        this->snapshot = newSnapshot;
        std::erase_if(this->entries, [&newSnapshot](const auto& entry) { return entry.index <= newSnapshot.lastIndex; });
    }

    friend bool operator==(const Content&, const Content&) = default;
};

/// One operation on the data folder, and the states that the folder passes through, from the one before the operation
/// to the one after it.
struct Step {
    MemberEffects effects;
    /// If set, the operation is saveSnapshot() with this snapshot, otherwise write() with the effects.
    std::optional<LedgerSnapshot> savedSnapshot;
    std::vector<Content> states;
};

/// Generates random operations.
class StepGenerator {
public:
    explicit StepGenerator(std::uint64_t seed)
        : random(seed)
    {
    }

    Step next()
    {
        Step step;
        step.states.push_back(this->content);
        // The first operation is a vote, since terms begin at 1 and an entry needs a term.
        switch (this->content.hardState.term == Term {} ? 0 : this->random.below(8)) {
        case 0:
            this->addVote(step);
            break;
        case 1:
            this->addVote(step);
            this->addTruncation(step);
            this->addEntries(step);
            break;
        case 2:
        case 3:
            if (this->content.lastIndex() > this->content.snapshotIndex()) {
                step.savedSnapshot = this->snapshotAt(this->content.snapshotIndex() + 1 + this->random.below(this->content.lastIndex() - this->content.snapshotIndex()));
                this->content.applySnapshot(*step.savedSnapshot);
            }
            break;
        case 4:
            this->addInstall(step);
            break;
        default:
            this->addEntries(step);
        }
        step.states.push_back(this->content);
        return step;
    }

private:
    std::vector<LogEntry> makeEntries()
    {
        std::vector<LogEntry> result;
        const auto count = 1 + this->random.below(4);
        for (auto index = this->content.lastIndex() + 1; result.size() < count; ++index) {
            result.push_back({ this->content.hardState.term, LogIndex { index }, IsolateHotKey { ServiceId { 1 }, std::string(this->random.below(90), 'k') } });
        }
        return result;
    }

    LedgerSnapshot snapshotAt(std::uint64_t index)
    {
        return { LogIndex { index }, this->content.hardState.term, { { NodeId { 1 }, DiskId { 7 }, true } }, std::vector<std::uint8_t>(this->random.below(200), 5) };
    }

    void addVote(Step& step)
    {
        ++this->content.hardState.term.value;
        this->content.hardState.votedFor = NodeId { static_cast<std::uint32_t>(1 + this->random.below(5)) };
        step.effects.hardState = this->content.hardState;
        step.states.push_back(this->content);
    }

    void addTruncation(Step& step)
    {
        if (this->content.lastIndex() > this->content.snapshotIndex()) {
            step.effects.truncateFrom = LogIndex { this->content.snapshotIndex() + 1 + this->random.below(this->content.entries.size()) };
            this->content.truncateFrom(*step.effects.truncateFrom);
        }
    }

    void addEntries(Step& step)
    {
        step.effects.append = this->makeEntries();
        this->content.entries.insert(this->content.entries.end(), step.effects.append.begin(), step.effects.append.end());
    }

    /// Adds the installation of a conflicting snapshot whose last index is within the log or after it.
    void addInstall(Step& step)
    {
        this->addVote(step);
        step.effects.install = this->snapshotAt(this->content.snapshotIndex() + 1 + this->random.below(this->content.entries.size() + 3));
        if (this->content.lastIndex() > step.effects.install->lastIndex.value) {
            step.effects.truncateFrom = LogIndex { step.effects.install->lastIndex.value + 1 };
            this->content.truncateFrom(*step.effects.truncateFrom);
            step.states.push_back(this->content);
        }
        this->content.applySnapshot(*step.effects.install);
        step.states.push_back(this->content);
        this->addEntries(step);
    }

    support::SeededRandom random;
    Content content;
};

/// Runs operations on a data folder until the fake disk injects a fault, then checks the state that later processes
/// read.
class CrashRun {
public:
    CrashRun(std::uint64_t seed, DiskMutations mutations)
        : random(seed)
        , steps(seed)
        , disk(std::make_shared<FakeDisk>(seed, mutations))
    {
    }

    /// @return The first violation, or "none".
    std::string run(DiskFault fault)
    {
        this->disk->scheduleFault(fault);
        this->allowedStates = { {} };
        if (auto data = this->open()) {
            for (auto i = 0; i < stepsPerRun && this->violation == "none" && this->runStep(*data, this->steps.next()); ++i) { }
            this->checkWritesFail(*data, fault.kind);
        }
        this->endedBeforeFault = !this->disk->hasFaultOccurred();
        this->endProcess(fault.kind == DiskFaultKind::Crash);
        this->recover();
        return this->violation;
    }

    /// @return True if the run ended before the operation of the fault.
    bool hasEndedBeforeFault() const { return this->endedBeforeFault; }

private:
    Result<DataFolder<FakeFiles>> open() { return DataFolder<FakeFiles>::open(FakeFiles { this->disk }, "/data", DiskId { 7 }); }

    void recordViolation(const std::string& text)
    {
        if (this->violation == "none") {
            this->violation = text;
        }
    }

    static Status execute(DataFolder<FakeFiles>& data, const Step& step)
    {
        return step.savedSnapshot ? data.saveSnapshot(*step.savedSnapshot) : data.write(step.effects);
    }

    bool runStep(DataFolder<FakeFiles>& data, Step step)
    {
        const auto status = execute(data, step);
        this->allowedStates = status ? std::vector { step.states.back() } : std::move(step.states);
        if (!status && status.error() != ResultCode::LogWriteFailed) {
            this->recordViolation("a write failed with " + status.failure().describe());
        }
        this->hasWriteFailed = !status;
        return status.hasValue();
    }

    void checkWritesFail(DataFolder<FakeFiles>& data, DiskFaultKind kind)
    {
        if (kind == DiskFaultKind::None || !this->hasWriteFailed) {
            return;
        }
        MemberEffects effects;
        effects.append.push_back({ Term { 1 }, LogIndex { 1 }, NoOperation {} });
        if (data.write(effects).error() != ResultCode::LogWriteFailed || data.saveSnapshot({}).error() != ResultCode::LogWriteFailed) {
            this->recordViolation("a write succeeded after a failed one");
        }
    }

    void endProcess(bool mayLosePower)
    {
        if (mayLosePower && this->random.below(4) != 0) {
            this->disk->losePower();
        } else {
            this->disk->endProcess();
        }
    }

    /// Opens the folder, checks that its state is an allowed one, and allows only that state from then on.
    std::optional<DataFolder<FakeFiles>> reopen(bool mayFail)
    {
        auto data = this->open();
        if (!data) {
            if (!mayFail || !this->disk->hasFaultOccurred()) {
                this->recordViolation("the folder cannot be opened: " + data.failure().describe());
            }
            return std::nullopt;
        }
        auto state = data->takeState();
        Content content { state.hardState, std::move(state.snapshot), std::move(state.entries) };
        if (std::find(this->allowedStates.begin(), this->allowedStates.end(), content) == this->allowedStates.end()) {
            this->recordViolation("the folder holds a state up to index " + std::to_string(content.lastIndex()) + " instead of one up to " + std::to_string(this->allowedStates.front().lastIndex()));
        }
        this->allowedStates = { std::move(content) };
        return std::move(*data);
    }

    void recover()
    {
        // Crashes while the folder is being opened and again right after: a state that was read once must persist.
        this->disk->scheduleFault({ DiskFaultKind::Crash, this->random.below(16) });
        this->reopen(true);
        this->endProcess(true);
        this->reopen(false);
        this->disk->losePower();
        if (auto data = this->reopen(false)) {
            auto content = this->allowedStates.front();
            MemberEffects effects;
            effects.append.push_back({ content.hardState.term, LogIndex { content.lastIndex() + 1 }, NoOperation {} });
            content.entries.push_back(effects.append.front());
            if (!data->write(effects)) {
                this->recordViolation("a write failed after recovery");
            }
            this->allowedStates = { std::move(content) };
        }
        this->disk->losePower();
        this->reopen(false);
    }

    support::SeededRandom random;
    StepGenerator steps;
    std::shared_ptr<FakeDisk> disk;
    std::vector<Content> allowedStates;
    std::string violation { "none" };
    bool hasWriteFailed {};
    bool endedBeforeFault {};
};

/// Injects a fault at every operation of the runs of 60 seeds.
/// @return Number of runs with a fault, and the first violation or "none".
std::pair<std::uint64_t, std::string> runFaultAtEveryOperation(DiskFaultKind kind, DiskMutations mutations = {})
{
    std::uint64_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        for (std::uint64_t operation = 0;; ++operation) {
            CrashRun run { seed, mutations };
            if (const auto violation = run.run({ kind, operation }); violation != "none") {
                return { runs, "seed " + std::to_string(seed) + ", operation " + std::to_string(operation) + ": " + violation };
            }
            if (run.hasEndedBeforeFault()) {
                break;
            }
            ++runs;
        }
    }
    return { runs, "none" };
}

}

TEST_CASE("acknowledged writes survive a crash at any operation")
{
    // Guards against a missing sync of a file or folder, and against a wrong order of writes, renames and removals.
    const auto [runs, violation] = runFaultAtEveryOperation(DiskFaultKind::Crash);
    CHECK(violation == "none");
    CHECK(runs > 3'000);
}

TEST_CASE("after a failed write, a full disk or a failed sync, further writes fail and acknowledged writes survive")
{
    // Guards against appending to an incomplete record and against relying on data whose sync failed.
    for (const auto kind : { DiskFaultKind::ShortWrite, DiskFaultKind::DiskFull, DiskFaultKind::FailedSync }) {
        CAPTURE(static_cast<int>(kind));
        const auto [runs, violation] = runFaultAtEveryOperation(kind);
        CHECK(violation == "none");
        CHECK(runs > 1'000);
    }
}

TEST_CASE("the crash checks detect a disk that does not sync")
{
    CHECK(runFaultAtEveryOperation(DiskFaultKind::Crash, { .skipsSync = true }).second != "none");
    CHECK(runFaultAtEveryOperation(DiskFaultKind::Crash, { .skipsFolderSync = true }).second != "none");
}
