#include "core/ledger/Configuration.h"

#include "core/ledger/LedgerLimits.h"

#include <algorithm>
#include <string>

namespace teaselturn {

namespace {

    const MemberSpec* find(std::span<const MemberSpec> members, NodeId node)
    {
        const auto found = std::find_if(members.begin(), members.end(), [node](const auto& member) { return member.node == node; });
        return found == members.end() ? nullptr : &*found;
    }

    Status invalidChange(std::string detail)
    {
        return { ResultCode::MembershipChangeInvalid, std::move(detail) };
    }

    Status validateMembers(std::span<const MemberSpec> members)
    {
        if (members.size() > limits::maxConfiguredMembers) {
            return invalidChange("more than " + std::to_string(limits::maxConfiguredMembers) + " members");
        }
        if (std::none_of(members.begin(), members.end(), [](const auto& member) { return member.voter; })) {
            return invalidChange("the configuration has no voter");
        }
        for (const auto& member : members) {
            if (find(members, member.node) != &member) {
                return invalidChange("node " + std::to_string(member.node.value) + " is listed twice");
            }
        }
        return success();
    }

}

Status checkMemberChange(std::span<const MemberSpec> from, std::span<const MemberSpec> to)
{
    if (auto shape = validateMembers(to); !shape) {
        return shape;
    }
    std::size_t changes = 0;
    for (const auto& member : to) {
        const auto* former = find(from, member.node);
        if (!former || *former != member) {
            ++changes;
        }
        // Replacing a voter's disk removes one voter and adds another, so the new disk has to start as a learner.
        if (member.voter && (!former || former->disk != member.disk)) {
            return invalidChange("node " + std::to_string(member.node.value) + " has to be a learner first");
        }
    }
    changes += std::count_if(from.begin(), from.end(), [to](const auto& member) { return !find(to, member.node); });
    if (changes != 1) {
        return invalidChange(std::to_string(changes) + " members change at once");
    }
    return success();
}

Configuration::Configuration(LogIndex index, std::vector<MemberSpec> members)
{
    this->versions.push_back({ index, std::move(members) });
}

std::span<const MemberSpec> Configuration::at(LogIndex index) const noexcept
{
    const auto* result = &this->versions.front();
    for (const auto& version : this->versions) {
        if (version.index <= index) {
            result = &version;
        }
    }
    return result->members;
}

void Configuration::append(LogIndex index, std::vector<MemberSpec> members)
{
    this->versions.push_back({ index, std::move(members) });
}

void Configuration::truncateFrom(LogIndex index)
{
    while (this->versions.size() > 1 && this->versions.back().index >= index) {
        this->versions.pop_back();
    }
}

void Configuration::compactThrough(LogIndex index)
{
    while (this->versions.size() > 1 && this->versions[1].index <= index) {
        this->versions.erase(this->versions.begin());
    }
}

bool Configuration::isVoter(NodeId node, DiskId disk) const noexcept
{
    const auto* member = find(this->newest(), node);
    return member && member->voter && member->disk == disk;
}

std::size_t Configuration::voterCount() const noexcept
{
    const auto members = this->newest();
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto& member) { return member.voter; }));
}

}
