#include "core/bundle/BundleRules.h"
#include "core/ownership/OwnershipState.h"

#include <algorithm>

namespace teaselturn {

namespace {

    std::vector<std::string> signersOf(const SignedBundle& bundle)
    {
        std::vector<std::string> signers;
        for (const auto& signature : bundle.signatures) {
            signers.push_back(signature.signer);
        }
        return signers;
    }

    ResultCode codeOf(const Status& status)
    {
        if (status) {
            return ResultCode::Ok;
        }
        const auto error = status.error();
        return error.category() == resultCategory() ? static_cast<ResultCode>(error.value()) : ResultCode::BundleInvalid;
    }

}

ApplyOutcome OwnershipState::applyCommand(const AcceptBundle& command)
{
    const auto& candidate = command.bundle;
    const auto version = candidate.bundle.version;
    if (this->accepted && version <= this->accepted->bundle.version) {
        if (version < this->accepted->bundle.version) {
            return { ResultCode::BundleOutdated };
        }
        // Compares the bytes, since the digest of an unchecked bundle may be forged.
        if (candidate.canonicalBytes == this->accepted->canonicalBytes) {
            return {};
        }
        return { ResultCode::BundleConflict, {}, {}, this->accepted->digest, signersOf(*this->accepted) };
    }
    auto code = codeOf(this->check(candidate, this->accepted ? &this->accepted->bundle : nullptr));
    if (code == ResultCode::Ok && this->previous) {
        // Regions that the rollout has not reached still have the previous bundle, and share all slots with the others.
        code = codeOf(validateSameIds(this->previous->bundle, candidate.bundle));
    }
    if (code == ResultCode::Ok) {
        code = this->checkServices(candidate.bundle);
    }
    if (code != ResultCode::Ok) {
        return { code };
    }
    const bool isFirst = !this->accepted;
    const auto nextStage = this->initialStage(candidate.bundle);
    if (!this->previous) {
        this->previous = std::move(this->accepted);
    }
    this->accepted = candidate;
    this->stage = nextStage;
    if (nextStage >= candidate.bundle.rollout.size()) {
        this->previous.reset();
    }
    this->updateServices(isFirst);
    this->expireRetiredZones();
    return {};
}

ApplyOutcome OwnershipState::applyCommand(const AdvanceRollout& command)
{
    if (!this->accepted || command.version != this->accepted->bundle.version) {
        return { ResultCode::BundleOutdated };
    }
    if (!this->previous || command.stage != this->stage + 1) {
        return { ResultCode::AlreadyApplied };
    }
    this->stage = command.stage;
    this->servicesChanged = this->index;
    if (this->stage >= this->accepted->bundle.rollout.size()) {
        this->previous.reset();
        this->updateServices(false);
    }
    return {};
}

std::uint32_t OwnershipState::initialStage(const Bundle& next) const
{
    const auto size = static_cast<std::uint32_t>(next.rollout.size());
    if (!this->accepted || size <= 1) {
        return size;
    }
    if (!this->previous) {
        return 1;
    }
    // A region that runs the unfinished bundle must switch to the next one directly; it must not revert to the previous
    // one.
    const auto& order = this->accepted->bundle.rollout;
    std::uint32_t stage = 1;
    for (std::uint32_t i = 0; i < std::min<std::size_t>(this->stage, order.size()); ++i) {
        const auto position = std::find(next.rollout.begin(), next.rollout.end(), order[i]) - next.rollout.begin();
        stage = std::max(stage, std::min(size, static_cast<std::uint32_t>(position) + 1));
    }
    return stage;
}

ResultCode OwnershipState::checkServices(const Bundle& bundle) const
{
    std::uint64_t total = 0;
    for (const auto& spec : bundle.services) {
        const auto found = this->services.find(spec.id);
        const bool fits = found == this->services.end() || found->second.partitions.size() == spec.partitions;
        if (spec.partitions == 0 || !fits) {
            return ResultCode::BundleInvalid;
        }
        total += spec.partitions;
    }
    for (const auto& [id, service] : this->services) {
        const auto isListed = [id = id](const auto& spec) { return spec.id == id; };
        if (std::none_of(bundle.services.begin(), bundle.services.end(), isListed)) {
            total += service.partitions.size();
        }
    }
    return total <= limits::maxPartitions ? ResultCode::Ok : ResultCode::BundleInvalid;
}

void OwnershipState::updateServices(bool isFirst)
{
    this->servicesChanged = this->index;
    std::vector<ServiceId> removed;
    for (const auto& [id, service] : this->services) {
        if (this->findService(id) == nullptr) {
            removed.push_back(id);
        }
    }
    for (const auto id : removed) {
        this->removeService(id);
    }
    for (const auto& spec : this->accepted->bundle.services) {
        if (!this->services.contains(spec.id)) {
            this->addService(spec, isFirst);
        }
    }
    for (auto& [id, service] : this->services) {
        this->updateRule(id, service);
    }
}

void OwnershipState::updateRule(ServiceId service, ServiceState& state)
{
    const auto moves = [](const ServiceSpec* spec) { return spec == nullptr || spec->zoneRule == ZoneRule::Move; };
    if (!moves(this->findServiceIn(this->accepted, service)) || !moves(this->findServiceIn(this->previous, service))) {
        state.moveSince = {};
    } else if (state.moveSince == LogIndex {}) {
        state.moveSince = this->index;
    }
}

void OwnershipState::addService(const ServiceSpec& service, bool isFirst)
{
    SlotRecord record;
    if (!isFirst) {
        // An earlier bundle may have had a service with this number, whose upstreams may still hold leases.
        record.freedAt = this->index;
        record.lastOwnerChecksGrants = false;
    }
    this->services[service.id].partitions.assign(service.partitions, record);
    for (std::uint32_t i = 0; i < service.partitions; ++i) {
        this->unowned.insert(this->unowned.end(), SlotId { service.id, i });
    }
}

void OwnershipState::removeService(ServiceId service)
{
    std::vector<UpstreamId> attached;
    for (const auto& [id, upstream] : this->upstreams) {
        if (upstream.record.attachment.service == service) {
            attached.push_back(id);
        }
    }
    for (const auto id : attached) {
        this->removeUpstream(id, false);
    }
    const auto first = this->hotKeys.lower_bound(SlotId { service, 0 });
    const auto last = this->hotKeys.upper_bound(SlotId { service, UINT32_MAX });
    std::for_each(first, last, [this](const auto& hotKey) { this->recordSlotChange(hotKey.first, {}); });
    this->hotKeys.erase(first, last);
    this->hotKeyNames.erase(service);
    this->unowned.erase(this->unowned.lower_bound(SlotId { service, 0 }), this->unowned.upper_bound(SlotId { service, UINT32_MAX }));
    this->services.erase(service);
}

void OwnershipState::expireRetiredZones()
{
    const auto& retired = this->accepted->bundle.retiredZones;
    std::vector<UpstreamId> expired;
    for (const auto& [id, upstream] : this->upstreams) {
        if (std::find(retired.begin(), retired.end(), upstream.record.attachment.zone) != retired.end()) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        this->removeUpstream(id, false);
    }
}

}
