#pragma once

#include "teaselturn/Command.h"

#include <string>
#include <utility>
#include <vector>

/// Sample commands with typical content for codec tests, fuzz targets and benchmarks.
namespace teaselturn::support {

/// @return A bundle as large as the production one: 2 regions, 4 zones, 11 entry VMs, 5 members and 3 services. Its
/// canonical bytes are spaces of the typical length.
inline SignedBundle sampleBundle()
{
    SignedBundle result;
    auto& bundle = result.bundle;
    bundle.version = BundleVersion { 9 };
    bundle.regions = { { RegionId { 1 }, "wc" }, { RegionId { 2 }, "gp" } };
    for (std::uint16_t i = 1; i <= 4; ++i) {
        bundle.zones.push_back({ ZoneId { i }, "zone-" + std::to_string(i), RegionId { static_cast<std::uint16_t>(1 + i / 3) } });
    }
    for (std::uint32_t i = 1; i <= 16; ++i) {
        auto& nodes = i <= 11 ? bundle.entries : bundle.members;
        nodes.push_back({ NodeId { i }, ZoneId { static_cast<std::uint16_t>(1 + i % 4) }, { "10.0.0." + std::to_string(i), 7000 } });
    }
    for (std::uint16_t i = 1; i <= 3; ++i) {
        bundle.services.push_back({ ServiceId { i }, "service-" + std::to_string(i), 512, ZoneRule::Move, 3 });
    }
    bundle.operators = { { "naledi", {} }, { "pieter", {} } };
    bundle.rollout = { RegionId { 2 }, RegionId { 1 } };
    result.canonicalBytes = std::string(2'048, ' ');
    result.signatures = { { "naledi", {} }, { "pieter", {} } };
    return result;
}

/// Returns one command of each type except those of the registry, in the order of Command's alternatives.
/// @param elements Number of elements in each list.
inline std::vector<Command> sampleCommands(std::uint32_t elements = 10)
{
    AssignSlots assign;
    BeginMove move;
    ReleaseSlots release { UpstreamId { 4'000 }, SessionId { 4'100 }, {} };
    for (std::uint32_t i = 0; i < elements; ++i) {
        assign.assignments.push_back({ { ServiceId { 2 }, i }, UpstreamId { 4'000 }, Fence { 3'000 + i } });
        move.moves.push_back({ { ServiceId { 2 }, i }, UpstreamId { 4'001 }, Fence { 3'000 + i } });
        release.releases.push_back({ { ServiceId { 2 }, i }, Fence { 3'000 + i } });
    }
    ChangeMembers members;
    for (std::uint32_t node = 1; node <= 5; ++node) {
        members.members.push_back({ NodeId { node }, DiskId { 100 + node }, true });
    }
    return {
        NoOperation {},
        AttachUpstream { "tills-3", 77, ServiceId { 2 }, ZoneId { 4 }, { "127.0.1.9", 8080 }, 3, 110, true, NodeId { 5 }, BootId { 123'456 } },
        ExpireUpstream { UpstreamId { 4'000 }, SessionId { 4'100 }, ExpiryReason::LeaseEnded },
        DrainUpstream { UpstreamId { 4'000 }, SessionId { 4'100 } },
        std::move(assign),
        std::move(move),
        std::move(release),
        AcceptBundle { sampleBundle() },
        AdvanceRollout { BundleVersion { 9 }, 1 },
        IsolateHotKey { ServiceId { 2 }, "fabric-000000009" },
        MergeHotKey { { ServiceId { 2 }, firstHotKeySlot } },
        std::move(members),
    };
}

/// @return The sample commands as consecutive log entries from index 1.
inline std::vector<LogEntry> sampleEntries(std::uint32_t elements = 10)
{
    std::vector<LogEntry> entries;
    for (auto& command : sampleCommands(elements)) {
        entries.push_back({ Term { 3 }, LogIndex { entries.size() + 1 }, std::move(command) });
    }
    return entries;
}

}
