#pragma once

#include "teaselturn/Types.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselturn {

/// Decides who owns a service's slots after an availability zone has lost contact with the rest of the system.
enum class ZoneRule : std::uint8_t {
    /// Leases of the zone's upstreams end, and the majority assigns their slots to other upstreams.
    Move,
    /// The zone's upstreams keep their slots until contact returns or a bundle retires the zone.
    Keep,
};

/// An availability zone and the region that it belongs to.
struct ZoneSpec {
    ZoneId id;
    std::string name;
    RegionId region;

    friend bool operator==(const ZoneSpec&, const ZoneSpec&) = default;
};

/// A group of availability zones. A bundle is rolled out region by region.
struct RegionSpec {
    RegionId id;
    std::string name;

    friend bool operator==(const RegionSpec&, const RegionSpec&) = default;
};

/// A VM that runs the system: an entry VM or a ledger member.
struct NodeSpec {
    NodeId id;
    ZoneId zone;
    /// Address for messages from other processes of the system, over UDP and TCP.
    Endpoint peer;
    /// Disk identity of a ledger member's data folder. Zero if the bundle states none, and for entry VMs.
    DiskId disk;

    friend bool operator==(const NodeSpec&, const NodeSpec&) = default;
};

/// Configuration of one service.
struct ServiceSpec {
    ServiceId id;
    std::string name;
    /// Number of hash partitions. It is fixed for the life of the service.
    std::uint32_t partitions {};
    ZoneRule zoneRule { ZoneRule::Move };
    /// Under overload, requests of services with smaller numbers are shed first.
    std::uint8_t priority { 1 };
    /// Service level objective: share of requests that must succeed, in parts per million.
    std::uint32_t objectivePerMillion { 999'000 };
    /// Requests that take longer than this count against the objective.
    std::chrono::milliseconds objectiveLatency { 250 };
    /// Maximum number of planned slot moves per minute.
    std::uint32_t movesPerMinute { 30 };
    /// Maximum number of retries, in percent of requests.
    std::uint32_t retryBudgetPercent { 10 };

    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// Ed25519 public key of an operator.
struct OperatorKey {
    std::string name;
    std::array<std::uint8_t, 32> publicKey {};

    friend bool operator==(const OperatorKey&, const OperatorKey&) = default;
};

/// Versioned configuration of regions, zones, VMs, services and operators, as signed by operators. docs/design.md
/// section 4.7 describes its JSON form.
struct Bundle {
    BundleVersion version;
    std::vector<RegionSpec> regions;
    std::vector<ZoneSpec> zones;
    /// Entry VMs.
    std::vector<NodeSpec> entries;
    /// Ledger members.
    std::vector<NodeSpec> members;
    std::vector<ServiceSpec> services;
    std::vector<OperatorKey> operators;
    /// Number of operators whose signatures the next bundle needs.
    std::uint32_t threshold { 1 };
    /// Regions in the order in which the bundle comes into force. If empty, it comes into force everywhere at once.
    std::vector<RegionId> rollout;
    std::vector<ZoneId> retiredZones;

    friend bool operator==(const Bundle&, const Bundle&) = default;
};

/// An operator's Ed25519 signature of a bundle's canonical bytes.
struct BundleSignature {
    /// Name of the signing operator.
    std::string signer;
    std::array<std::uint8_t, 64> signature {};

    friend bool operator==(const BundleSignature&, const BundleSignature&) = default;
};

/// SHA-256 of a bundle's canonical bytes.
using BundleDigest = std::array<std::uint8_t, 32>;

/// A bundle with its signatures and the bytes that were signed. The bytes are authoritative: `bundle` is parsed from
/// them.
struct SignedBundle {
    Bundle bundle;
    std::string canonicalBytes;
    BundleDigest digest {};
    std::vector<BundleSignature> signatures;

    friend bool operator==(const SignedBundle&, const SignedBundle&) = default;
};

}
