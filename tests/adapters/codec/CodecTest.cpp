#include "adapters/codec/Codec.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

AttachUpstream sampleAttachment()
{
    return { "tills-3", 77, ServiceId { 2 }, ZoneId { 4 }, { "127.0.1.9", 8080 }, 3, 110, true, NodeId { 5 }, BootId { 123456 } };
}

SignedBundle sampleBundle()
{
    SignedBundle bundle;
    bundle.bundle.version = BundleVersion { 9 };
    bundle.bundle.services.push_back({ ServiceId { 1 }, "catalogue", 512, ZoneRule::Keep, 3 });
    bundle.bundle.members.push_back({ NodeId { 7 }, ZoneId { 4 }, { "127.0.1.7", 9000 }, DiskId { 0x1234567890 } });
    bundle.bundle.rollout = { RegionId { 2 }, RegionId { 1 } };
    bundle.canonicalBytes = "{}";
    bundle.signatures.push_back({ "naledi", {} });
    return bundle;
}

}

TEST_CASE("messages are unchanged after encoding and decoding")
{
    AppendRequest append { Term { 3 }, LogIndex { 7 }, Term { 2 }, LogIndex { 6 }, {}, 44 };
    append.entries.push_back({ Term { 3 }, LogIndex { 8 }, sampleAttachment() });
    append.entries.push_back({ Term { 3 }, LogIndex { 9 }, AcceptBundle { sampleBundle() } });
    append.entries.push_back({ Term { 3 }, LogIndex { 10 }, NoOperation {} });
    const std::vector<PeerMessage> messages {
        append,
        DelegationReply { 4, ResultCode::NotLeader, std::chrono::milliseconds { 2000 }, LogIndex { 5 }, NodeId { 1 } },
        ProposeReply { 8, ResultCode::BundleConflict, LogIndex { 3 }, { ResultCode::BundleConflict, {}, {}, {}, { "naledi" } }, NodeId { 2 } },
        SnapshotChunk { Term { 1 }, LogIndex { 2 }, Term { 1 }, 0, 3, { 1, 2, 3 } },
    };
    for (const auto& message : messages) {
        const auto decoded = decodeMessage(encodeMessage(message));
        REQUIRE(decoded);
        CHECK(*decoded == message);
    }
}

TEST_CASE("every truncation of a message is malformed")
{
    // Guards against reading past the end of a datagram and against accepting part of a message.
    const auto bytes = encodeMessage(ProposeRequest { 5, sampleAttachment() });
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK(decodeMessage(std::span { bytes }.first(length)).error() == ResultCode::MessageMalformed);
    }
}

TEST_CASE("a sequence that claims more elements than the input has bytes is malformed")
{
    // Guards against allocating memory for an unchecked length field.
    auto bytes = encodeMessage(FeedReply {});
    // The type takes 1 byte, the sequence and the last index 8 bytes each; the count of entries follows.
    REQUIRE(bytes.size() > 21);
    bytes[17] = bytes[18] = bytes[19] = bytes[20] = 0xff;
    CHECK(decodeMessage(bytes).error() == ResultCode::MessageMalformed);
}

TEST_CASE("snapshots are unchanged after encoding and decoding")
{
    OwnershipSnapshot snapshot;
    snapshot.appliedIndex = LogIndex { 12 };
    snapshot.accepted = sampleBundle();
    snapshot.upstreams.push_back({ UpstreamId { 4 }, SessionId { 4 }, sampleAttachment(), true });
    snapshot.services.push_back({ ServiceId { 1 }, { { UpstreamId { 4 }, Fence { 5 }, {}, {}, true } }, LogIndex { 3 } });
    snapshot.hotKeys.push_back({ { ServiceId { 1 }, firstHotKeySlot }, "fabric-9", {} });
    const auto decoded = decodeOwnershipSnapshot(encodeOwnershipSnapshot(snapshot));
    REQUIRE(decoded);
    CHECK(*decoded == snapshot);
}
