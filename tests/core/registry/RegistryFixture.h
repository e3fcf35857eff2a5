#pragma once

#include "core/registry/KeyHeartbeat.h"
#include "core/registry/RegistryState.h"

#include <string>

namespace teaselturn::support {

inline ConfigItem serviceItem(const std::string& name, bool isSharded, std::uint64_t version = 1)
{
    return { name, version, ServiceItem { isSharded, 110, std::chrono::seconds { 5 } }, name + (isSharded ? " sharded" : " plain") };
}

inline ConfigItem routeItem(const std::string& name, const std::string& service, std::uint64_t version = 1, RequestKind kind = RequestKind::AtMostOnce)
{
    RouteItem route { "host.example", "/" + name + "/", kind, std::chrono::seconds { 1 }, std::chrono::milliseconds { 300 }, 0, 2, { { service, 1 } } };
    return { name, version, route, name + " to " + service };
}

inline RegisterUpstream announcement(const std::string& name, const std::string& service, std::uint64_t incarnation = 1)
{
    return { { name, incarnation }, service, { "10.0.0.1", static_cast<std::uint16_t>(8'000 + std::hash<std::string> {}(name) % 10'000) }, "z1", 3, false };
}

inline KeyHeartbeat heartbeat(const RegisterUpstream& upstream, std::uint64_t sequence, std::vector<HeldKeys> held = {}, std::vector<ReleasedKeys> released = {})
{
    return { upstream, sequence, std::move(held), std::move(released) };
}

/// Applies a command as the entry after the last applied one.
inline ResultCode applyNext(RegistryState& state, const Command& command)
{
    return state.apply(LogIndex { state.appliedIndex().value + 1 }, command).code;
}

}
