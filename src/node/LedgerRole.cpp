#include "node/LedgerRole.h"

#include <algorithm>
#include <filesystem>

namespace teaselturn {

namespace {

    DiskId diskIdOf(const BootstrapMember& member)
    {
        return member.disk == DiskId {} ? initialDiskId(member.node) : member.disk;
    }

    std::vector<MemberSpec> initialMembersOf(const BootstrapSettings& bootstrap)
    {
        std::vector<MemberSpec> members;
        members.reserve(bootstrap.members.size());
        std::ranges::transform(bootstrap.members, std::back_inserter(members), [](const BootstrapMember& member) { return MemberSpec { member.node, diskIdOf(member), true }; });
        return members;
    }

}

Status createLedger(const Settings& settings)
{
    if (!settings.ledger) {
        return { ResultCode::SettingsInvalidValue, "this VM has no ledger role" };
    }
    const auto& path = settings.ledger->dataFolder;
    std::error_code error;
    if (std::filesystem::exists(path, error)) {
        return { ResultCode::DataFolderInvalid, path.string() + " exists" };
    }
    const auto& members = settings.bootstrap.members;
    const auto self = std::ranges::find(members, settings.node, &BootstrapMember::node);
    if (self == members.end()) {
        return { ResultCode::SettingsInvalidValue, "bootstrap.members does not list this VM" };
    }
    const auto folder = DataFolder<>::open(PosixFiles {}, path.string(), diskIdOf(*self));
    return folder ? success() : Status { folder.failure() };
}

Result<std::unique_ptr<DaemonLedger>> openLedger(const Settings& settings, PeerTransport& transport, BundleCheck check, const SteadyClock& clock, Logger& logger, LedgerCallbacks callbacks)
{
    auto folder = DataFolder<>::open(PosixFiles {}, settings.ledger->dataFolder.string(), randomDiskId());
    if (!folder) {
        return folder.failure();
    }
    if (folder->tornTailBytes() > 0) {
        logger.log(LogEvent::LogTailCut, "", { { "bytes", folder->tornTailBytes() } });
    }
    auto state = folder->takeState();
    state.node = settings.node;
    state.initialMembers = initialMembersOf(settings.bootstrap);
    auto node = std::make_unique<DaemonLedger>(transport, std::move(*folder), std::move(state), std::move(check), clock, &logger, std::move(callbacks));
    if (const auto started = node->start(); !started) {
        return started.failure();
    }
    return node;
}

}
