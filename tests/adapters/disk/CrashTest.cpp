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

constexpr int stepsInRun = 14;

/// What a data folder is to hold.
struct Content {
    HardState hardState;
    std::optional<LedgerSnapshot> snapshot;
    std::vector<LogEntry> entries;

    std::uint64_t base() const { return this->snapshot ? this->snapshot->lastIndex.value : 0; }
    std::uint64_t last() const { return this->base() + this->entries.size(); }

    void cutFrom(LogIndex index)
    {
        std::erase_if(this->entries, [index](const auto& entry) { return entry.index >= index; });
    }

    void cover(const LedgerSnapshot& covering)
    {
        this->snapshot = covering;
        std::erase_if(this->entries, [&covering](const auto& entry) { return entry.index <= covering.lastIndex; });
    }

    friend bool operator==(const Content&, const Content&) = default;
};

/// One call of the data folder, with the states that it passes through: the first is that before it, the last that
/// after it.
struct Step {
    MemberEffects effects;
    /// The call is saveSnapshot where set, write otherwise.
    std::optional<LedgerSnapshot> saved;
    std::vector<Content> states;
};

class StepSource {
public:
    explicit StepSource(std::uint64_t seed)
        : random(seed)
    {
    }

    Step next()
    {
        Step step;
        step.states.push_back(this->content);
        // Terms begin at 1: a log needs a vote before it.
        switch (this->content.hardState.term == Term {} ? 0 : this->random.below(8)) {
        case 0:
            this->vote(step);
            break;
        case 1:
            this->vote(step);
            this->cut(step);
            this->append(step);
            break;
        case 2:
        case 3:
            if (this->content.last() > this->content.base()) {
                step.saved = this->snapshotAt(this->content.base() + 1 + this->random.below(this->content.last() - this->content.base()));
                this->content.cover(*step.saved);
            }
            break;
        case 4:
            this->install(step);
            break;
        default:
            this->append(step);
        }
        step.states.push_back(this->content);
        return step;
    }

private:
    std::vector<LogEntry> makeEntries()
    {
        std::vector<LogEntry> result;
        const auto count = 1 + this->random.below(4);
        for (auto index = this->content.last() + 1; result.size() < count; ++index) {
            result.push_back({ this->content.hardState.term, LogIndex { index }, IsolateHotKey { ServiceId { 1 }, std::string(this->random.below(90), 'k') } });
        }
        return result;
    }

    LedgerSnapshot snapshotAt(std::uint64_t index)
    {
        return { LogIndex { index }, this->content.hardState.term, { { NodeId { 1 }, DiskId { 7 }, true } }, std::vector<std::uint8_t>(this->random.below(200), 5) };
    }

    void vote(Step& step)
    {
        ++this->content.hardState.term.value;
        this->content.hardState.votedFor = NodeId { static_cast<std::uint32_t>(1 + this->random.below(5)) };
        step.effects.hardState = this->content.hardState;
        step.states.push_back(this->content);
    }

    void cut(Step& step)
    {
        if (this->content.last() > this->content.base()) {
            step.effects.truncateFrom = LogIndex { this->content.base() + 1 + this->random.below(this->content.entries.size()) };
            this->content.cutFrom(*step.effects.truncateFrom);
        }
    }

    void append(Step& step)
    {
        step.effects.append = this->makeEntries();
        this->content.entries.insert(this->content.entries.end(), step.effects.append.begin(), step.effects.append.end());
    }

    /// A snapshot of another history, either above the log or inside it.
    void install(Step& step)
    {
        this->vote(step);
        step.effects.install = this->snapshotAt(this->content.base() + 1 + this->random.below(this->content.entries.size() + 3));
        if (this->content.last() > step.effects.install->lastIndex.value) {
            step.effects.truncateFrom = LogIndex { step.effects.install->lastIndex.value + 1 };
            this->content.cutFrom(*step.effects.truncateFrom);
            step.states.push_back(this->content);
        }
        this->content.cover(*step.effects.install);
        step.states.push_back(this->content);
        this->append(step);
    }

    support::SeededRandom random;
    Content content;
};

/// Drives a data folder on a fake disk into a fault, and checks what the next processes find.
class CrashRun {
public:
    CrashRun(std::uint64_t seed, DiskMutations mutations)
        : random(seed)
        , steps(seed)
        , disk(std::make_shared<FakeDisk>(seed, mutations))
    {
    }

    /// @return What was wrong, or "none".
    std::string run(DiskFault fault)
    {
        this->disk->arm(fault);
        this->allowed = { {} };
        if (auto data = this->open()) {
            for (auto i = 0; i < stepsInRun && this->wrong == "none" && this->take(*data, this->steps.next()); ++i) { }
            this->checkRefusal(*data, fault.kind);
        }
        this->isCovered = !this->disk->hasFired();
        this->end(fault.kind == DiskFaultKind::Crash);
        this->recover();
        return this->wrong;
    }

    /// @return True where the run ended before the fault.
    bool isBeyondEnd() const { return this->isCovered; }

private:
    Result<DataFolder<FakeFiles>> open() { return DataFolder<FakeFiles>::open(FakeFiles { this->disk }, "/data", DiskId { 7 }); }

