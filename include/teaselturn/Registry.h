#pragma once

#include "teaselturn/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// State machine of the registry: configuration as individually versioned items, upstreams that register themselves,
/// and the owners of numbered keys. It is the second state machine that the replicated log supports, beside signed
/// bundles and their slots.
namespace teaselturn {

/// Whether a request may be run again.
enum class RequestKind : std::uint8_t {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each request of a caller.
    AtMostOnce,
    /// The request may run more than once, and its response is large.
    Download,
    /// The request runs at most once, and its body is large.
    Upload,
};

/// @return True if a request of this kind may run more than once.
constexpr bool mayRepeat(RequestKind kind) noexcept
{
    return kind == RequestKind::Idempotent || kind == RequestKind::Download;
}

/// A service of a route and its share of the route's requests.
struct TrafficShare {
    std::string service;
    /// Weight in thousandths, relative to the other shares of the route.
    std::uint64_t weight {};

    friend bool operator==(const TrafficShare&, const TrafficShare&) = default;
};

/// Routes requests of a host and path prefix to services, and sets their time limits.
struct RouteItem {
    /// Timeout of a route that states none. It exceeds the deadline of any caller.
    static constexpr std::chrono::hours noTimeout { 24 };

    std::string host;
    std::string pathPrefix;
    RequestKind kind { RequestKind::AtMostOnce };
    /// Maximum time that a caller waits for a response.
    Duration timeout {};
    /// Latency up to which a response has its full value to the caller.
    Duration targetLatency {};
    /// Zero is the highest priority.
    std::uint32_t priority {};
    /// Maximum number of times that a request is sent to an upstream. Sends that an upstream refused as misdirected do
    /// not count.
    std::uint32_t attempts { 1 };
    std::vector<TrafficShare> shares;
    /// Regions whose upstreams may serve the route. Empty if all may.
    std::vector<std::string> allowedRegions;

    friend bool operator==(const RouteItem&, const RouteItem&) = default;
};

/// A service for which upstreams register.
struct ServiceItem {
    /// True if each key is owned by one of the upstreams.
    bool isSharded {};
    /// Maximum number of connections that an upstream accepts from all entry VMs together.
    std::uint32_t maxConnections {};
    /// How long an owner serves keys more slowly if it got them without the previous owner's handover.
    Duration coldKeyTime {};
    /// How long an upstream is cold after a start. Zero if the service has no warm-up.
    Duration warmUpTime {};
    /// Requests per 1,000 seconds that a cold upstream tolerates from all entry VMs together.
    std::uint32_t warmUpMilliRequestsPerSecond {};

    bool hasWarmUp() const noexcept { return this->warmUpTime > Duration::zero() && this->warmUpMilliRequestsPerSecond > 0; }

    friend bool operator==(const ServiceItem&, const ServiceItem&) = default;
};

/// Size and time limits for callers' requests.
struct CallerLimits {
    std::uint64_t maxHeaderBytes { 16 * 1024 };
    std::uint64_t maxBodyBytes { 64 * 1024 * 1024 };
    Duration headerTimeout { std::chrono::seconds { 3 } };
    Duration idleTimeout { std::chrono::seconds { 15 } };

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// Content of an item, by kind.
using ItemContent = std::variant<RouteItem, ServiceItem, CallerLimits>;

/// Kinds of items, in the order of the alternatives of ItemContent.
enum class ItemKind : std::uint8_t {
    Route,
    Service,
    Limits,
};

/// A named and versioned part of the configuration.
struct ConfigItem {
    std::string name;
    std::uint64_t version {};
    ItemContent content;
    /// The operator's document in canonical form. Reads of the item return it, and a change under the same version is
    /// compared with it.
    std::string document;

    ItemKind kind() const noexcept { return static_cast<ItemKind>(this->content.index()); }

    friend bool operator==(const ConfigItem&, const ConfigItem&) = default;
};

/// Deletes an item. It takes effect under the same version rule as an upsert.
struct ItemDeletion {
    ItemKind kind {};
    std::string name;
    std::uint64_t version {};

    friend bool operator==(const ItemDeletion&, const ItemDeletion&) = default;
};

/// Inserts, replaces and deletes items. One invalid part rejects the whole change. For each name the highest version
/// wins.
struct ChangeItems {
    std::vector<ConfigItem> upserts;
    std::vector<ItemDeletion> deletions;

    friend bool operator==(const ChangeItems&, const ChangeItems&) = default;
};

/// Identifies one start of an upstream's process.
struct UpstreamKey {
    std::string name;
    /// Wall-clock time at which the process started, in milliseconds. A later start has a larger number.
    std::uint64_t incarnation {};

    friend auto operator<=>(const UpstreamKey&, const UpstreamKey&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.

    template <typename H>
    friend H AbslHashValue(H h, const UpstreamKey& key)
    {
        return H::combine(std::move(h), key.name, key.incarnation);
    }
};

/// Registers an upstream that is running or draining, or updates its registration.
struct RegisterUpstream {
    UpstreamKey key;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    /// Maximum number of requests that the upstream runs concurrently.
    std::uint32_t requestSlots {};
    bool isDraining {};

    friend bool operator==(const RegisterUpstream&, const RegisterUpstream&) = default;
};

/// Records that an upstream has left or is considered dead. The same start of its process can register again only if it
/// was considered dead.
struct RemoveUpstream {
    UpstreamKey key;
    /// False if the upstream is considered dead.
    bool hasLeft {};

