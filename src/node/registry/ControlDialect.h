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

/// A call that cannot be read, or that does not exist.
struct UnreadableCall {
    unsigned status { 400 };
    std::string detail;
};

using ControlCall = std::variant<KeyHeartbeat, Departure, ChangeItems, ReadItems, UnreadableCall>;

/// How members speak with upstreams and operators over HTTP.
template <typename T>
concept ControlDialect = requires(const ReceivedRequest& request, const CallResult& result, const RegistryState& state, const Endpoint& endpoint, std::string_view target, const UnreadableCall& unreadable)
{
    {
        T::readCall(request)
        } -> std::same_as<ControlCall>;
    /// @param endpoint Where the call belongs: this member, or the leader that a CallElsewhere names.
    /// @param target Path of the call.
    {
        T::encodeResult(result, endpoint, target)
        } -> std::same_as<OutgoingResponse>;
    {
        T::encodeItems(state)
        } -> std::same_as<OutgoingResponse>;
    {
        T::encodeUnreadable(unreadable)
        } -> std::same_as<OutgoingResponse>;
};

}
