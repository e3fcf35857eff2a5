#include "Seeds.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace teaselturn::fuzz {

/// Replaced by the definition of a target that has seeds.
__attribute__((weak)) std::vector<std::string> seeds()
{
    return {};
}

}

namespace {

using Random = std::mt19937_64;

std::string randomBytes(Random& random)
{
    // Small values and printable bytes reach deeper into length fields and text parsers than uniform bytes.
    const auto style = random() % 3;
    std::string input(random() % 512, '\0');
    std::ranges::generate(input, [&] {
        return static_cast<char>(style == 0 ? random() : style == 1 ? random() % 4
                                                                    : 32 + random() % 96);
    });
    return input;
}

/// Changes one place of an input.
void damage(Random& random, std::string& input)
{
    static constexpr std::string_view alphabet = "{}[]\",:0179-.eE/*\\ \n\x80\xff";
    const auto at = random() % (input.size() + 1);
    const auto length = random() % 24;
    switch (random() % 6) {
    case 0:
        input.erase(at, length);
        break;
    case 1:
        input.insert(at, input.substr(random() % (input.size() + 1), length));
        break;
    case 2:
        input.insert(at, 1, alphabet[random() % alphabet.size()]);
        break;
    case 3:
        input.resize(at);
        break;
    case 4:
        if (at < input.size()) {
            input[at] = alphabet[random() % alphabet.size()];
        }
        break;
    default:
        if (at < input.size()) {
            input[at] = static_cast<char>(input[at] ^ (1U << random() % 8));
        }
    }
}

void run(std::string_view input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}

}

/// Drives a fuzz target without libFuzzer: the same seeded inputs in every run. The first argument is the seed, the
/// second the number of random inputs. Where the target has valid documents, as many damaged copies of them follow.
int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204ULL;
    const auto runs = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 20'000ULL;
    const auto documents = teaselturn::fuzz::seeds();
    std::printf("seed %llu, %llu inputs, %zu valid documents\n", seed, runs, documents.size());
    Random random { seed };
    for (const auto& document : documents) {
        run(document);
    }
    for (std::uint64_t i = 0; i < runs; ++i) {
        run(randomBytes(random));
        if (documents.empty()) {
            continue;
        }
        auto input = documents[random() % documents.size()];
        for (auto changes = 1 + random() % 4; changes > 0; --changes) {
            damage(random, input);
        }
        run(input);
    }
    return 0;
}
