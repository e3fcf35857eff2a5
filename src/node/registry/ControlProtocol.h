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

/// An upstream says that it leaves.
struct Departure {
    std::string name;
    /// Empty where the upstream does not state it.
    std::optional<std::uint64_t> incarnation;
};

/// An operator asks for the items in force.
struct ReadItems {
};

/// A control request that cannot be read, or that does not exist.
struct MalformedControlRequest {
    unsigned status { 400 };
    std::string detail;
};

using ControlRequest = std::variant<KeyHeartbeat, Departure, ChangeItems, ReadItems, MalformedControlRequest>;

/// How members speak with upstreams and operators over HTTP.
template <typename T>
concept ControlProtocol = requires(const ReceivedRequest& request, const ControlResult& result, const RegistryState& state, const Endpoint& endpoint, std::string_view target, const MalformedControlRequest& malformed)
{
    {
        T::decodeRequest(request)
        } -> std::same_as<ControlRequest>;
    /// @param endpoint Where the request belongs: this member, or the leader that a RedirectToLeader names.
    /// @param target Path of the request.
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
