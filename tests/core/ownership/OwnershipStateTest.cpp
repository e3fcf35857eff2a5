#include "core/support/OwnershipFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

constexpr SlotId slot { tills, 3 };

}

TEST_CASE("a fence is the log index of the assignment, and an assignment with another fence has no effect")
{
    // Guards against a former leader's decision that assigns an owned slot to a second upstream.
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const auto a = fixture.attach("a", tills);
    const auto b = fixture.attach("b", tills);
    CHECK(fixture.assign(slot, a.upstream).code == ResultCode::Ok);
    const auto fence = fixture.fenceOf(slot);
    CHECK(fence.value == fixture.state.appliedIndex().value);
    CHECK(fixture.apply(AssignSlots { { { slot, b.upstream, {} } } }).code == ResultCode::FenceOutdated);
    CHECK(fixture.apply(AssignSlots { { { slot, b.upstream, fence } } }).code == ResultCode::FenceOutdated);
    CHECK(fixture.state.findSlot(slot)->owner == a.upstream);
    CHECK(fixture.apply(AssignSlots { { { { tills, 99 }, b.upstream, {} } } }).code == ResultCode::SlotUnknown);
    CHECK(fixture.assign({ catalogue, 0 }, a.upstream).code != ResultCode::Ok);
}

TEST_CASE("attaching again keeps the upstream and its slots under a new session, and commands of the old session have no effect")
{
    // Guards against an expiry by the former lease manager that frees slots which the upstream serves under its new
    // session.
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const auto first = fixture.attach("a", tills);
    fixture.assign(slot, first.upstream);
    const auto second = fixture.attach("a", tills, NodeId { 2 });
    CHECK(second.upstream == first.upstream);
    CHECK(second.session > first.session);
    CHECK(fixture.apply(ExpireUpstream { first.upstream, first.session, ExpiryReason::LeaseEnded }).code == ResultCode::SessionOutdated);
    CHECK(fixture.release(first, slot).code == ResultCode::SessionOutdated);
    CHECK(fixture.state.findSlot(slot)->owner == first.upstream);

    // After its expiry the same process is a new upstream without slots.
    CHECK(fixture.apply(ExpireUpstream { second.upstream, second.session, ExpiryReason::LeaseEnded }).code == ResultCode::Ok);
    CHECK(fixture.state.findSlot(slot)->owner == UpstreamId {});
    CHECK(fixture.state.findSlot(slot)->freedAt == fixture.state.appliedIndex());
    const auto third = fixture.attach("a", tills);
    CHECK(third.upstream != first.upstream);
    CHECK(fixture.state.slotsOf(third.upstream).empty());
}

TEST_CASE("a released slot goes to the target of its move, or becomes free if the target no longer exists")
{
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const auto a = fixture.attach("a", tills);
    const auto b = fixture.attach("b", tills);
    fixture.assign(slot, a.upstream);
    CHECK(fixture.move(slot, b.upstream).code == ResultCode::Ok);
    const auto before = fixture.fenceOf(slot);
    const bool targetDies = GENERATE(false, true);
    if (targetDies) {
        fixture.apply(ExpireUpstream { b.upstream, b.session, ExpiryReason::LeaseEnded });
    }
    CHECK(fixture.release(a, slot).code == ResultCode::Ok);
    const auto* record = fixture.state.findSlot(slot);
    CHECK(record->owner == (targetDies ? UpstreamId {} : b.upstream));
    CHECK((record->fence > before) == !targetDies);
    CHECK(record->moveTarget == UpstreamId {});
    CHECK(fixture.apply(ReleaseSlots { a.upstream, a.session, { { slot, before } } }).code == ResultCode::FenceOutdated);
}

TEST_CASE("a slot released by an owner that does not check grants stays free")
{
    // Guards against a second owner while entry VMs with older tables still send to the first.
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const auto a = fixture.attach("a", tills, { 1 }, { 1 }, false);
    const auto b = fixture.attach("b", tills);
    fixture.assign(slot, a.upstream);
    fixture.move(slot, b.upstream);
    CHECK(fixture.release(a, slot).code == ResultCode::Ok);
    CHECK(fixture.state.findSlot(slot)->owner == UpstreamId {});
    CHECK_FALSE(fixture.state.findSlot(slot)->lastOwnerChecksGrants);
}

