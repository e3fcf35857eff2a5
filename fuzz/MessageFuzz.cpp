#include "FuzzSeeds.h"
#include "adapters/codec/Codec.h"
#include "core/support/SampleCommands.h"

#include <cstdlib>

using namespace teaselturn;

namespace {

using Bytes = std::vector<std::uint8_t>;

/// Checks that bytes that decode are the only encoding of their value, and that others fail with the expected code.
template <typename Decode, typename Encode>
void check(std::span<const std::uint8_t> bytes, Decode decode, Encode encode, ResultCode expectedError)
{
    const auto value = decode(bytes);
    if (value ? encode(*value) != Bytes { bytes.begin(), bytes.end() } : value.error() != expectedError) {
        std::abort();
    }
}

OwnershipSnapshot sampleSnapshot()
{
    OwnershipSnapshot snapshot;
    snapshot.appliedIndex = LogIndex { 12 };
    snapshot.accepted = support::sampleBundle();
    snapshot.upstreams.push_back({ UpstreamId { 4 }, SessionId { 4 }, std::get<AttachUpstream>(support::sampleCommands()[1]), true });
    snapshot.services.push_back({ ServiceId { 1 }, { { UpstreamId { 4 }, Fence { 5 }, {}, {}, true }, {} }, LogIndex { 3 } });
    snapshot.hotKeys.push_back({ { ServiceId { 1 }, firstHotKeySlot }, "fabric-9", {} });
    snapshot.members = { { NodeId { 1 }, DiskId { 7 }, true } };
    return snapshot;
}

std::vector<PeerMessage> sampleMessages()
{
    const MemberSpec member { NodeId { 1 }, DiskId { 7 }, true };
    std::vector<PeerMessage> messages {
        VoteRequest { Term { 3 }, DiskId { 7 }, LogIndex { 9 }, Term { 2 }, true, DiskId { 8 } },
        VoteReply { Term { 3 }, DiskId { 7 }, true, false },
        AppendRequest { Term { 3 }, LogIndex { 9 }, Term { 2 }, LogIndex { 8 }, support::sampleEntries(2), 44 },
        AppendReply { Term { 3 }, DiskId { 7 }, true, LogIndex { 9 }, 44 },
        SnapshotChunk { Term { 3 }, LogIndex { 9 }, Term { 2 }, 3, 6, { 4, 5, 6 }, { member, member } },
        SnapshotReply { Term { 3 }, DiskId { 7 }, LogIndex { 9 }, 6 },
        DelegationRequest { 5, BootId { 99 }, LogIndex { 9 }, BundleVersion { 2 }, true, { { { ServiceId { 1 }, 4 }, 70 } }, { { ServiceId { 1 }, "fabric-9", 60 } } },
        DelegationReply { 5, ResultCode::NotLeader, std::chrono::milliseconds { 2'000 }, LogIndex { 9 }, NodeId { 1 } },
        FeedRequest { 6, LogIndex { 9 }, LogIndex { 7 }, 100 },
        FeedReply { 6, LogIndex { 9 }, support::sampleEntries(2), 0, 3, LogIndex { 7 }, { 1, 2, 3 } },
        ProposeReply { 7, ResultCode::BundleConflict, LogIndex { 9 }, { ResultCode::BundleConflict, {}, {}, {}, { "naledi" } }, NodeId { 2 } },
    };
    for (auto& command : support::sampleCommands(2)) {
        messages.emplace_back(ProposeRequest { 7, std::move(command) });
    }
    return messages;
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::span bytes { data, size };
    check(bytes, decodeMessage, encodeMessage, ResultCode::MessageMalformed);
    check(bytes, decodeOwnershipSnapshot, encodeOwnershipSnapshot, ResultCode::SnapshotCorrupt);
    return 0;
}

std::vector<Bytes> fuzzSeeds()
{
    std::vector<Bytes> seeds { encodeOwnershipSnapshot(sampleSnapshot()) };
    for (const auto& message : sampleMessages()) {
        seeds.push_back(encodeMessage(message));
    }
    return seeds;
}
