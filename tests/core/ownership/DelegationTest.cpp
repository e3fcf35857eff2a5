#include "core/ownership/AppliedIndexHistory.h"
#include "core/ownership/DelegationTable.h"
#include "core/ownership/HeldDelegations.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1h };
constexpr auto delegation = timing::withDrift(timing::delegationLength);
constexpr NodeId entry { 1 };

DelegationRequest request(std::uint64_t sequence, std::uint64_t boot, std::uint64_t applied)
{
    return { sequence, BootId { boot }, LogIndex { applied }, BundleVersion { sequence }, true, {}, {} };
}

DelegationReply reply(std::uint64_t commitIndex, std::chrono::milliseconds length = timing::delegationLength)
{
    return { 1, ResultCode::Ok, length, LogIndex { commitIndex }, {} };
}

}

TEST_CASE("renewals that arrive out of order neither shorten a delegation nor revert the reported state")
{
    // Guards against a delayed datagram after which the leader would consider the delegation ended or the entry VM
    // behind.
    DelegationTable table;
    REQUIRE(table.renew(start, entry, request(2, 1, 20)));
    table.extend(start + 10ms, entry, BootId { 1 });
    REQUIRE(table.renew(start + 5ms, entry, request(1, 1, 10)));
    CHECK(table.find(entry)->bundleInForce == BundleVersion { 2 });
    CHECK(table.hasApplied(entry, LogIndex { 20 }));
    CHECK_FALSE(table.hasEnded(start + 10ms + delegation - 1ns, entry, BootId { 1 }));
    CHECK(table.hasEnded(start + 10ms + delegation, entry, BootId { 1 }));
}

TEST_CASE("delegations are tracked per boot of an entry VM, and an older boot gets none")
{
    DelegationTable table;
    CHECK(table.hasEnded(start, entry, BootId { 1 }));
    CHECK_FALSE(table.holdsDelegation(start, entry));
    table.renew(start, entry, request(5, 1, 20));
    table.renew(start + 1s, entry, request(1, 2, 3));
    CHECK_FALSE(table.renew(start + 1s, entry, request(6, 1, 21)));
    CHECK_FALSE(table.hasEnded(start + delegation - 1ns, entry, BootId { 1 }));
    CHECK(table.hasEnded(start + delegation, entry, BootId { 1 }));
    CHECK(table.holdsDelegation(start + delegation, entry));
    // A new boot has applied only what it reports itself.
    CHECK_FALSE(table.hasApplied(entry, LogIndex { 20 }));
    CHECK_FALSE(table.isSuperseded(start + 1s + delegation - 1ns, entry, BootId { 1 }));
    CHECK(table.isSuperseded(start + 1s + delegation, entry, BootId { 1 }));
    CHECK_FALSE(table.isSuperseded(start + 1h, entry, BootId { 2 }));
}

TEST_CASE("an index counts as applied before all delegations one delegation length after it was applied, not earlier")
{
    // Guards against reassigning slots of an owner that does not check grants while an older table is still in use.
    AppliedIndexHistory history;
    history.reset(start, LogIndex { 5 });
    CHECK(history.appliedBeforeDelegations(start + delegation - 1ns) == LogIndex {});
    CHECK(history.appliedBeforeDelegations(start + delegation) == LogIndex { 5 });
    for (std::uint64_t i = 0; i < 100; ++i) {
        history.recordApplied(start + 10s + std::chrono::milliseconds { i }, LogIndex { 6 + i });
    }
    // Entries are recorded together, which may delay the result but never makes it early.
    for (std::uint64_t i = 0; i < 150; ++i) {
        const auto now = start + 10s + std::chrono::milliseconds { i } + delegation;
        const auto index = history.appliedBeforeDelegations(now - 1ns).value;
        CHECK(index <= std::max<std::uint64_t>(5, 5 + i));
        CHECK(index + 11 >= std::min<std::uint64_t>(105, 5 + i));
    }
    CHECK(history.appliedBeforeDelegations(start + 1h) == LogIndex { 105 });
    history.reset(start + 1h, LogIndex { 105 });
    CHECK(history.appliedBeforeDelegations(start + 1h) == LogIndex {});
}

TEST_CASE("a lease manager keeps its usable delegation while a longer one waits for its commit index")
{
    // Guards against an entry VM that lags slightly and loses its leases with every renewal.
    HeldDelegations delegations;
    delegations.add(start, reply(10));
    delegations.add(start + 500ms, reply(20));
    CHECK(delegations.end() == start + 500ms + timing::delegationLength);
    CHECK(delegations.usableUntil(LogIndex { 9 }) == Instant {});
    CHECK(delegations.usableUntil(LogIndex { 10 }) == start + timing::delegationLength);
    CHECK(delegations.usableUntil(LogIndex { 20 }) == start + 500ms + timing::delegationLength);
    SECTION("a late reply to an earlier request does not change the end")
    {
        delegations.add(start - 500ms, reply(30));
        CHECK(delegations.usableUntil(LogIndex { 30 }) == start + 500ms + timing::delegationLength);
    }
    SECTION("refusals have no effect")
    {
        auto refused = reply(5);
        refused.code = ResultCode::DelegationMissing;
        delegations.add(start + 1s, refused);
        delegations.add(start + 1s, reply(5, 0ms));
        CHECK(delegations.end() == start + 500ms + timing::delegationLength);
    }
    SECTION("many delegations not yet usable do not evict the longest")
    {
        for (std::uint64_t i = 0; i < 50; ++i) {
            delegations.add(start + 600ms + std::chrono::milliseconds { i }, reply(100 + i));
        }
        CHECK(delegations.usableUntil(LogIndex { 149 }) == start + 649ms + timing::delegationLength);
    }
}