TEST_CASE("of two bundles with the same number the first wins, and the outcome of the other names the winner's signers")
{
    OwnershipFixture fixture;
    CHECK(fixture.apply(AcceptBundle { fixture.bundle(2) }).code == ResultCode::Ok);
    CHECK(fixture.apply(AcceptBundle { fixture.bundle(2) }).code == ResultCode::Ok);
    auto forged = fixture.bundle(2, "x");
    forged.digest = fixture.bundle(2).digest;
    const auto lost = fixture.apply(AcceptBundle { forged });
    CHECK(lost.code == ResultCode::BundleConflict);
    CHECK(lost.winner == fixture.bundle(2).digest);
    CHECK(lost.winnerSigners == std::vector<std::string> { "naledi" });
    CHECK(fixture.apply(AcceptBundle { fixture.bundle(1) }).code == ResultCode::BundleOutdated);
    fixture.refuseBundles = true;
    CHECK(fixture.apply(AcceptBundle { fixture.bundle(3) }).code == ResultCode::BundleSignatureInvalid);
    CHECK(fixture.state.acceptedBundle()->bundle.version == BundleVersion { 2 });
}

TEST_CASE("a rollout never reverts a region to an earlier bundle")
{
    // Guards against a third bundle that is accepted during the rollout of a second one and reverts the first region.
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const auto rolled = [&](std::uint64_t version, std::vector<RegionId> order) {
        auto bundle = fixture.bundle(version);
        bundle.bundle.rollout = std::move(order);
        return bundle;
    };
    const auto versionIn = [&](RegionId region) { return fixture.state.bundleInForce(region)->bundle.version.value; };
    fixture.apply(AcceptBundle { rolled(2, { wcape, ecape }) });
    CHECK(versionIn(wcape) == 2);
    CHECK(versionIn(ecape) == 1);
    fixture.apply(AcceptBundle { rolled(3, { wcape, ecape }) });
    CHECK(versionIn(wcape) == 3);
    CHECK(versionIn(ecape) == 1);
    CHECK(fixture.apply(AdvanceRollout { { 2 }, 2 }).code == ResultCode::BundleOutdated);
    CHECK(fixture.apply(AdvanceRollout { { 3 }, 3 }).code == ResultCode::AlreadyApplied);
    SECTION("another order that starts with the region not yet reached")
    {
        fixture.apply(AcceptBundle { rolled(4, { ecape, wcape }) });
        CHECK(versionIn(wcape) == 4);
        CHECK(versionIn(ecape) == 4);
    }
    SECTION("the same order")
    {
        CHECK(fixture.apply(AdvanceRollout { { 3 }, 2 }).code == ResultCode::Ok);
        CHECK(versionIn(ecape) == 3);
        CHECK_FALSE(fixture.state.isRollingOut());
    }
}

TEST_CASE("a bundle may not reuse an id of the bundle that other regions still have")
{
    // Guards against two services with the same slots: one in the regions that a rollout has reached, the other in the rest.
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    auto without = fixture.bundle(2);
    without.bundle.rollout = { wcape, ecape };
    std::erase_if(without.bundle.services, [](const ServiceSpec& service) { return service.id == catalogue; });
    REQUIRE(fixture.apply(AcceptBundle { without }).code == ResultCode::Ok);
    auto reused = fixture.bundle(3);
    reused.bundle.rollout = { wcape, ecape };
    reused.bundle.services[0].name = "desk";
    CHECK(fixture.apply(AcceptBundle { reused }).code == ResultCode::BundleInvalid);
    CHECK(fixture.state.acceptedBundle()->bundle.version == BundleVersion { 2 });
    REQUIRE(fixture.apply(AdvanceRollout { { 2 }, 2 }).code == ResultCode::Ok);
    CHECK(fixture.apply(AcceptBundle { reused }).code == ResultCode::Ok);
}

TEST_CASE("upstreams of a retired zone expire, and their slots wait for leases that may still be valid")
{
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const auto a = fixture.attach("a", tills);
    fixture.assign(slot, a.upstream);
    auto next = fixture.bundle(2);
    next.bundle.retiredZones = { paarl };
    fixture.apply(AcceptBundle { next });
    CHECK(fixture.state.findUpstream(a.upstream) == nullptr);
    CHECK(fixture.state.findSlot(slot)->owner == UpstreamId {});
    CHECK_FALSE(fixture.state.findSlot(slot)->lastOwnerChecksGrants);
    CHECK(fixture.attach("a", tills).code == ResultCode::ZoneRetired);
}

