#pragma once

#include "teaselturn/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The registry: configuration as items with versions of their own, upstreams that announce themselves, and the owners
/// of numbered keys. It is the second state that the replicated log can carry, beside signed bundles and their slots.
namespace teaselturn {

/// What may be repeated of a request.
enum class RequestKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request of a caller.
    AtMostOnce,
};

/// One service of a route with its share of the requests.
struct TrafficShare {
    std::string service;
    /// Relative to the other shares of the route, in thousandths.
    std::uint64_t weight {};

    friend bool operator==(const TrafficShare&, const TrafficShare&) = default;
};

/// Where requests of a host and path go, and how long they may take.
struct RouteItem {
    std::string host;
    std::string pathPrefix;
    RequestKind kind { RequestKind::AtMostOnce };
    /// Longest time that a caller is kept waiting.
    Duration timeout {};
    /// Time within which an answer has its full worth.
    Duration targetLatency {};
    /// Zero is the most urgent.
    std::uint32_t priority {};
    /// Most upstreams that one request may be sent to.
    std::uint32_t attempts { 1 };
    std::vector<TrafficShare> shares;

    friend bool operator==(const RouteItem&, const RouteItem&) = default;
};

/// A service that upstreams announce themselves for.
struct ServiceItem {
    /// True where each key has one owner among the upstreams.
    bool isSharded {};
    /// Connections that an upstream accepts from all callers together.
    std::uint32_t maxConnections {};
    /// How long keys stay slow on an owner that got them without the handover of the last one.
    Duration coldKeyTime {};

    friend bool operator==(const ServiceItem&, const ServiceItem&) = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    std::uint64_t maxHeaderBytes { 16 * 1024 };
    std::uint64_t maxBodyBytes { 64 * 1024 * 1024 };
    Duration headerTimeout { std::chrono::seconds { 3 } };
    Duration idleTimeout { std::chrono::seconds { 15 } };

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

using ItemContent = std::variant<RouteItem, ServiceItem, CallerLimits>;

/// Kinds of item, in the order of ItemContent.
enum class ItemKind : std::uint8_t {
    Route,
    Service,
    Limits,
};

/// A named part of the configuration.
struct ConfigItem {
    std::string name;
    std::uint64_t version {};
    ItemContent content;
    /// The item as its operator wrote it, in a canonical form: it is what is read back, and what tells two items with the
    /// same version apart.
    std::string document;

    ItemKind kind() const noexcept { return static_cast<ItemKind>(this->content.index()); }

    friend bool operator==(const ConfigItem&, const ConfigItem&) = default;
};

/// Drops an item under a version, as setting it would.
struct ItemDeletion {
    ItemKind kind {};
    std::string name;
    std::uint64_t version {};

    friend bool operator==(const ItemDeletion&, const ItemDeletion&) = default;
};

/// Sets and drops items. Either every part counts or none; for each name the highest version wins.
struct ChangeItems {
    std::vector<ConfigItem> upserts;
    std::vector<ItemDeletion> deletions;

    friend bool operator==(const ChangeItems&, const ChangeItems&) = default;
};

/// One start of an upstream's process.
struct UpstreamKey {
    std::string name;
    /// Start of the process, in milliseconds of wall-clock time. A later start has a larger number.
    std::uint64_t incarnation {};

    friend auto operator<=>(const UpstreamKey&, const UpstreamKey&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.

    template <typename H>
    friend H AbslHashValue(H h, const UpstreamKey& key)
    {
        return H::combine(std::move(h), key.name, key.incarnation);
    }
};

/// Records that an upstream runs, or is leaving.
struct RegisterUpstream {
    UpstreamKey key;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    /// Requests that it runs at a time.
    std::uint32_t requestSlots {};
    bool isDraining {};

    friend bool operator==(const RegisterUpstream&, const RegisterUpstream&) = default;
};

/// Records that an upstream has left or is taken for dead. A start that is removed does not register again unless it
/// was taken for dead.
struct RemoveUpstream {
    UpstreamKey key;
    bool hasLeft {};

