#pragma once

#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// JSON bodies of POST /v1/upstreams/heartbeat, read and written by both sides. Unknown, duplicate and missing members
/// are refused.
namespace teaselturn {

/// A slot of the heartbeat's service, by its index, with its fence.
struct SlotMessage {
    std::uint32_t slot {};
    std::uint64_t fence {};

    friend bool operator==(const SlotMessage&, const SlotMessage&) = default;
};

/// Heartbeat of an upstream. Service and zone are names; the entry VM finds their numbers.
struct HeartbeatMessage {
    std::string name;
    std::uint64_t incarnation {};
    /// Grows with each heartbeat of the incarnation.
    std::uint64_t sequence {};
    std::uint64_t session {};
    std::string service;
    std::string zone;
    Endpoint endpoint;
    std::uint32_t requestSlots {};
    std::uint32_t connectionLimit {};
    bool checksGrants {};
    bool isLeaving {};
    std::uint64_t grantsVersion {};
    std::vector<SlotMessage> released;

    friend bool operator==(const HeartbeatMessage&, const HeartbeatMessage&) = default;
};

/// Answer of an entry VM to a heartbeat.
struct HeartbeatReplyMessage {
    /// Number of a ResultCode; zero for success.
    std::uint32_t code {};
    /// Incarnation and sequence of the heartbeat that this answers.
    std::uint64_t incarnation {};
    std::uint64_t sequence {};
    std::uint64_t upstream {};
    std::uint64_t session {};
    std::uint32_t leaseMilliseconds {};
    std::uint64_t grantsVersion {};
    /// The member is left out of the JSON where this is false.
    bool grantsIncluded {};
    std::vector<SlotMessage> grants;
    std::vector<SlotMessage> releaseWanted;

    friend bool operator==(const HeartbeatReplyMessage&, const HeartbeatReplyMessage&) = default;
};

std::string encodeHeartbeat(const HeartbeatMessage& heartbeat);
/// @return The heartbeat, or HeartbeatInvalid with what was found.
Result<HeartbeatMessage> decodeHeartbeat(std::string_view json);

std::string encodeHeartbeatReply(const HeartbeatReplyMessage& reply);
/// @return The reply, or HeartbeatInvalid with what was found.
Result<HeartbeatReplyMessage> decodeHeartbeatReply(std::string_view json);

}
