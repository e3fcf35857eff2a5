#pragma once

#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// JSON bodies of POST /v1/upstreams/heartbeat. Unknown, duplicate and missing members are rejected.
namespace teaselturn {

/// A slot of the heartbeat's service, identified by its index, and its fence.
struct SlotMessage {
    std::uint32_t slot {};
    std::uint64_t fence {};

    friend bool operator==(const SlotMessage&, const SlotMessage&) = default;
};

/// Heartbeat of an upstream. The entry VM maps the names of service and zone to their ids.
struct HeartbeatMessage {
    std::string name;
    std::uint64_t incarnation {};
    /// Increases with each heartbeat of the incarnation.
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

/// Reply of an entry VM to a heartbeat.
struct HeartbeatReplyMessage {
    /// Numeric value of a ResultCode; zero for success.
    std::uint32_t code {};
    /// Incarnation and sequence of the heartbeat that this replies to.
    std::uint64_t incarnation {};
    std::uint64_t sequence {};
    std::uint64_t upstream {};
    std::uint64_t session {};
    std::uint32_t leaseMilliseconds {};
    std::uint64_t grantsVersion {};
    /// If false, the JSON has no member "grants".
    bool grantsIncluded {};
    std::vector<SlotMessage> grants;
    std::vector<SlotMessage> releaseWanted;

    friend bool operator==(const HeartbeatReplyMessage&, const HeartbeatReplyMessage&) = default;
};

std::string encodeHeartbeat(const HeartbeatMessage& heartbeat);
/// @return The heartbeat, or HeartbeatInvalid with a description of the fault.
Result<HeartbeatMessage> decodeHeartbeat(std::string_view json);

std::string encodeHeartbeatReply(const HeartbeatReplyMessage& reply);
/// @return The reply, or HeartbeatInvalid with a description of the fault.
Result<HeartbeatReplyMessage> decodeHeartbeatReply(std::string_view json);

}
