#pragma once

#include "adapters/http/HttpListener.h"
#include "adapters/http/MessageReader.h"
#include "core/registry/KeyHeartbeat.h"
#include "core/registry/RegistryService.h"

#include <concepts>
#include <optional>
#include <string>
#include <variant>

namespace teaselturn {

/// A request by which an upstream announces that it leaves.
struct Departure {
    std::string name;
    /// Empty if the upstream does not state it.
    std::optional<std::uint64_t> incarnation;
};

/// A request for the configuration items in force.
struct ReadItems {
};

/// A request that orders the evacuation of an availability zone, or withdraws the order.
struct EvacuationOrder {
    std::string zone;
    bool isEvacuated {};
};

/// A request that cannot be parsed, or whose path or method is not supported.
struct MalformedControlRequest {
    unsigned status { 400 };
    std::string detail;
};

using ControlRequest = std::variant<KeyHeartbeat, Departure, ChangeItems, ReadItems, EvacuationOrder, MalformedControlRequest>;

/// The HTTP encoding of control requests and their results.
template <typename T>
concept ControlProtocol = requires(const ReceivedRequest& request, const ControlResult& result, const RegistryState& state, const Endpoint& endpoint, std::string_view target, const MalformedControlRequest& malformed)
{
    {
        T::decodeRequest(request)
        } -> std::same_as<ControlRequest>;
    /// @param endpoint Control address for later requests: this member's, or that of the leader in a RedirectToLeader.
    /// @param target Path of the request, for the location of a redirect.
    {
        T::encodeResult(result, endpoint, target)
        } -> std::same_as<OutgoingResponse>;
    {
        T::encodeItems(state)
        } -> std::same_as<OutgoingResponse>;
    {
        T::encodeMalformedRequest(malformed)
        } -> std::same_as<OutgoingResponse>;
};

}
