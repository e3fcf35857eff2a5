#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

/// Basic value types shared by every part: identifiers, instants, addresses.
namespace teaselturn {

/// An integer identifier that does not convert to identifiers of another kind.
/// @tparam Tag Distinguishes kinds of identifier.
/// @tparam Rep Underlying unsigned integer.
template <typename Tag, typename Rep>
struct StrongId {
    using Representation = Rep;

    Rep value {};

    // clang-tidy 14 takes the zero that a rewritten comparison is compared with for a null pointer.
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
/// One incarnation of an upstream: the log index of the command that first attached it.
using UpstreamId = StrongId<struct UpstreamIdTag, std::uint64_t>;
/// An attachment of an upstream to its lease manager: the log index of the attaching command.
using SessionId = StrongId<struct SessionIdTag, std::uint64_t>;
/// Fencing token of a slot: the log index of the command that assigned it. Zero means never assigned.
using Fence = StrongId<struct FenceTag, std::uint64_t>;
/// Election term of the ledger.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Position in the ledger's log, from 1. Zero means none.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;
/// Identity of one start of a process: its wall-clock start in microseconds. A later start has a larger number.
using BootId = StrongId<struct BootIdTag, std::uint64_t>;
/// Random identity of a data folder, written when the folder is created. A replaced disk has another one.
using DiskId = StrongId<struct DiskIdTag, std::uint64_t>;
/// Number of a bundle, chosen by its operators. Later bundles have larger numbers.
using BundleVersion = StrongId<struct BundleVersionTag, std::uint64_t>;

/// Tag clock of Instant: the core never reads a clock, so it has no now().
struct MonotonicClock {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that std::chrono asks for.
};

/// Length of time.
using Duration = MonotonicClock::duration;
/// Point on the monotonic clock of one process. Instants of two processes do not compare.
using Instant = MonotonicClock::time_point;

/// First slot index that stands for a key isolated from its partition; smaller indexes are hash partitions.
inline constexpr std::uint32_t firstHotKeySlot = 0x8000'0000;

/// The unit of ownership: a hash partition of a service, or a single hot key isolated from its partition.
struct SlotId {
    ServiceId service;
    std::uint32_t index {};

    friend constexpr auto operator<=>(const SlotId&, const SlotId&) noexcept = default; // NOLINT(modernize-use-nullptr): as above.

    /// @return True where the slot is a single key rather than a hash partition.
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

/// An IP number and port. Host names are not accepted anywhere.
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

/// A ledger member as the configuration counts it.
struct MemberSpec {
    NodeId node;
    DiskId disk;
    /// A learner receives the log and does not vote.
    bool voter {};

    friend bool operator==(const MemberSpec&, const MemberSpec&) = default;
};

/// Bounds shared by the parts and by the limits in docs/design.md.
namespace limits {
    /// Longest key, in bytes.
    inline constexpr std::size_t maxKeyBytes = 256;
    /// Longest request id, in bytes.
    inline constexpr std::size_t maxRequestIdBytes = 64;
    /// Longest deadline that a caller may ask for.
    inline constexpr std::chrono::milliseconds maxDeadline { 60'000 };
    /// Most hash partitions over all services.
    inline constexpr std::uint32_t maxPartitions = 1'048'576;
    /// Most upstreams known at a time.
    inline constexpr std::size_t maxUpstreams = 65'536;
    /// Most upstreams attached to one lease manager.
    inline constexpr std::size_t maxUpstreamsPerLeaseManager = 4'096;
    /// Most hot keys isolated at a time, over all services.
    inline constexpr std::size_t maxHotKeys = 1'024;
    /// Largest request or answer body carried, in bytes.
    inline constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;
    /// Largest payload of a message between processes of the system, in bytes.
    inline constexpr std::size_t maxMessageBytes = 1024 * 1024;
    /// Largest message between processes of the system before its payload is compressed, in bytes.
    inline constexpr std::size_t maxDecodedMessageBytes = 8 * 1024 * 1024;
    /// Largest message that goes as one datagram, in bytes; it fits an Ethernet frame without fragmentation.
    inline constexpr std::size_t maxDatagramBytes = 1'200;
    /// Largest signed bundle, in bytes.
    inline constexpr std::size_t maxBundleBytes = 512 * 1024;
}

/// Intervals of leases and delegations. docs/design.md section 4.3 derives the takeover budget from them.
namespace timing {
    /// How long the ledger leader delegates lease renewal to an entry VM. It outlasts a renewal interval and an election;
    /// with 2,000 ms a slot was without owner for more than 5 s when its upstream and then the leader failed.
    inline constexpr std::chrono::milliseconds delegationLength { 1'800 };
    /// How often an entry VM renews its delegation.
    inline constexpr std::chrono::milliseconds delegationRenewal { 500 };
    /// How long a lease manager leases an upstream's slots to it.
    inline constexpr std::chrono::milliseconds leaseLength { 1'000 };
    /// How often an upstream sends a heartbeat.
    inline constexpr std::chrono::milliseconds heartbeatInterval { 250 };
    /// Two monotonic clocks differ in rate by at most one part in this many.
    inline constexpr std::int64_t driftDivisor = 100;

    /// @param length Length as the holder counts it.
    /// @return Length that the granter must wait so that it has passed on the holder's clock under the drift bound.
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
