#include "adapters/disk/DataFolder.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <filesystem>

namespace teaselturn {

namespace {

    /// A folder in the working directory that the destructor removes.
    struct TemporaryFolder {
        TemporaryFolder()
        {
            std::string pattern = "data-folder-benchmark-XXXXXX";
            this->path = ::mkdtemp(pattern.data());
        }
        ~TemporaryFolder() { std::filesystem::remove_all(this->path); }
        TemporaryFolder(const TemporaryFolder&) = delete;
        TemporaryFolder& operator=(const TemporaryFolder&) = delete;

        Result<DataFolder<>> open() const { return DataFolder<>::open({}, this->path + "/data", DiskId { 7 }); }

        std::string path;
    };

    MemberEffects makeAppend(std::uint64_t from, std::uint64_t count)
    {
        MemberEffects effects;
        for (auto index = from; index < from + count; ++index) {
            effects.append.push_back({ Term {}, LogIndex { index }, DrainUpstream { UpstreamId { 4'000 }, SessionId { 4'100 } } });
        }
        return effects;
    }

    /// Appends to the log and syncs. The column Time includes the wait for the disk, CPU is processor time only.
    void append(benchmark::State& run)
    {
        const TemporaryFolder folder;
        auto data = folder.open();
        const auto count = static_cast<std::uint64_t>(run.range(0));
        std::uint64_t next = 1;
        for (auto iteration : run) {
            static_cast<void>(iteration);
            if (!data->write(makeAppend(next, count))) {
                run.SkipWithError("the write failed");
            }
            next += count;
        }
        run.counters["bytesPerEntry"] = static_cast<double>(data->logBytes()) / static_cast<double>(next - 1);
    }
    BENCHMARK(append)->Name("DataFolder/append/entries")->Arg(1)->Arg(16)->Arg(64)->Arg(512)->UseRealTime();

    void vote(benchmark::State& run)
    {
        const TemporaryFolder folder;
        auto data = folder.open();
        MemberEffects effects;
        effects.hardState = HardState { Term { 1 }, NodeId { 1 }, DiskId { 1 } };
        for (auto iteration : run) {
            static_cast<void>(iteration);
            if (!data->write(effects)) {
                run.SkipWithError("the write failed");
            }
        }
    }
    BENCHMARK(vote)->Name("DataFolder/vote")->UseRealTime();

    /// Argument: size of the encoded state in bytes.
    void saveSnapshot(benchmark::State& run)
    {
        const TemporaryFolder folder;
        auto data = folder.open();
        const LedgerSnapshot snapshot { LogIndex { 1 }, Term {}, {}, std::vector<std::uint8_t>(static_cast<std::size_t>(run.range(0)), 42) };
        for (auto iteration : run) {
            static_cast<void>(iteration);
            if (!data->saveSnapshot(snapshot)) {
                run.SkipWithError("the write failed");
            }
        }
        run.SetBytesProcessed(run.iterations() * run.range(0));
    }
    BENCHMARK(saveSnapshot)->Name("DataFolder/saveSnapshot/bytes")->Arg(1 << 20)->Arg(50 << 20)->UseRealTime()->Unit(benchmark::kMillisecond);

    /// Opens the folder, as at process start. Argument: number of entries in the log, written 64 at a time.
    void openFolder(benchmark::State& run)
    {
        const TemporaryFolder folder;
        constexpr std::uint64_t entriesPerWrite = 64;
        if (auto data = folder.open()) {
            for (std::uint64_t next = 1; next <= static_cast<std::uint64_t>(run.range(0)); next += entriesPerWrite) {
                if (!data->write(makeAppend(next, entriesPerWrite))) {
                    run.SkipWithError("the write failed");
                }
            }
        }
        for (auto iteration : run) {
            static_cast<void>(iteration);
            if (!folder.open()) {
                run.SkipWithError("the folder does not open");
            }
        }
    }
    BENCHMARK(openFolder)->Name("DataFolder/open/entries")->Arg(64)->Arg(8'192)->UseRealTime()->Unit(benchmark::kMillisecond);

    void checksum(benchmark::State& run)
    {
        const std::vector<std::uint8_t> bytes(static_cast<std::size_t>(run.range(0)), 42);
        for (auto iteration : run) {
            static_cast<void>(iteration);
            benchmark::DoNotOptimize(crc32c(bytes));
        }
        run.SetBytesProcessed(run.iterations() * run.range(0));
    }
    BENCHMARK(checksum)->Name("LogRecord/crc32c/bytes")->Arg(64)->Arg(1 << 16);

}

}
