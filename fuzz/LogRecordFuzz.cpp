#include "FuzzSeeds.h"
#include "adapters/codec/Codec.h"
#include "adapters/disk/LogRecord.h"
#include "core/support/SampleCommands.h"

#include <cstdlib>

using namespace teaselturn;

namespace {

using Bytes = std::vector<std::uint8_t>;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

/// Checks that a decoded log file encodes to the same bytes.
void checkLogFile(std::span<const std::uint8_t> bytes)
{
    const auto content = readLogFile(bytes, "log");
    if (!content) {
        require(content.error() == ResultCode::LogCorrupt);
        return;
    }
    Bytes encoded;
    for (const auto& write : content->writes) {
        const auto record = encodeLogWrite(write.truncateFrom, write.entries);
        encoded.insert(encoded.end(), record.begin(), record.end());
    }
    require(content->validBytes <= bytes.size());
    const auto sound = bytes.first(content->validBytes);
    require(Bytes { sound.begin(), sound.end() } == encoded);
}

template <typename Decode, typename Encode>
void checkPayload(std::span<const std::uint8_t> bytes, Decode decode, Encode encode)
{
    if (const auto value = decode(bytes)) {
        require(encode(*value) == Bytes { bytes.begin(), bytes.end() });
    }
}

}

/// Decodes the input as a log file, and as the payload of records with a valid checksum, since a mutated file rarely
/// passes the checksum.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::span bytes { data, size };
    checkLogFile(bytes);
    checkLogFile(encodeRecord(RecordType::LogWrite, bytes));
    checkPayload(bytes, decodeLogEntry, encodeLogEntry);
    checkPayload(bytes, decodeHardState, encodeHardState);
    checkPayload(bytes, decodeLedgerSnapshot, encodeLedgerSnapshot);
    return 0;
}

std::vector<Bytes> fuzzSeeds()
{
    const auto entries = support::sampleEntries(3);
    std::vector<Bytes> seeds;
    Bytes file;
    for (const auto& entry : entries) {
        seeds.push_back(encodeLogEntry(entry));
        const auto record = encodeLogWrite(entry.index, { &entry, 1 });
        file.insert(file.end(), record.begin(), record.end());
        // The payload alone: the target adds a record header with a valid checksum.
        seeds.emplace_back(record.begin() + recordHeaderBytes, record.end());
    }
    seeds.push_back(std::move(file));
    const auto singleRecord = encodeLogWrite(std::nullopt, entries);
    seeds.emplace_back(singleRecord.begin() + recordHeaderBytes, singleRecord.end());
    seeds.push_back(encodeHardState({ Term { 3 }, NodeId { 2 }, DiskId { 9 } }));
    seeds.push_back(encodeLedgerSnapshot({ LogIndex { 6 }, Term { 2 }, { { NodeId { 1 }, DiskId { 7 }, true } }, { 1, 2, 3 } }));
    return seeds;
}
