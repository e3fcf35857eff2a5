#include "FuzzSeeds.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

using Input = std::vector<std::uint8_t>;

/// Mutates up to three places of a valid input, so that the decoder gets past the unchanged parts.
void mutate(Input& input, std::mt19937_64& random)
{
    for (auto count = random() % 4; count > 0 && !input.empty(); --count) {
        const auto at = random() % input.size();
        const auto position = input.begin() + static_cast<std::ptrdiff_t>(at);
        switch (random() % 6) {
        case 0:
            input[at] = static_cast<std::uint8_t>(random());
            break;
        case 1:
            input[at] ^= static_cast<std::uint8_t>(1U << random() % 8);
            break;
        case 2:
            // For length fields of four bytes: gives values from zero to far beyond the end of the input.
            for (auto i = at; i < std::min(at + 4, input.size()); ++i) {
                input[i] = random() % 2 == 0 ? 0xff : 0;
            }
            break;
        case 3:
            input.resize(at);
            break;
        case 4:
            input.erase(position, position + static_cast<std::ptrdiff_t>(random() % std::min<std::size_t>(16, input.size() - at)));
            break;
        default:
            input.insert(position, random() % 16, static_cast<std::uint8_t>(random()));
        }
    }
}

void fillWithRandomBytes(Input& input, std::mt19937_64& random)
{
    input.resize(random() % 512);
    // Small values and printable bytes get further in parsers of length fields and text than uniform bytes.
    const auto byteKind = random() % 3;
    for (auto& byte : input) {
        byte = static_cast<std::uint8_t>(byteKind == 0 ? random() : byteKind == 1 ? random() % 4
                                                                                  : 32 + random() % 96);
    }
}

}

/// Runs a fuzz target without libFuzzer, on the same seeded inputs in every run. The first argument is the seed, the
/// second the number of inputs. If the target has valid inputs, three of four inputs are mutated copies of them.
int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204ULL;
    const auto runs = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 20'000ULL;
    const auto valid = fuzzSeeds ? fuzzSeeds() : std::vector<Input> {};
    std::printf("seed %llu, %llu inputs, %zu valid inputs\n", seed, runs, valid.size());
    std::mt19937_64 random { seed };
    for (const auto& input : valid) {
        LLVMFuzzerTestOneInput(input.data(), input.size());
    }
    Input input;
    for (std::uint64_t run = 0; run < runs; ++run) {
        if (!valid.empty() && run % 4 != 0) {
            input = valid[random() % valid.size()];
            mutate(input, random);
        } else {
            fillWithRandomBytes(input, random);
        }
        LLVMFuzzerTestOneInput(input.data(), input.size());
    }
    return 0;
}
