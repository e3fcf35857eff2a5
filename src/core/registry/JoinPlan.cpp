#include "core/registry/JoinPlan.h"

#include "core/ledger/LedgerLimits.h"

#include <algorithm>

namespace teaselturn {

namespace {

    class JoinPlanner {
    public:
        explicit JoinPlanner(std::span<const MemberContact> contacts)
            : contacts(contacts)
        {
        }

        std::vector<ChangeMembers> plan(std::span<const JoinCandidate> candidates, const JoinLimits& bounds)
        {
            for (const auto& candidate : candidates) {
                this->replaceDisk(candidate);
            }
            for (const auto& contact : this->contacts) {
                if (!contact.member.voter) {
                    this->addChange({ contact.member.node, contact.member.disk, true });
                }
            }
            for (const auto& candidate : candidates) {
                if (this->findMember(candidate.node) == nullptr && this->contacts.size() < limits::maxConfiguredMembers) {
                    this->addChange({ candidate.node, candidate.disk, false });
                }
            }
            this->removeSilent(bounds);
            return std::move(this->changes);
        }

    private:
        const MemberSpec* findMember(NodeId node) const noexcept
        {
            const auto found = std::ranges::find(this->contacts, node, [](const MemberContact& contact) { return contact.member.node; });
            return found == this->contacts.end() ? nullptr : &found->member;
        }

        std::vector<MemberSpec> currentMembers() const
        {
            std::vector<MemberSpec> members;
            std::ranges::transform(this->contacts, std::back_inserter(members), &MemberContact::member);
            return members;
        }

        void addChange(const MemberSpec& next)
        {
            ChangeMembers command { this->currentMembers() };
            const auto found = std::ranges::find(command.members, next.node, &MemberSpec::node);
            if (found == command.members.end()) {
                command.members.push_back(next);
            } else {
                *found = next;
            }
            this->changes.push_back(std::move(command));
        }

        /// Turns a voter whose disk was replaced into a learner. The vote of the old disk is lost already, so the
        /// change does not weaken the quorum further.
        void replaceDisk(const JoinCandidate& candidate)
        {
            const auto* member = this->findMember(candidate.node);
            if (member != nullptr && member->disk != candidate.disk) {
                this->addChange({ candidate.node, candidate.disk, false });
            }
        }

        void removeSilent(const JoinLimits& bounds)
        {
            const auto voters = std::ranges::count_if(this->contacts, [](const MemberContact& contact) { return contact.member.voter; });
            for (const auto& contact : this->contacts) {
                const auto votersLeft = static_cast<std::size_t>(voters - (contact.member.voter ? 1 : 0));
                if (contact.timeSinceReply < bounds.removeAfter || (contact.member.voter && votersLeft < bounds.minimumVoters)) {
                    continue;
                }
                ChangeMembers command { this->currentMembers() };
                std::erase(command.members, contact.member);
                this->changes.push_back(std::move(command));
            }
        }

        std::span<const MemberContact> contacts;
        std::vector<ChangeMembers> changes;
    };

}

std::vector<ChangeMembers> planMembershipChanges(std::span<const MemberContact> contacts, std::span<const JoinCandidate> candidates, const JoinLimits& bounds)
{
    return JoinPlanner { contacts }.plan(candidates, bounds);
}

}
