#include "adapters/codec/Codec.h"
#include "adapters/crypto/Digest.h"
#include "core/support/SampleCommands.h"

#include <benchmark/benchmark.h>

namespace teaselturn {

namespace {

    PeerMessage makeAppend(std::uint64_t entries)
    {
        AppendRequest request { Term { 3 }, LogIndex { 9 }, Term { 3 }, LogIndex { 8 }, {}, 44 };
        for (std::uint64_t i = 0; i < entries; ++i) {
            request.entries.push_back({ Term { 3 }, LogIndex { 10 + i }, DrainUpstream { UpstreamId { 4'000 }, SessionId { 4'100 } } });
        }
        return request;
    }

    /// Encodes an AppendRequest. Without entries it is a heartbeat.
    void encodeAppend(benchmark::State& run)
    {
        const auto message = makeAppend(static_cast<std::uint64_t>(run.range(0)));
        for (auto iteration : run) {
            static_cast<void>(iteration);
            benchmark::DoNotOptimize(encodeMessage(message));
        }
        run.counters["bytes"] = static_cast<double>(encodeMessage(message).size());
    }
    BENCHMARK(encodeAppend)->Name("Codec/encode/AppendRequest/entries")->Arg(0)->Arg(1)->Arg(64)->Arg(512);

    void decodeAppend(benchmark::State& run)
    {
        const auto bytes = encodeMessage(makeAppend(static_cast<std::uint64_t>(run.range(0))));
        for (auto iteration : run) {
            static_cast<void>(iteration);
            benchmark::DoNotOptimize(decodeMessage(bytes));
        }
        run.counters["bytes"] = static_cast<double>(bytes.size());
    }
    BENCHMARK(decodeAppend)->Name("Codec/decode/AppendRequest/entries")->Arg(0)->Arg(1)->Arg(64)->Arg(512);

    /// Measures the size and the encoding time of one entry. Arguments: index of the command type, elements in its
    /// list.
    void encodeEntry(benchmark::State& run)
    {
        const auto entries = support::sampleEntries(static_cast<std::uint32_t>(run.range(1)));
        const auto& entry = entries.at(static_cast<std::size_t>(run.range(0)));
        for (auto iteration : run) {
            static_cast<void>(iteration);
            benchmark::DoNotOptimize(encodeLogEntry(entry));
        }
        run.counters["bytes"] = static_cast<double>(encodeLogEntry(entry).size());
    }
    BENCHMARK(encodeEntry)->Name("Codec/encode/LogEntry/type/elements")->ArgsProduct({ benchmark::CreateDenseRange(0, 11, 1), { 1, 100 } });

    /// Reports the encoded sizes of messages of fixed size.
    void messageBytes(benchmark::State& run)
    {
        for (auto iteration : run) {
            static_cast<void>(iteration);
            run.counters["AppendReply"] = static_cast<double>(encodeMessage(AppendReply {}).size());
            run.counters["VoteRequest"] = static_cast<double>(encodeMessage(VoteRequest {}).size());
            run.counters["VoteReply"] = static_cast<double>(encodeMessage(VoteReply {}).size());
            run.counters["SnapshotReply"] = static_cast<double>(encodeMessage(SnapshotReply {}).size());
        }
    }
    BENCHMARK(messageBytes)->Name("Codec/bytes")->Iterations(1);

    /// Computes the authentication code of a frame, which both its sender and its receiver do.
    void authenticate(benchmark::State& run)
    {
        const std::vector<std::uint8_t> key(32, 7);
        const std::vector<std::uint8_t> bytes(static_cast<std::size_t>(run.range(0)), 42);
        const HmacSha256 hmac { key };
        for (auto iteration : run) {
            static_cast<void>(iteration);
            benchmark::DoNotOptimize(hmac.compute(bytes));
        }
    }
    BENCHMARK(authenticate)->Name("HmacSha256/bytes")->Arg(64)->Arg(1'200)->Arg(1 << 16);

}

}
