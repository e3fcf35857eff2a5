#include "core/ledger/Configuration.h"

#include "core/ledger/LedgerLimits.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

MemberSpec spec(std::uint32_t node, bool isVoter = true, std::uint64_t disk = 0)
{
    return { NodeId { node }, DiskId { disk != 0 ? disk : 100 + node }, isVoter };
}

}

TEST_CASE("a configuration changes by one member at a time")
{
    // Guards against consecutive configurations with disjoint quorums, which could elect two leaders.
    const std::vector<MemberSpec> from { spec(1), spec(2), spec(3), spec(4, false) };
    const std::vector<std::vector<MemberSpec>> valid {
        { spec(1), spec(2), spec(4, false) },
        { spec(1), spec(2), spec(3) },
        { spec(1), spec(2), spec(3), spec(4) },
        { spec(1), spec(2), spec(3), spec(4, false), spec(5, false) },
        { spec(1), spec(2), spec(3, false), spec(4, false) },
        { spec(1), spec(2), spec(3, false, 999), spec(4, false) },
    };
    for (const auto& to : valid) {
        CHECK(checkMemberChange(from, to));
    }
    std::vector<MemberSpec> tooMany;
    for (std::uint32_t node = 1; node <= limits::maxConfiguredMembers + 1; ++node) {
        tooMany.push_back(spec(node, node <= 3));
    }
    const std::vector<std::vector<MemberSpec>> invalid {
        from,
        {},
        { spec(4, false) },
        { spec(1), spec(2) },
        { spec(1), spec(2), spec(3), spec(5, false) },
        { spec(1), spec(2), spec(3, true, 999), spec(4, false) },
        { spec(1), spec(2), spec(3), spec(4, false), spec(5) },
        { spec(1), spec(2), spec(3), spec(4, false), spec(4, false) },
        tooMany,
    };
    for (const auto& to : invalid) {
        CAPTURE(to.size());
        CHECK(checkMemberChange(from, to).error() == ResultCode::MembershipChangeInvalid);
    }
}