    friend bool operator==(const RemoveUpstream&, const RemoveUpstream&) = default;
};

/// Number of a key of a sharded service.
using KeyNumber = std::uint16_t;
inline constexpr std::uint32_t keyNumberCount = 65'536;

/// Gives keys to an upstream under the command's log index as fence.
struct KeyRangeGrant {
    KeyNumber first {};
    KeyNumber last {};
    UpstreamKey owner;
    /// What the last owner handed over for the next one. Empty where it handed over nothing.
    std::string handover;
    /// When the leader expects the owner to hear of the grant, counted from the proposal. Zero where it cannot tell.
    Duration expectedDelay {};

    friend bool operator==(const KeyRangeGrant&, const KeyRangeGrant&) = default;
};

struct AssignKeyRanges {
    std::string service;
    std::vector<KeyRangeGrant> grants;

    friend bool operator==(const AssignKeyRanges&, const AssignKeyRanges&) = default;
};

/// Asks the owner of keys to release them to another upstream.
struct KeyRangeMove {
    KeyNumber first {};
    KeyNumber last {};
    UpstreamKey target;

    friend bool operator==(const KeyRangeMove&, const KeyRangeMove&) = default;
};

struct BeginKeyMoves {
    std::string service;
    std::vector<KeyRangeMove> moves;

    friend bool operator==(const BeginKeyMoves&, const BeginKeyMoves&) = default;
};

/// Owner and fence of consecutive keys.
struct KeyRange {
    KeyNumber first {};
    KeyNumber last {};
    /// Empty name where nobody owns the keys.
    UpstreamKey owner;
    /// Log index of the assignment. Zero where the keys never had an owner.
    Fence fence;
    std::string handover;
    /// Empty name unless a move is pending.
    UpstreamKey target;
    /// As in KeyRangeGrant. Zero in ranges that come from a snapshot: by then the owner has heard of them.
    Duration expectedDelay {};

    bool isOwned() const noexcept { return !this->owner.name.empty(); }
    bool isMoving() const noexcept { return !this->target.name.empty(); }

    friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

/// State of an upstream in the registry.
enum class UpstreamState : std::uint8_t {
    Ready,
    Draining,
    /// It silently stopped; the same start may come back.
    Dead,
    /// It said that it leaves, or another start took its name or address.
    Gone,
};

struct RegisteredUpstream {
    RegisterUpstream announcement;
    UpstreamState state { UpstreamState::Ready };
    /// Log index of the latest change.
    LogIndex changedAt;

    bool isUsable() const noexcept { return this->state == UpstreamState::Ready; }

    friend bool operator==(const RegisteredUpstream&, const RegisteredUpstream&) = default;
};

/// An item with its version; without content where it was dropped.
struct ItemRecord {
    ItemKind kind {};
    ConfigItem item;
    bool isDeleted {};

    friend bool operator==(const ItemRecord&, const ItemRecord&) = default;
};

/// Key ranges of one service, ascending and without gap.
struct ServiceKeys {
    std::string service;
    std::vector<KeyRange> ranges;

    friend bool operator==(const ServiceKeys&, const ServiceKeys&) = default;
};

/// The whole registry in a form that adapters can encode.
struct RegistrySnapshot {
    LogIndex appliedIndex;
    LogIndex itemsChangedAt;
    std::vector<ItemRecord> items;
    std::vector<RegisteredUpstream> upstreams;
    std::vector<ServiceKeys> keys;
    std::vector<MemberSpec> members;

    friend bool operator==(const RegistrySnapshot&, const RegistrySnapshot&) = default;
};

/// Bounds of the registry.
namespace limits {
    /// Most items, dropped ones included.
    inline constexpr std::size_t maxConfigItems = 65'536;
    /// Most upstreams remembered after they left; late announcements of these are recognised.
    inline constexpr std::size_t maxDepartedUpstreams = 4'096;
    /// Most key ranges of one service. 1,754 upstreams with a dozen ranges each fit.
    inline constexpr std::size_t maxKeyRanges = 32'768;
}

}
