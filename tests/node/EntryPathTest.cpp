#include "ChildProcess.h"
#include "SmallEntry.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace {

const std::string tools = std::string { TEASELTURN_BINARY_DIR } + "/tools/";

/// A temporary folder, removed by the destructor.
struct Folder {
    std::filesystem::path path;
    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "teaselturn-test-XXXXXX").string();
        this->path = ::mkdtemp(name.data());
    }
    ~Folder() { std::filesystem::remove_all(this->path); }
    std::string file(const std::string& name) const { return (this->path / name).string(); }
    std::string read(const std::string& name) const
    {
        std::stringstream text;
        text << std::ifstream { this->file(name) }.rdbuf();
        return text.str();
    }
};

std::vector<std::string> upstreamCommand(
    const SmallEntry& entry, const Folder& folder, const std::string& name, std::vector<std::string> faults = {})
{
    std::vector<std::string> command { tools + "stand-in-upstream", "--service", "tills", "--zone", "z", "--name", name,
        "--entries", entry.heartbeatAddress(), "--record", folder.file(name + ".rec"), "--request-slots", "3" };
    command.insert(command.end(), faults.begin(), faults.end());
    return command;
}

std::vector<std::string> loadCommand(const SmallEntry& entry, const Folder& folder, const std::string& duration)
{
    return { tools + "load-driver", "--entries", entry.requestAddress(), "--service", "tills", "--seed", "7", "--rate",
        "200", "--duration-ms", duration, "--deadline-ms", "4000", "--workers", "24", "--record",
        folder.file("load.rec") };
}

int check(const Folder& folder)
{
    ChildProcess process { { tools + "load-driver", "--check", folder.file("load.rec"), folder.file("a.rec"),
                               folder.file("b.rec") },
        folder.file("check.txt") };
    return process.wait();
}

}

TEST_CASE("requests survive a frozen and a leaving upstream", "[processes]")
{
    // Guards the invariants I1, I4, I5 and I7 with real processes: under load, one upstream freezes until its lease has
    // ended and then resumes, and the other leaves.
    const Folder folder;
    SmallEntry entry { 32 };
    ChildProcess first { upstreamCommand(entry, folder, "a"), folder.file("a.txt") };
    ChildProcess second { upstreamCommand(entry, folder, "b"), folder.file("b.txt") };
    REQUIRE(entry.waitFor([](const auto& counts) { return counts.count("a") && counts.count("b"); }));
    REQUIRE(entry.waitFor([](const auto& counts) { return counts.at("a") == 16 && counts.at("b") == 16; }));
    ChildProcess load { loadCommand(entry, folder, "9000"), folder.file("load.txt") };
    REQUIRE(entry.waitFor([&](const auto&) { return entry.finishedRequests() >= 100; }));
    first.signal(SIGSTOP);
    REQUIRE(entry.waitFor([](const auto& counts) { return counts.count("a") == 0; }));
    first.signal(SIGCONT);
    REQUIRE(entry.waitFor([](const auto& counts) { return counts.count("a") && counts.at("a") == 16; }));
    second.signal(SIGTERM);
    CHECK(second.wait() == 0);
    CHECK(load.wait() == 0);
    first.signal(SIGTERM);
    // The last upstream has no other upstream to release its slots to, so the test kills it.
    const auto result = check(folder);
    INFO(folder.read("load.txt") << folder.read("check.txt"));
    CHECK(result == 0);
    CHECK(folder.read("check.txt").find(" 0 answered") == std::string::npos);
    CHECK(folder.read("check.txt").find("0 lost, 0 doubled, 0 wrong owner") != std::string::npos);
}

TEST_CASE("the check of records detects an upstream that does not check its lease", "[processes]")
{
    // Shows that the check for a single owner can fail: an upstream that claims to check grants, but doesn't, freezes
    // with requests in flight and runs them after its slots have moved to the other upstream.
    const Folder folder;
    SmallEntry entry { 32 };
    ChildProcess first { upstreamCommand(entry, folder, "a", { "--no-checks", "--service-time-ms", "20" }),
        folder.file("a.txt") };
    ChildProcess second { upstreamCommand(entry, folder, "b"), folder.file("b.txt") };
    REQUIRE(entry.waitFor([](const auto& counts) { return counts.count("a") && counts.count("b"); }));
    REQUIRE(entry.waitFor([](const auto& counts) { return counts.at("a") == 16 && counts.at("b") == 16; }));
    ChildProcess load { loadCommand(entry, folder, "8000"), folder.file("load.txt") };
    REQUIRE(entry.waitFor([&](const auto&) { return entry.finishedRequests() >= 100; }));
    first.signal(SIGSTOP);
    REQUIRE(entry.waitFor([](const auto& counts) { return counts.count("a") == 0; }));
    const auto before = entry.finishedRequests();
    REQUIRE(entry.waitFor([&](const auto&) { return entry.finishedRequests() >= before + 100; }));
    first.signal(SIGCONT);
    CHECK(load.wait() == 0);
    const auto result = check(folder);
    INFO(folder.read("load.txt") << folder.read("check.txt"));
    CHECK(result == 1);
    CHECK(folder.read("check.txt").find(" 0 wrong owner") == std::string::npos);
}

TEST_CASE("late, crossed and short answers never reach a caller as its own", "[processes]")
{
    // Guards invariant I3: the load driver compares each response with its request.
    const Folder folder;
    SmallEntry entry { 32 };
    ChildProcess first { upstreamCommand(entry, folder, "a", { "--cross-answers", "7", "--answer-late", "11" }),
        folder.file("a.txt") };
    ChildProcess second { upstreamCommand(entry, folder, "b", { "--short-answers", "9" }), folder.file("b.txt") };
    REQUIRE(entry.waitFor(
        [](const auto& counts) { return counts.count("a") && counts.count("b") && counts.at("b") == 16; }));
    ChildProcess load { loadCommand(entry, folder, "2000"), folder.file("load.txt") };
    CHECK(load.wait() == 0);
    const auto result = check(folder);
    INFO(folder.read("load.txt") << folder.read("check.txt"));
    CHECK(result == 0);
    CHECK(folder.read("check.txt").find("0 wrong answers") != std::string::npos);
    CHECK(folder.read("check.txt").find(" 0 unknown") == std::string::npos);
}
