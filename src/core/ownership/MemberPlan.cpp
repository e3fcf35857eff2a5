#include "core/ownership/MemberPlan.h"

#include "core/ledger/LedgerLimits.h"

#include <algorithm>

namespace teaselturn {

namespace {

    class Planner {
    public:
        Planner(std::span<const MemberSpec> current, std::span<const NodeSpec> wanted)
            : current(current)
            , wanted(wanted)
        {
        }

        std::vector<ChangeMembers> plan(NodeId leader)
        {
            this->replaceDisks();
            this->promote();
            this->add();
            this->remove(leader);
            return std::move(this->changes);
        }

    private:
        const MemberSpec* findCurrent(NodeId node) const noexcept
        {
            const auto found = std::ranges::find(this->current, node, &MemberSpec::node);
            return found == this->current.end() ? nullptr : &*found;
        }

        const NodeSpec* findWanted(NodeId node) const noexcept
        {
            const auto found = std::ranges::find(this->wanted, node, &NodeSpec::id);
            return found == this->wanted.end() ? nullptr : &*found;
        }

        /// @return True if the member's configured disk is the one that the bundle names, or the bundle names none.
        static bool hasDisk(const MemberSpec& member, const NodeSpec& spec) noexcept
        {
            return spec.disk == DiskId {} || spec.disk == member.disk;
        }

        std::size_t voters() const noexcept
        {
            return static_cast<std::size_t>(std::ranges::count(this->current, true, &MemberSpec::voter));
        }

        bool staysMajorityWithout(const MemberSpec& member) const noexcept
        {
            return !member.voter || this->voters() - 1 > this->wanted.size() / 2;
        }

        void change(const MemberSpec& next)
        {
            ChangeMembers command { { this->current.begin(), this->current.end() } };
            const auto found = std::ranges::find(command.members, next.node, &MemberSpec::node);
            if (found == command.members.end()) {
                command.members.push_back(next);
            } else {
                *found = next;
            }
            this->changes.push_back(std::move(command));
        }

        void replaceDisks()
        {
            for (const auto& member : this->current) {
                const auto* spec = this->findWanted(member.node);
                if (spec != nullptr && !hasDisk(member, *spec) && this->staysMajorityWithout(member)) {
                    this->change({ member.node, spec->disk, false });
                }
            }
        }

        void promote()
        {
            for (const auto& member : this->current) {
                const auto* spec = this->findWanted(member.node);
                if (!member.voter && spec != nullptr && hasDisk(member, *spec)) {
                    this->change({ member.node, member.disk, true });
                }
            }
        }

        void add()
        {
            for (const auto& spec : this->wanted) {
                if (this->findCurrent(spec.id) == nullptr && spec.disk != DiskId {} && this->current.size() < limits::maxConfiguredMembers) {
                    this->change({ spec.id, spec.disk, false });
                }
            }
        }

        /// @return True if all members of the bundle are voters, or no member can be added before another is removed.
        bool mayRemoveVoters() const noexcept
        {
            const auto votes = [this](const NodeSpec& spec) {
                const auto* member = this->findCurrent(spec.id);
                return member != nullptr && member->voter;
            };
            return std::ranges::all_of(this->wanted, votes) || this->current.size() >= limits::maxConfiguredMembers;
        }

        void remove(NodeId leader)
        {
            std::vector<MemberSpec> leaving;
            std::ranges::copy_if(this->current, std::back_inserter(leaving), [this](const MemberSpec& member) {
                return this->findWanted(member.node) == nullptr && (!member.voter || (this->mayRemoveVoters() && this->staysMajorityWithout(member)));
            });
            std::ranges::stable_sort(leaving, std::ranges::less {}, [leader](const MemberSpec& member) { return member.node == leader; });
            for (const auto& member : leaving) {
                ChangeMembers command { { this->current.begin(), this->current.end() } };
                std::erase(command.members, member);
                this->changes.push_back(std::move(command));
            }
        }

        std::span<const MemberSpec> current;
        std::span<const NodeSpec> wanted;
        std::vector<ChangeMembers> changes;
    };

}

std::vector<ChangeMembers> planMemberChange(std::span<const MemberSpec> current, std::span<const NodeSpec> wanted, NodeId leader)
{
    if (wanted.empty()) {
        return {};
    }
    return Planner { current, wanted }.plan(leader);
}

}
