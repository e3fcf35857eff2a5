#include "core/ownership/DelegationTable.h"

#include <algorithm>

namespace teaselturn {

void DelegationTable::clear()
{
    this->contacts.clear();
    this->ends.clear();
}

bool DelegationTable::renew(Instant now, NodeId entry, const DelegationRequest& request)
{
    auto& contact = this->contacts[entry];
    if (request.boot < contact.boot) {
        return false;
    }
    if (contact.boot < request.boot) {
        contact = { request.boot, now };
        // Drop ended delegations of earlier boots.
        absl::erase_if(this->ends, [&](const auto& item) { return item.first.first == entry && item.second <= now; });
    }
    if (request.sequence > contact.sequence) {
        contact.sequence = request.sequence;
        contact.appliedIndex = std::max(contact.appliedIndex, request.appliedIndex);
        contact.bundleInForce = request.bundleInForce;
        contact.isHealthy = request.isHealthy;
    }
    this->extend(now, entry, request.boot);
    return true;
}

void DelegationTable::extend(Instant sentAt, NodeId entry, BootId boot)
{
    auto& end = this->ends[{ entry, boot }];
    end = std::max(end, sentAt + timing::withDrift(timing::delegationLength));
}

bool DelegationTable::hasEnded(Instant now, NodeId entry, BootId boot) const noexcept
{
    const auto found = this->ends.find({ entry, boot });
    return found == this->ends.end() || found->second <= now;
}

bool DelegationTable::isSuperseded(Instant now, NodeId entry, BootId boot) const noexcept
{
    const auto* contact = this->find(entry);
    return contact != nullptr && contact->boot > boot && now >= contact->since + timing::withDrift(timing::delegationLength);
}

const EntryContact* DelegationTable::find(NodeId entry) const noexcept
{
    const auto found = this->contacts.find(entry);
    return found == this->contacts.end() ? nullptr : &found->second;
}

bool DelegationTable::holdsDelegation(Instant now, NodeId entry) const noexcept
{
    const auto* contact = this->find(entry);
    return contact != nullptr && !this->hasEnded(now, entry, contact->boot);
}

LogIndex DelegationTable::appliedByHolders(Instant now, LogIndex limit) const noexcept
{
    for (const auto& [holder, end] : this->ends) {
        const auto* contact = this->find(holder.first);
        if (end > now) {
            const auto isCurrent = contact != nullptr && contact->boot == holder.second;
            limit = std::min(limit, isCurrent ? contact->appliedIndex : LogIndex {});
        }
    }
    return limit;
}

bool DelegationTable::hasApplied(NodeId entry, LogIndex index) const noexcept
{
    const auto* contact = this->find(entry);
    return contact != nullptr && contact->appliedIndex >= index;
}

}
