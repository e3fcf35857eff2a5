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

/// The latest BeginWarmUp of an upstream.
struct RecordedWarmUp {
    /// Time that was left when the command was committed. Zero if the upstream was warm.
    Duration timeLeft {};
    /// Log index of the command; after a snapshot was restored, the index of the snapshot.
    LogIndex changedAt;
};

/// The registry's replicated state machine. Applying the same commands in the same order gives the same state on every
/// member and every entry VM. Not thread-safe.
class RegistryState {
public:
    /// Applies a committed command. Commands that do not concern the registry only advance the index.
    /// @param index Index of the entry; it must follow appliedIndex().
    /// @return Ok; ItemsInvalid or ItemConflict for ChangeItems; AlreadyApplied if an announcement or a removal is
    /// outdated; Internal if the index does not follow appliedIndex().
    ApplyOutcome apply(LogIndex index, const Command& command);

    /// Checks a change like apply(), without applying it.
    Status check(const ChangeItems& change) const;
    /// @return True if a valid change would alter no item.
    bool isAlreadyApplied(const ChangeItems& change) const;

    LogIndex appliedIndex() const noexcept { return this->index; }
    /// @return Index of the latest command that changed an item.
    LogIndex itemsChangedAt() const noexcept { return this->itemsIndex; }

    /// @return Index of the latest command that changed an upstream.
    LogIndex upstreamsChangedAt() const noexcept { return this->upstreamsIndex; }
    /// @return Index of the latest command that changed key ranges of the service; zero if none did.
    LogIndex keysChangedAt(std::string_view service) const;

    /// Calls visit(const ConfigItem&) for each item that is not deleted, in order of kind and name.
    template <typename Visit>
    void forEachItem(Visit visit) const
    {
        for (const auto& [key, record] : this->items) {
            if (!record.isDeleted) {
                visit(record.item);
            }
        }
    }

    /// @return The latest version of an item, which may be deleted; null if there never was one.
    const ItemRecord* findItem(ItemKind kind, std::string_view name) const;
    /// @return True if the version is higher than that of the item, so that it would take effect.
    bool isNewerVersion(ItemKind kind, std::string_view name, std::uint64_t version) const;
    /// @return The service, or null if no such item exists.
    const ServiceItem* findService(std::string_view name) const;
    /// @return The configured limits, or the defaults if no item sets them.
    CallerLimits callerLimits() const;
    bool hasItems() const noexcept { return !this->items.empty(); }

    /// @return The upstream with this name, or null.
    const RegisteredUpstream* findUpstream(std::string_view name) const;
    /// @return True if exactly this incarnation of the upstream is registered and is ready or draining.
    bool isAlive(const UpstreamKey& key) const;
    const absl::btree_map<std::string, RegisteredUpstream, std::less<>>& upstreams() const noexcept { return this->registered; }

    /// @return Ranges of a service, ascending and without gaps; empty if no key was assigned yet.
    std::span<const KeyRange> keyRanges(std::string_view service) const;
    /// @return The range that contains a key, or null.
    const KeyRange* findRange(std::string_view service, KeyNumber key) const;

    /// @return Availability zones under an evacuation order, in ascending order.
    std::span<const std::string> evacuatedZones() const noexcept { return this->evacuated; }
    bool isEvacuated(std::string_view zone) const noexcept;
    /// @return Index of the latest command that changed an evacuation order; zero if none did.
    LogIndex evacuationsChangedAt() const noexcept { return this->evacuationsIndex; }

    /// @return What was last recorded about the warm-up of each upstream.
    const absl::btree_map<UpstreamKey, RecordedWarmUp>& warmUps() const noexcept { return this->warmUpTimes; }
    /// @return Index of the latest command that began a warm-up; zero if none did.
    LogIndex warmUpsChangedAt() const noexcept { return this->warmUpsIndex; }

    std::span<const MemberSpec> members() const noexcept { return this->memberSpecs; }

    RegistrySnapshot snapshot() const;
    void restore(RegistrySnapshot snapshot);

private:
    struct ItemKey {
        ItemKind kind {};
        std::string name;

        friend auto operator<=>(const ItemKey&, const ItemKey&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    };

    /// Ignores commands that belong to the ownership state machine.
    template <typename T>
    ApplyOutcome applyCommand(const T&)
    {
        return {};
    }
    ApplyOutcome applyCommand(const ChangeMembers& command);
    ApplyOutcome applyCommand(const ChangeItems& command);
    ApplyOutcome applyCommand(const RegisterUpstream& command);
    ApplyOutcome applyCommand(const RemoveUpstream& command);
    ApplyOutcome applyCommand(const AssignKeyRanges& command);
    ApplyOutcome applyCommand(const BeginKeyMoves& command);
    ApplyOutcome applyCommand(const BeginWarmUp& command);
    ApplyOutcome applyCommand(const EvacuateZone& command);

    Status checkVersion(ItemKind kind, std::string_view name, std::uint64_t version, std::string_view document) const;
    void markDeparted(RegisteredUpstream& upstream, UpstreamState state);
    /// Ends the moves to upstreams for which the predicate returns true.
    void clearMovesTo(const std::function<bool(const UpstreamKey&)>& isTarget);

    LogIndex index;
    LogIndex itemsIndex;
    LogIndex upstreamsIndex;
    absl::btree_map<ItemKey, ItemRecord> items;
    absl::btree_map<std::string, RegisteredUpstream, std::less<>> registered;
    /// Names of upstreams in state Gone, in the order in which they departed.
    std::deque<std::string> departedNames;
    struct Keys {
        std::vector<KeyRange> ranges;
        LogIndex changedAt;
    };
    absl::btree_map<std::string, Keys, std::less<>> keys;
    std::vector<MemberSpec> memberSpecs;
    std::vector<std::string> evacuated;
    LogIndex evacuationsIndex;
    /// Only of upstreams that are registered.
    absl::btree_map<UpstreamKey, RecordedWarmUp> warmUpTimes;
    LogIndex warmUpsIndex;
};

}
