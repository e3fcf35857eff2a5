#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

/// Drives a fuzz target without libFuzzer: the same seeded inputs in every run. The first argument is the seed, the
/// second the number of inputs.
int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204ULL;
    const auto runs = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 20'000ULL;
    std::printf("seed %llu, %llu inputs\n", seed, runs);
    std::mt19937_64 random { seed };
    std::vector<std::uint8_t> input;
    for (std::uint64_t run = 0; run < runs; ++run) {
        input.resize(random() % 512);
        // Small values and printable bytes reach deeper into length fields and text parsers than uniform bytes.
        const auto style = random() % 3;
        for (auto& byte : input) {
            byte = static_cast<std::uint8_t>(style == 0 ? random() : style == 1 ? random() % 4
                                                                                : 32 + random() % 96);
        }
        LLVMFuzzerTestOneInput(input.data(), input.size());
    }
    return 0;
}