TEST_CASE("isolating a key gives the key and its partition a new fence, and merging requires a common owner")
{
    // Guards against requests for the key under the partition's old fence after the key has moved away.
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const auto a = fixture.attach("a", tills);
    const auto b = fixture.attach("b", tills);
    fixture.assignAll(tills, a.upstream);
    CHECK(fixture.apply(IsolateHotKey { tills, "fabric" }).code == ResultCode::Ok);
    CHECK(fixture.apply(IsolateHotKey { tills, "fabric" }).code == ResultCode::AlreadyApplied);
    const auto hot = *fixture.state.findHotKey(tills, "fabric");
    CHECK(hot.record.owner == a.upstream);
    CHECK(hot.record.fence == Fence { fixture.state.appliedIndex().value - 1 });
    CHECK(fixture.state.slotsOf(a.upstream).size() == fixturePartitions + 1);
    fixture.move(hot.slot, b.upstream);
    CHECK(fixture.apply(MergeHotKey { hot.slot }).code == ResultCode::FenceOutdated);
    fixture.release(a, hot.slot);
    CHECK(fixture.apply(MergeHotKey { hot.slot }).code == ResultCode::FenceOutdated);
    fixture.move(hot.slot, a.upstream);
    fixture.release(b, hot.slot);
    CHECK(fixture.apply(MergeHotKey { hot.slot }).code == ResultCode::Ok);
    CHECK(fixture.state.findHotKey(tills, "fabric") == nullptr);
    CHECK(fixture.state.slotsOf(a.upstream).size() == fixturePartitions);
}

TEST_CASE("a state restored from a snapshot behaves like the original")
{
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    const auto a = fixture.attach("a", tills);
    const auto b = fixture.attach("b", tills, { 2 });
    fixture.assignAll(tills, a.upstream);
    fixture.apply(IsolateHotKey { tills, "fabric" });
    fixture.move(slot, b.upstream);
    fixture.apply(ChangeMembers { { { { 1 }, { 2 }, true } } });
    OwnershipState copy { [](const SignedBundle&, const Bundle*) { return success(); } };
    copy.restore(fixture.state.snapshot());
    const LogIndex next { fixture.state.appliedIndex().value + 1 };
    const Command command = ExpireUpstream { a.upstream, a.session, ExpiryReason::Left };
    CHECK(copy.apply(next, command) == fixture.state.apply(next, command));
    CHECK(copy.snapshot() == fixture.state.snapshot());
    CHECK(copy.freeSlots() == fixture.state.freeSlots());
    CHECK(copy.apply(next, command).code == ResultCode::Internal);
}

TEST_CASE("the state refuses commands that exceed its limits and keeps applying others")
{
    // Guards against too many upstreams, hot keys or partitions exhausting the memory of every replica.
    OwnershipFixture fixture;
    fixture.apply(AcceptBundle { fixture.bundle(1) });
    SECTION("upstreams, per lease manager and in total")
    {
        std::uint32_t leaseManager = 1;
        for (std::size_t i = 0; i < limits::maxUpstreams; ++i) {
            leaseManager = static_cast<std::uint32_t>(1 + i / limits::maxUpstreamsPerLeaseManager);
            REQUIRE(fixture.attach("upstream-" + std::to_string(i), tills, NodeId { leaseManager }).code == ResultCode::Ok);
            if ((i + 1) % limits::maxUpstreamsPerLeaseManager == 0) {
                REQUIRE(fixture.attach("another", tills, NodeId { leaseManager }).code == ResultCode::TooManyUpstreams);
            }
        }
        CHECK(fixture.attach("another", tills, NodeId { 999 }).code == ResultCode::TooManyUpstreams);
        // An attached upstream may still change its lease manager.
        CHECK(fixture.attach("upstream-0", tills, NodeId { 999 }).code == ResultCode::Ok);
        CHECK(fixture.attach("upstream-1", tills, NodeId { leaseManager }).code == ResultCode::TooManyUpstreams);
    }
    SECTION("hot keys")
    {
        for (std::size_t i = 0; i < limits::maxHotKeys; ++i) {
            REQUIRE(fixture.apply(IsolateHotKey { tills, "key-" + std::to_string(i) }).code == ResultCode::Ok);
        }
        CHECK(fixture.apply(IsolateHotKey { tills, "another" }).code == ResultCode::TooManyHotKeys);
        CHECK(fixture.apply(IsolateHotKey { tills, std::string(limits::maxKeyBytes + 1, 'k') }).code == ResultCode::RequestKeyInvalid);
        CHECK(fixture.state.hotKeyCount() == limits::maxHotKeys);
    }
    SECTION("partitions over all services")
    {
        auto next = fixture.bundle(2);
        next.bundle.services.push_back({ ServiceId { 3 }, "dispatch", limits::maxPartitions - 2 * fixturePartitions + 1 });
        CHECK(fixture.apply(AcceptBundle { next }).code == ResultCode::BundleInvalid);
        --next.bundle.services.back().partitions;
        CHECK(fixture.apply(AcceptBundle { next }).code == ResultCode::Ok);
        CHECK(fixture.state.partitions({ 3 }).size() == limits::maxPartitions - 2 * fixturePartitions);
    }
}
