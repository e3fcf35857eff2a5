#pragma once

#include "core/ownership/OwnershipState.h"

#include <functional>
#include <string>

namespace teaselturn {

inline constexpr RegionId wcape { 1 };
inline constexpr RegionId ecape { 2 };
inline constexpr ZoneId paarl { 1 };
inline constexpr ZoneId bellville { 2 };
inline constexpr ZoneId gqeberha { 3 };
/// A service with ZoneRule::Keep.
inline constexpr ServiceId catalogue { 1 };
/// A service with ZoneRule::Move.
inline constexpr ServiceId tills { 2 };
inline constexpr std::uint32_t fixturePartitions = 8;

/// OwnershipState for tests, with helpers to apply typical commands. Bundles pass the signature check unless
/// refuseBundles is set.
struct OwnershipFixture {
    OwnershipState state { [this](const SignedBundle&, const Bundle*) {
        return this->refuseBundles ? Status { ResultCode::BundleSignatureInvalid } : success();
    } };
    /// Called with every applied entry, if set.
    std::function<void(const LogEntry&)> onApplied;
    bool refuseBundles {};

    OwnershipFixture() = default;
    OwnershipFixture(const OwnershipFixture&) = delete;
    OwnershipFixture& operator=(const OwnershipFixture&) = delete;

    ApplyOutcome apply(Command command)
    {
        const LogEntry entry { Term { 1 }, LogIndex { this->state.appliedIndex().value + 1 }, std::move(command) };
        auto outcome = this->state.apply(entry.index, entry.command);
        if (this->onApplied) {
            this->onApplied(entry);
        }
        return outcome;
    }

    /// Returns a bundle with two regions, three zones, entry VMs 1 to 3 and two services.
    /// @param mark Distinguishes bundles of the same version: it changes the bytes, the digest and the signer.
    SignedBundle bundle(std::uint64_t version, const std::string& mark = "") const
    {
        SignedBundle result;
        auto& content = result.bundle;
        content.version = BundleVersion { version };
        content.regions = { { wcape, "wcape" }, { ecape, "ecape" } };
        content.zones = { { paarl, "wc-paarl", wcape }, { bellville, "wc-bellville", wcape }, { gqeberha, "ec-gqeberha", ecape } };
        content.entries = { { NodeId { 1 }, paarl, {} }, { NodeId { 2 }, bellville, {} }, { NodeId { 3 }, gqeberha, {} } };
        content.services = { { catalogue, "catalogue", fixturePartitions, ZoneRule::Keep }, { tills, "tills", fixturePartitions, ZoneRule::Move } };
        result.canonicalBytes = "bundle " + std::to_string(version) + mark;
        result.digest[0] = static_cast<std::uint8_t>(version);
        result.digest[1] = static_cast<std::uint8_t>(mark.size());
        result.signatures = { { "naledi" + mark, {} } };
        return result;
    }

    static AttachUpstream attachment(const std::string& name, ServiceId service, NodeId leaseManager = { 1 }, BootId boot = { 1 }, bool checksGrants = true)
    {
        return { name, 7, service, paarl, { "127.0.0.1", 8080 }, 3, 110, checksGrants, leaseManager, boot };
    }

    ApplyOutcome attach(const std::string& name, ServiceId service, NodeId leaseManager = { 1 }, BootId boot = { 1 }, bool checksGrants = true)
    {
        return this->apply(attachment(name, service, leaseManager, boot, checksGrants));
    }

    Fence fenceOf(SlotId slot) const { return this->state.findSlot(slot)->fence; }

    ApplyOutcome assign(SlotId slot, UpstreamId owner) { return this->apply(AssignSlots { { { slot, owner, this->fenceOf(slot) } } }); }

    ApplyOutcome assignAll(ServiceId service, UpstreamId owner)
    {
        AssignSlots command;
        for (std::uint32_t i = 0; i < this->state.partitions(service).size(); ++i) {
            command.assignments.push_back({ { service, i }, owner, this->fenceOf({ service, i }) });
        }
        return this->apply(command);
    }

    ApplyOutcome move(SlotId slot, UpstreamId target) { return this->apply(BeginMove { { { slot, target, this->fenceOf(slot) } } }); }

    ApplyOutcome release(const ApplyOutcome& attached, SlotId slot)
    {
        return this->apply(ReleaseSlots { attached.upstream, attached.session, { { slot, this->fenceOf(slot) } } });
    }
};

}
