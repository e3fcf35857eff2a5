#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/OwnershipTypes.h"
#include "teaselturn/Registry.h"
#include "teaselturn/Result.h"

#include <absl/container/btree_map.h>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// The registry as the applied commands make it. Applying the same commands in the same order gives the same state on
/// every member and every entry VM. Not thread-safe.
class RegistryState {
public:
    /// Applies a command. Commands that do not concern the registry only advance the index.
    /// @param index Index of the entry; it must be the one after appliedIndex().
    /// @return Ok; ItemsInvalid or ItemConflict for ChangeItems; AlreadyApplied where an announcement is outdated.
    ApplyOutcome apply(LogIndex index, const Command& command);

    /// Checks a change as apply() would, without applying it.
    Status check(const ChangeItems& change) const;
    /// @return True where a valid change would leave every item as it is.
    bool isInForce(const ChangeItems& change) const;

    LogIndex appliedIndex() const noexcept { return this->index; }
    /// @return Index of the latest command that changed an item.
    LogIndex itemsChangedAt() const noexcept { return this->itemsIndex; }

    /// @return Index of the latest command that changed an upstream.
    LogIndex upstreamsChangedAt() const noexcept { return this->upstreamsIndex; }
    /// @return Index of the latest command that changed key ranges of the service; zero where none did.
    LogIndex keysChangedAt(std::string_view service) const;

    /// Calls visit(const ConfigItem&) for each item that is not dropped, by kind and name.
    template <typename Visit>
    void forEachItem(Visit visit) const
    {
        for (const auto& [key, record] : this->items) {
            if (!record.isDeleted) {
                visit(record.item);
            }
        }
    }

    /// @return The service, or null where no item names it.
    const ServiceItem* findService(std::string_view name) const;
    /// @return The limits in force, or the defaults where no item sets them.
    CallerLimits callerLimits() const;
    bool hasItems() const noexcept { return !this->items.empty(); }

    /// @return The upstream by name, or null.
    const RegisteredUpstream* findUpstream(std::string_view name) const;
    /// @return True where exactly this start of the upstream is registered and has neither left nor died.
    bool isAlive(const UpstreamKey& key) const;
    const absl::btree_map<std::string, RegisteredUpstream, std::less<>>& upstreams() const noexcept { return this->registered; }

    /// @return Ranges of a service, ascending and without gap; empty where no key was assigned yet.
    std::span<const KeyRange> keyRanges(std::string_view service) const;
    /// @return The range that holds a key, or null.
    const KeyRange* findRange(std::string_view service, KeyNumber key) const;

    std::span<const MemberSpec> members() const noexcept { return this->memberSpecs; }

    RegistrySnapshot snapshot() const;
    void restore(RegistrySnapshot snapshot);

private:
    struct ItemKey {
        ItemKind kind {};
        std::string name;

        friend auto operator<=>(const ItemKey&, const ItemKey&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
    };

    /// Commands of the other state do not concern the registry.
    template <typename T>
    ApplyOutcome run(const T&)
    {
        return {};
    }
    ApplyOutcome run(const ChangeMembers& command);
    ApplyOutcome run(const ChangeItems& command);
    ApplyOutcome run(const RegisterUpstream& command);
    ApplyOutcome run(const RemoveUpstream& command);
    ApplyOutcome run(const AssignKeyRanges& command);
    ApplyOutcome run(const BeginKeyMoves& command);

    const ItemRecord* findItem(ItemKind kind, std::string_view name) const;
    Status checkVersion(ItemKind kind, std::string_view name, std::uint64_t version, std::string_view document) const;
    bool takesEffect(ItemKind kind, std::string_view name, std::uint64_t version) const;
    void depart(RegisteredUpstream& upstream, UpstreamState state);
    void clearMovesTo(const UpstreamKey& target);

    LogIndex index;
    LogIndex itemsIndex;
    LogIndex upstreamsIndex;
    absl::btree_map<ItemKey, ItemRecord> items;
    absl::btree_map<std::string, RegisteredUpstream, std::less<>> registered;
    /// Names of upstreams that are gone, oldest first.
    std::deque<std::string> departed;
    struct Keys {
        std::vector<KeyRange> ranges;
        LogIndex changedAt;
    };
    absl::btree_map<std::string, Keys, std::less<>> keys;
    std::vector<MemberSpec> memberSpecs;
};

}