    friend bool operator==(const RemoveUpstream&, const RemoveUpstream&) = default;
};

/// Records that an upstream is cold: it serves requests slowly and tolerates few of them. With no time left, records that
/// it is warm.
struct BeginWarmUp {
    UpstreamKey key;
    /// Time from this command until the upstream is warm.
    Duration timeLeft {};

    friend bool operator==(const BeginWarmUp&, const BeginWarmUp&) = default;
};

/// Orders that no requests are sent to the upstreams of an availability zone, or withdraws that order.
struct EvacuateZone {
    std::string zone;
    bool isEvacuated {};

    friend bool operator==(const EvacuateZone&, const EvacuateZone&) = default;
};

/// Number of a key of a sharded service, below keyNumberCount.
using KeyNumber = std::uint16_t;
inline constexpr std::uint32_t keyNumberCount = 65'536;

/// Assigns a range of consecutive keys, both ends included, to an upstream.
struct KeyRangeGrant {
    KeyNumber first {};
    KeyNumber last {};
    UpstreamKey owner;
    /// Data that the previous owner handed over to the next one. Empty if there is none.
    std::string handover;
    /// Expected time from the leader's proposal until the owner learns of the grant. Zero if the leader cannot tell.
    Duration expectedDelay {};

    friend bool operator==(const KeyRangeGrant&, const KeyRangeGrant&) = default;
};

/// Assigns keys of a service to upstreams. The command's log index becomes the fence of the keys.
struct AssignKeyRanges {
    std::string service;
    std::vector<KeyRangeGrant> grants;

    friend bool operator==(const AssignKeyRanges&, const AssignKeyRanges&) = default;
};

/// Asks the owner of a key range to release it to another upstream.
struct KeyRangeMove {
    KeyNumber first {};
    KeyNumber last {};
    UpstreamKey target;

    friend bool operator==(const KeyRangeMove&, const KeyRangeMove&) = default;
};

/// Starts to move key ranges of a service.
struct BeginKeyMoves {
    std::string service;
    std::vector<KeyRangeMove> moves;

    friend bool operator==(const BeginKeyMoves&, const BeginKeyMoves&) = default;
};

/// Owner and fence of consecutive keys.
struct KeyRange {
    KeyNumber first {};
    KeyNumber last {};
    /// The name is empty if the keys have no owner.
    UpstreamKey owner;
    /// Log index of the last assignment. Zero if the keys never had an owner.
    Fence fence;
    /// As in KeyRangeGrant.
    std::string handover;
    /// Upstream that the keys move to. The name is empty if no move is pending.
    UpstreamKey target;
    /// As in KeyRangeGrant. Zero in ranges from a snapshot, since the owner has learned of them by then.
    Duration expectedDelay {};

    bool isOwned() const noexcept { return !this->owner.name.empty(); }
    bool isMoving() const noexcept { return !this->target.name.empty(); }

    friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

/// State of an upstream in the registry.
enum class UpstreamState : std::uint8_t {
    Ready,
    Draining,
    /// It stopped without notice. The same start of its process may register again.
    Dead,
    /// It announced its departure, or another start took its name or address.
    Gone,
};

/// An upstream's latest registration and its state.
struct RegisteredUpstream {
    RegisterUpstream announcement;
    UpstreamState state { UpstreamState::Ready };
    /// Log index of the latest change of this record.
    LogIndex changedAt;

    bool isUsable() const noexcept { return this->state == UpstreamState::Ready; }

    friend bool operator==(const RegisteredUpstream&, const RegisteredUpstream&) = default;
};

/// An item with its latest version. A deleted item keeps its version but no content.
struct ItemRecord {
    ItemKind kind {};
    ConfigItem item;
    bool isDeleted {};

    friend bool operator==(const ItemRecord&, const ItemRecord&) = default;
};

/// Key ranges of one service, in ascending order and without gaps.
struct ServiceKeys {
    std::string service;
    std::vector<KeyRange> ranges;

    friend bool operator==(const ServiceKeys&, const ServiceKeys&) = default;
};

/// The complete registry state, in a form that adapters can encode.
struct RegistrySnapshot {
    LogIndex appliedIndex;
    LogIndex itemsChangedAt;
    std::vector<ItemRecord> items;
    std::vector<RegisteredUpstream> upstreams;
    std::vector<ServiceKeys> keys;
    std::vector<MemberSpec> members;
    /// Availability zones under an evacuation order, in ascending order.
    std::vector<std::string> evacuatedZones;
    /// Cold upstreams. The time left counts from the command that began the warm-up, so a reader takes an upstream for cold
    /// too long rather than too short.
    std::vector<BeginWarmUp> warmUps;

    friend bool operator==(const RegistrySnapshot&, const RegistrySnapshot&) = default;
};

/// Limits of the registry.
namespace limits {
    /// Maximum number of items, including deleted ones.
    inline constexpr std::size_t maxConfigItems = 65'536;
    /// Maximum number of departed upstreams kept, so that their late registrations are recognised.
    inline constexpr std::size_t maxDepartedUpstreams = 4'096;
    /// Maximum number of availability zones under an evacuation order.
    inline constexpr std::size_t maxEvacuatedZones = 256;
    /// Maximum number of key ranges of one service: enough for 1,754 upstreams with a dozen ranges each.
    inline constexpr std::size_t maxKeyRanges = 32'768;
}

}
