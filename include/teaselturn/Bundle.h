#pragma once

#include "teaselturn/Types.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselturn {

/// What happens to the slots of an availability zone that fell silent.
enum class ZoneRule : std::uint8_t {
    /// Leases of the zone end and the majority takes over.
    Move,
    /// The zone's upstreams keep their slots until the zone returns or a bundle retires it.
    Keep,
};

/// An availability zone with its region.
struct ZoneSpec {
    ZoneId id;
    std::string name;
    RegionId region;

    friend bool operator==(const ZoneSpec&, const ZoneSpec&) = default;
};

/// A region.
struct RegionSpec {
    RegionId id;
    std::string name;

    friend bool operator==(const RegionSpec&, const RegionSpec&) = default;
};

/// A VM of the system, as entry VM or ledger member.
struct NodeSpec {
    NodeId id;
    ZoneId zone;
    /// Where the other processes of the system reach it, over UDP and TCP.
    Endpoint peer;
    /// Disk identity of a ledger member's data folder. Zero where the bundle states none, and for entry VMs.
    DiskId disk;

    friend bool operator==(const NodeSpec&, const NodeSpec&) = default;
};

/// Rules of one service.
struct ServiceSpec {
    ServiceId id;
    std::string name;
    /// Number of hash partitions; it does not change over the life of a service.
    std::uint32_t partitions {};
    ZoneRule zoneRule { ZoneRule::Move };
    /// Larger numbers are shed later.
    std::uint8_t priority { 1 };
    /// Share of requests that must succeed, in parts per million.
    std::uint32_t objectivePerMillion { 999'000 };
    /// Requests slower than this count against the objective.
    std::chrono::milliseconds objectiveLatency { 250 };
    /// Most planned moves of slots in a minute.
    std::uint32_t movesPerMinute { 30 };
    /// Retries allowed, in per cent of requests.
    std::uint32_t retryBudgetPercent { 10 };

    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// An Ed25519 public key of an operator.
struct OperatorKey {
    std::string name;
    std::array<std::uint8_t, 32> publicKey {};

    friend bool operator==(const OperatorKey&, const OperatorKey&) = default;
};

/// A versioned set of services, VMs and rules, as operators write it. docs/design.md section 4.7 has the JSON form.
struct Bundle {
    BundleVersion version;
    std::vector<RegionSpec> regions;
    std::vector<ZoneSpec> zones;
    std::vector<NodeSpec> entries;
    std::vector<NodeSpec> members;
    std::vector<ServiceSpec> services;
    std::vector<OperatorKey> operators;
    /// Number of operators that must sign the next bundle.
    std::uint32_t threshold { 1 };
    /// Regions in the order in which the bundle comes into force. Empty means all at once.
    std::vector<RegionId> rollout;
    std::vector<ZoneId> retiredZones;

    friend bool operator==(const Bundle&, const Bundle&) = default;
};

/// Signature of a bundle's canonical bytes.
struct BundleSignature {
    std::string signer;
    std::array<std::uint8_t, 64> signature {};

    friend bool operator==(const BundleSignature&, const BundleSignature&) = default;
};

/// SHA-256 of a bundle's canonical bytes.
using BundleDigest = std::array<std::uint8_t, 32>;

/// A parsed bundle with the bytes that were signed. The bytes decide; the parsed form was derived from them.
struct SignedBundle {
    Bundle bundle;
    std::string canonicalBytes;
    BundleDigest digest {};
    std::vector<BundleSignature> signatures;

    friend bool operator==(const SignedBundle&, const SignedBundle&) = default;
};

}
