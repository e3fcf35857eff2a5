#include "adapters/disk/DataFolder.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace teaselturn;

namespace {

/// A folder in the build tree that is removed at the end of the test.
struct TemporaryFolder {
    TemporaryFolder()
    {
        std::string pattern = std::string { TEASELTURN_BINARY_DIR } + "/data-XXXXXX";
        this->path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(this->path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    std::string file(const std::string& name) const { return this->path + "/data/" + name; }

    std::string path;
};

Result<DataFolder<>> openFolder(const TemporaryFolder& folder, std::uint64_t disk = 7)
{
    return DataFolder<>::open({}, folder.path + "/data", DiskId { disk });
}

std::vector<LogEntry> makeEntries(std::uint64_t from, std::uint64_t through, std::uint64_t term = 1)
{
    std::vector<LogEntry> result;
    for (auto index = from; index <= through; ++index) {
        result.push_back({ Term { term }, LogIndex { index }, DrainUpstream { UpstreamId { index }, SessionId { term } } });
    }
    return result;
}

MemberEffects makeEffects(std::vector<LogEntry> append, std::uint64_t term = 0)
{
    MemberEffects effects;
    effects.append = std::move(append);
    if (term != 0) {
        effects.hardState = HardState { Term { term }, NodeId { 2 }, DiskId { 5 } };
    }
    return effects;
}

void flipBit(const std::string& path, std::streamoff offset)
{
    std::fstream file { path, std::ios::in | std::ios::out | std::ios::binary };
    file.seekg(offset);
    const auto byte = static_cast<char>(file.get() ^ 0x40);
    file.seekp(offset);
    file.put(byte);
}

const std::string firstSegment = "log-0000000000000001";

}

TEST_CASE("a reopened data folder returns the written state and keeps its identity")
{
    const TemporaryFolder folder;
    {
        auto data = openFolder(folder);
        REQUIRE(data);
        CHECK(data->diskId() == DiskId { 7 });
        REQUIRE(data->write(makeEffects(makeEntries(1, 5), 3)));
        auto change = makeEffects(makeEntries(4, 6, 2));
        change.truncateFrom = LogIndex { 4 };
        REQUIRE(data->write(change));
    }
    auto data = openFolder(folder, 8);
    REQUIRE(data);
    const auto state = data->takeState();
    CHECK(state.disk == DiskId { 7 });
    CHECK(state.hardState == HardState { Term { 3 }, NodeId { 2 }, DiskId { 5 } });
    auto expected = makeEntries(1, 3);
    const auto replaced = makeEntries(4, 6, 2);
    expected.insert(expected.end(), replaced.begin(), replaced.end());
    CHECK(state.entries == expected);
}

TEST_CASE("a data folder cannot be opened twice")
{
    const TemporaryFolder folder;
    const auto first = openFolder(folder);
    REQUIRE(first);
    CHECK(openFolder(folder).error() == ResultCode::DataFolderInvalid);
}

TEST_CASE("an incomplete last record of any length is removed")
{
    // Guards against a crash during a write that prevents the member from starting or restores part of the write.
    const TemporaryFolder folder;
    std::uintmax_t validBytes = 0;
    {
        auto data = openFolder(folder);
        REQUIRE(data->write(makeEffects(makeEntries(1, 2), 1)));
        validBytes = std::filesystem::file_size(folder.file(firstSegment));
    }
    const auto record = encodeLogWrite(std::nullopt, makeEntries(3, 4));
    for (std::size_t length = 1; length < record.size(); ++length) {
        std::filesystem::resize_file(folder.file(firstSegment), validBytes);
        std::ofstream { folder.file(firstSegment), std::ios::app | std::ios::binary }.write(reinterpret_cast<const char*>(record.data()), static_cast<std::streamsize>(length));
        auto data = openFolder(folder);
        REQUIRE(data);
        CHECK(data->tornTailBytes() == length);
        CHECK(data->takeState().entries == makeEntries(1, 2));
        CHECK(std::filesystem::file_size(folder.file(firstSegment)) == validBytes);
    }
}

TEST_CASE("damage before the last record is reported with file and offset")
{
    // Guards against discarding acknowledged entries because a byte before them is damaged.
    const TemporaryFolder folder;
    std::uintmax_t secondOffset = 0;
    {
        auto data = openFolder(folder);
        REQUIRE(data->write(makeEffects(makeEntries(1, 2), 1)));
        secondOffset = std::filesystem::file_size(folder.file(firstSegment));
        REQUIRE(data->write(makeEffects(makeEntries(3, 4))));
        REQUIRE(data->write(makeEffects(makeEntries(5, 5))));
    }
    const auto second = static_cast<std::streamoff>(secondOffset);
    for (std::streamoff offset = second; offset < second + 20; ++offset) {
        flipBit(folder.file(firstSegment), offset);
        const auto data = openFolder(folder);
        REQUIRE(data.error() == ResultCode::LogCorrupt);
        CHECK(data.failure().detail == folder.file(firstSegment) + " at offset " + std::to_string(secondOffset) + ": damaged record");
        flipBit(folder.file(firstSegment), offset);
    }
    CHECK(openFolder(folder));
}

TEST_CASE("saving a snapshot removes the segments that it covers")
{
    const TemporaryFolder folder;
    const LedgerSnapshot snapshot { LogIndex { 6 }, Term { 1 }, { { NodeId { 1 }, DiskId { 7 }, true } }, { 1, 2, 3 } };
    {
        auto data = openFolder(folder);
        REQUIRE(data->write(makeEffects(makeEntries(1, 8), 1)));
        REQUIRE(data->saveSnapshot(snapshot));
        REQUIRE(data->write(makeEffects(makeEntries(9, 10))));
        CHECK(std::filesystem::exists(folder.file(firstSegment)));
    }
    {
        auto data = openFolder(folder);
        REQUIRE(data);
        const auto state = data->takeState();
        CHECK(state.snapshot == snapshot);
        CHECK(state.entries == makeEntries(7, 10));
        auto later = snapshot;
        later.lastIndex = LogIndex { 10 };
        REQUIRE(data->saveSnapshot(later));
        CHECK_FALSE(std::filesystem::exists(folder.file(firstSegment)));
        CHECK(data->logBytes() == 0);
    }
    auto data = openFolder(folder);
    REQUIRE(data);
    CHECK(data->takeState().entries.empty());
}

TEST_CASE("an installed snapshot replaces a conflicting log")
{
    const TemporaryFolder folder;
    auto effects = makeEffects(makeEntries(7, 8, 2), 2);
    effects.truncateFrom = LogIndex { 7 };
    effects.install = LedgerSnapshot { LogIndex { 6 }, Term { 2 }, {}, { 9 } };
    {
        auto data = openFolder(folder);
        REQUIRE(data->write(makeEffects(makeEntries(1, 9), 1)));
        REQUIRE(data->write(effects));
    }
    auto data = openFolder(folder);
    REQUIRE(data);
    const auto state = data->takeState();
    CHECK(state.snapshot == effects.install);
    CHECK(state.entries == effects.append);
}

TEST_CASE("a folder without its vote, snapshot, identity or log is refused")
{
    // Guards against a second vote in the same term, and against an empty log under an existing identity.
    const TemporaryFolder folder;
    {
        auto data = openFolder(folder);
        REQUIRE(data->write(makeEffects(makeEntries(1, 2), 1)));
        REQUIRE(data->saveSnapshot({ LogIndex { 2 }, Term { 1 }, {}, {} }));
        REQUIRE(data->write(makeEffects(makeEntries(3, 3))));
    }
    for (const std::string name : { "vote", "snapshot", "disk", "log-0000000000000002" }) {
        INFO(name);
        std::filesystem::rename(folder.file(name), folder.path + "/aside");
        CHECK_FALSE(openFolder(folder));
        std::filesystem::rename(folder.path + "/aside", folder.file(name));
    }
    CHECK(openFolder(folder));
}
