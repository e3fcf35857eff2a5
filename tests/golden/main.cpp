#include "matrix/Steps.h"

#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

/// Runs scripted sessions and compares their proposals, votes and commits with golden files.
/// usage: golden-sessions FOLDER [--write]   --write replaces the golden files
namespace {

using namespace teaselturn;
using namespace teaselturn::matrix;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20261204;

struct Session {
    const char* name;
    void (*play)(Cluster&);
};

constexpr Session sessions[] = {
    { "take-over",
        [](Cluster& cluster) {
            cluster.kill(101);
            cluster.run(5s);
        } },
    { "hand-over",
        [](Cluster& cluster) {
            cluster.leave(103);
            cluster.run(5s);
        } },
    { "operators-race",
        [](Cluster& cluster) {
            cluster.submit(12, BundleVersion { 2 }, 1);
            cluster.submit(18, BundleVersion { 2 }, 2);
            cluster.run(5s);
        } },
    { "leader-lost",
        [](Cluster& cluster) {
            cluster.kill(cluster.leader());
            cluster.run(5s);
        } },
    { "zone-cut-off",
        [](Cluster& cluster) {
            cluster.cutZone(ZoneId { 2 }, true, true);
            cluster.run(6s);
            cluster.heal();
            cluster.run(5s);
        } },
};

std::string play(const Session& session)
{
    Cluster cluster { seed };
    std::string text = "seed " + std::to_string(seed) + "\n";
    if (!bootCluster(cluster)) {
        return text + "the cluster did not come up\n";
    }
    cluster.run(12s);
    cluster.isRecording = true;
    session.play(cluster);
    for (const auto& line : cluster.transcript) {
        text += line + "\n";
    }
    for (const auto& violation : cluster.violations()) {
        text += "violation " + violation + "\n";
    }
    return text + (cluster.areAllServed() ? "all slots are served\n" : "some slots are not served\n");
}

std::string readFile(const std::string& path)
{
    std::ifstream file { path };
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void printFirstDifference(const std::string& expected, const std::string& actual)
{
    std::istringstream left { expected };
    std::istringstream right { actual };
    std::string leftLine;
    std::string rightLine;
    for (int number = 1;; ++number) {
        const auto hasLeft = static_cast<bool>(std::getline(left, leftLine));
        const auto hasRight = static_cast<bool>(std::getline(right, rightLine));
        if (!hasLeft && !hasRight) {
            return;
        }
        if (!hasLeft || !hasRight || leftLine != rightLine) {
            std::printf("  line %d\n  expected: %s\n  played:   %s\n", number, hasLeft ? leftLine.c_str() : "(end)", hasRight ? rightLine.c_str() : "(end)");
            return;
        }
    }
}

}

int main(int argc, char** argv)
{
    const auto isWriting = argc == 3 && std::strcmp(argv[2], "--write") == 0;
    if (argc != 2 && !isWriting) {
        std::puts("usage: golden-sessions FOLDER [--write]");
        return 2;
    }
    auto failures = 0;
    for (const auto& session : sessions) {
        const auto path = std::string { argv[1] } + "/" + session.name + ".txt";
        const auto text = play(session);
        if (isWriting) {
            std::ofstream { path } << text;
            continue;
        }
        const auto expected = readFile(path);
        const auto isSame = text == expected;
        failures += isSame ? 0 : 1;
        std::printf("%s: %s\n", session.name, isSame ? "as recorded" : "differs");
        if (!isSame) {
            printFirstDifference(expected, text);
        }
    }
    return failures == 0 ? 0 : 1;
}