    void fail(const std::string& what)
    {
        if (this->wrong == "none") {
            this->wrong = what;
        }
    }

    static Status call(DataFolder<FakeFiles>& data, const Step& step)
    {
        return step.saved ? data.saveSnapshot(*step.saved) : data.write(step.effects);
    }

    bool take(DataFolder<FakeFiles>& data, Step step)
    {
        const auto status = call(data, step);
        this->allowed = status ? std::vector { step.states.back() } : std::move(step.states);
        if (!status && status.error() != ResultCode::LogWriteFailed) {
            this->fail("a write failed with " + status.failure().describe());
        }
        this->isRefusing = !status;
        return status.hasValue();
    }

    void checkRefusal(DataFolder<FakeFiles>& data, DiskFaultKind kind)
    {
        if (kind == DiskFaultKind::None || !this->isRefusing) {
            return;
        }
        MemberEffects effects;
        effects.append.push_back({ Term { 1 }, LogIndex { 1 }, NoOperation {} });
        if (data.write(effects).error() != ResultCode::LogWriteFailed || data.saveSnapshot({}).error() != ResultCode::LogWriteFailed) {
            this->fail("a write was accepted after a failed one");
        }
    }

    void end(bool mayLosePower)
    {
        if (mayLosePower && this->random.below(4) != 0) {
            this->disk->losePower();
        } else {
            this->disk->endProcess();
        }
    }

    /// Opens the folder and narrows the allowed states to what it holds.
    std::optional<DataFolder<FakeFiles>> reopen(bool mayFail)
    {
        auto data = this->open();
        if (!data) {
            if (!mayFail || !this->disk->hasFired()) {
                this->fail("the folder does not open: " + data.failure().describe());
            }
            return std::nullopt;
        }
        auto state = data->takeState();
        Content content { state.hardState, std::move(state.snapshot), std::move(state.entries) };
        if (std::find(this->allowed.begin(), this->allowed.end(), content) == this->allowed.end()) {
            this->fail("the folder holds a state up to index " + std::to_string(content.last()) + " in place of one up to " + std::to_string(this->allowed.front().last()));
        }
        this->allowed = { std::move(content) };
        return std::move(*data);
    }

    void recover()
    {
        // Another crash in the middle of opening, then one right behind it: what a start has read must stay.
        this->disk->arm({ DiskFaultKind::Crash, this->random.below(16) });
        this->reopen(true);
        this->end(true);
        this->reopen(false);
        this->disk->losePower();
        if (auto data = this->reopen(false)) {
            auto content = this->allowed.front();
            MemberEffects effects;
            effects.append.push_back({ content.hardState.term, LogIndex { content.last() + 1 }, NoOperation {} });
            content.entries.push_back(effects.append.front());
            if (!data->write(effects)) {
                this->fail("a write fails after recovery");
            }
            this->allowed = { std::move(content) };
        }
        this->disk->losePower();
        this->reopen(false);
    }

    support::SeededRandom random;
    StepSource steps;
    std::shared_ptr<FakeDisk> disk;
    std::vector<Content> allowed;
    std::string wrong { "none" };
    bool isRefusing {};
    bool isCovered {};
};

/// Runs a fault at every operation of the runs of some seeds.
/// @return Number of runs with a fault, and the first thing that was wrong.
std::pair<std::uint64_t, std::string> runEverywhere(DiskFaultKind kind, DiskMutations mutations = {})
{
    std::uint64_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        for (std::uint64_t operation = 0;; ++operation) {
            CrashRun run { seed, mutations };
            if (const auto wrong = run.run({ kind, operation }); wrong != "none") {
                return { runs, "seed " + std::to_string(seed) + ", operation " + std::to_string(operation) + ": " + wrong };
            }
            if (run.isBeyondEnd()) {
                break;
            }
            ++runs;
        }
    }
    return { runs, "none" };
}

}

TEST_CASE("a crash at any operation keeps what was acknowledged")
{
    // Guards against a missing sync of a file or folder, and against a wrong order of writes, renames and removals.
    const auto [runs, wrong] = runEverywhere(DiskFaultKind::Crash);
    CHECK(wrong == "none");
    CHECK(runs > 3'000);
}

TEST_CASE("a failed write, a full disk or a failed sync ends writing and keeps what was acknowledged")
{
    // Guards against writing behind a torn record, and against trusting data whose sync failed.
    for (const auto kind : { DiskFaultKind::ShortWrite, DiskFaultKind::DiskFull, DiskFaultKind::FailedSync }) {
        CAPTURE(static_cast<int>(kind));
        const auto [runs, wrong] = runEverywhere(kind);
        CHECK(wrong == "none");
        CHECK(runs > 1'000);
    }
}

TEST_CASE("the crash checks notice a disk that does not sync")
{
    CHECK(runEverywhere(DiskFaultKind::Crash, { .skipsSync = true }).second != "none");
    CHECK(runEverywhere(DiskFaultKind::Crash, { .skipsFolderSync = true }).second != "none");
}
