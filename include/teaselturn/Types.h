#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

/// Basic value types used throughout: identifiers, instants, addresses.
namespace teaselturn {

/// An integer identifier that does not convert to identifiers of another kind.
/// @tparam Tag Distinguishes kinds of identifier.
/// @tparam Rep Underlying unsigned integer.
template <typename Tag, typename Rep>
struct StrongId {
    using Representation = Rep;

    Rep value {};

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    friend constexpr auto operator<=>(const StrongId&, const StrongId&) noexcept = default; // NOLINT(modernize-use-nullptr)

    template <typename H>
    friend H AbslHashValue(H h, const StrongId& id)
    {
        return H::combine(std::move(h), id.value);
    }

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(this->value);
    }
};

/// A VM of the system (entry VM or ledger member), numbered by the bundle.
using NodeId = StrongId<struct NodeIdTag, std::uint32_t>;
/// A region, numbered by the bundle.
using RegionId = StrongId<struct RegionIdTag, std::uint16_t>;
/// An availability zone, numbered by the bundle.
using ZoneId = StrongId<struct ZoneIdTag, std::uint16_t>;
/// A service, numbered by the bundle.
using ServiceId = StrongId<struct ServiceIdTag, std::uint16_t>;
/// One start of an upstream's process: the log index of the command that first attached it.
using UpstreamId = StrongId<struct UpstreamIdTag, std::uint64_t>;
/// An attachment of an upstream to its lease manager: the log index of the attaching command.
using SessionId = StrongId<struct SessionIdTag, std::uint64_t>;
/// Fencing token of a slot: the log index of the command that assigned it. Zero means never assigned.
using Fence = StrongId<struct FenceTag, std::uint64_t>;
/// Election term of the ledger.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Position in the ledger's log, from 1. Zero means none.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/// One start of a process: its wall-clock start time in microseconds. A later start has a larger number.
using BootId = StrongId<struct BootIdTag, std::uint64_t>;
/// Random identity of a data folder, stored when the folder is created. A replaced disk has another identity.
using DiskId = StrongId<struct DiskIdTag, std::uint64_t>;
/// Version of a bundle, chosen by its operators. Later bundles have larger versions.
using BundleVersion = StrongId<struct BundleVersionTag, std::uint64_t>;

/// Clock type of Instant. It has no now(), since the core never reads a clock.
struct MonotonicClock {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by std::chrono.
};

/// Length of time, in nanoseconds.
using Duration = MonotonicClock::duration;
/// Point in time on the monotonic clock of one process. Instants of different processes are not comparable.
using Instant = MonotonicClock::time_point;

/// First slot index of isolated keys. Smaller indexes are hash partitions.
inline constexpr std::uint32_t firstHotKeySlot = 0x8000'0000;

/// Unit of ownership: a hash partition of a service, or a single hot key isolated from its partition.
struct SlotId {
    ServiceId service;
    std::uint32_t index {};

    friend constexpr auto operator<=>(const SlotId&, const SlotId&) noexcept = default; // NOLINT(modernize-use-nullptr): as in StrongId.

    /// @return True if the slot is an isolated key, not a hash partition.
    constexpr bool isHotKey() const noexcept { return this->index >= firstHotKeySlot; }

    template <typename H>
    friend H AbslHashValue(H h, const SlotId& slot)
    {
        return H::combine(std::move(h), slot.service, slot.index);
    }

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(this->service, this->index);
    }
};

/// IP address and port. Host names are not accepted anywhere.
struct Endpoint {
    std::string address;
    std::uint16_t port {};

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(this->address, this->port);
    }
};

/// A ledger member in the ledger's configuration: a node with a certain disk.
struct MemberSpec {
    NodeId node;
    DiskId disk;
    /// False for a learner, which receives the log but does not vote.
    bool voter {};

    friend bool operator==(const MemberSpec&, const MemberSpec&) = default;
};

/// Limits that apply throughout. docs/design.md lists them.
namespace limits {
    /// Maximum length of a key, in bytes.
    inline constexpr std::size_t maxKeyBytes = 256;
    /// Maximum length of a request id, in bytes.
    inline constexpr std::size_t maxRequestIdBytes = 64;
    /// Maximum deadline that a caller may set.
    inline constexpr std::chrono::milliseconds maxDeadline { 60'000 };
    /// Maximum number of hash partitions over all services.
    inline constexpr std::uint32_t maxPartitions = 1'048'576;
    /// Maximum number of attached upstreams.
    inline constexpr std::size_t maxUpstreams = 65'536;
    /// Maximum number of upstreams attached to one lease manager.
    inline constexpr std::size_t maxUpstreamsPerLeaseManager = 4'096;
    /// Maximum number of isolated hot keys over all services.
    inline constexpr std::size_t maxHotKeys = 1'024;
    /// Maximum size of a request or response body, in bytes.
    inline constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;
    /// Maximum payload of a message between processes of the system, in bytes.
    inline constexpr std::size_t maxMessageBytes = 1024 * 1024;
    /// Maximum size of a message between processes of the system before compression of its payload, in bytes.
    inline constexpr std::size_t maxDecodedMessageBytes = 8 * 1024 * 1024;
    /// Maximum size of a message sent as one datagram, in bytes. It fits an Ethernet frame without fragmentation.
    inline constexpr std::size_t maxDatagramBytes = 1'200;
    /// Maximum size of a signed bundle, in bytes.
    inline constexpr std::size_t maxBundleBytes = 512 * 1024;
}

/// Timing of leases and delegations. docs/design.md section 4.3 derives the takeover budget from it.
namespace timing {
    /// How long the ledger leader delegates lease renewal to an entry VM. It outlasts a renewal interval and an
    /// election. With 2,000 ms, a slot had no owner for more than 5 s after its upstream and then the leader failed.
    inline constexpr std::chrono::milliseconds delegationLength { 1'800 };
    /// Interval at which an entry VM renews its delegation.
    inline constexpr std::chrono::milliseconds delegationRenewal { 500 };
    /// Length of the lease on its slots that an upstream gets from its lease manager.
    inline constexpr std::chrono::milliseconds leaseLength { 1'000 };
    /// Interval at which an upstream sends heartbeats.
    inline constexpr std::chrono::milliseconds heartbeatInterval { 250 };
    /// Bound on clock drift: the rates of two monotonic clocks differ by at most 1 / driftDivisor.
    inline constexpr std::int64_t driftDivisor = 100;

    /// @param length Length on the holder's clock.
    /// @return Time that the granter must wait on its own clock so that `length` has passed on the holder's clock.
    constexpr Duration withDrift(Duration length) noexcept
    {
        return length + length / driftDivisor;
    }
}

}

template <typename Tag, typename Rep>
struct std::hash<teaselturn::StrongId<Tag, Rep>> {
    std::size_t operator()(const teaselturn::StrongId<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep> {}(id.value);
    }
};
