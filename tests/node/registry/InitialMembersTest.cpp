#include "node/registry/InitialMembers.h"

#include "adapters/disk/DataFolder.h"
#include "adapters/settings/TemporaryFolder.h"
#include "core/registry/RegistryService.h"
#include "core/support/SeededRandom.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;

namespace {

const std::vector<NodeId> nodes { NodeId { 1 }, NodeId { 2 }, NodeId { 3 } };

Result<DataFolder<>> open(const std::string& path)
{
    return DataFolder<>::open({}, path, initialDiskId(NodeId { 1 }));
}

using Service = RegistryService<SeededRandom, BinaryRegistryCodec>;

Service makeService(MemberState state)
{
    state.node = NodeId { 1 };
    return { std::move(state), nodes, SeededRandom { 1 }, {}, Instant { std::chrono::seconds { 1 } } };
}

}

TEST_CASE("initial members survive a restart that is not a bootstrap")
{
    // Guards against initial members that are kept in memory only: after a restart of all, no member has a
    // configuration, and no leader is ever elected.
    const TemporaryFolder folder;
    const auto path = (folder.path() / "data").string();
    {
        auto first = open(path);
        REQUIRE(first);
        auto state = first->takeState();
        REQUIRE(recordInitialMembers(*first, state, nodes));
        const auto service = makeService(std::move(state));
        CHECK(service.ledgerMember().members().size() == nodes.size());
        MemberEffects effects;
        effects.hardState = HardState { Term { 1 }, NodeId { 2 }, initialDiskId(NodeId { 2 }) };
        effects.append = { { Term { 1 }, LogIndex { 1 }, RemoveUpstream {} } };
        REQUIRE(first->write(effects));
    }
    auto second = open(path);
    REQUIRE(second);
    const auto service = makeService(second->takeState());
    CHECK(!service.startFailure());
    REQUIRE(service.ledgerMember().members().size() == nodes.size());
    CHECK(service.ledgerMember().members()[0] == MemberSpec { NodeId { 1 }, initialDiskId(NodeId { 1 }), true });
    CHECK(service.ledgerMember().role() == MemberRole::Follower);
    CHECK(service.ledgerMember().lastIndex() == LogIndex { 1 });
}

TEST_CASE("recordInitialMembers() leaves a store that is not empty unchanged")
{
    // Guards against a start with changed seeds that replaces the stored members.
    const TemporaryFolder folder;
    auto store = open((folder.path() / "data").string());
    REQUIRE(store);
    auto state = store->takeState();
    REQUIRE(recordInitialMembers(*store, state, nodes));
    REQUIRE(recordInitialMembers(*store, state, std::vector { NodeId { 9 } }));
    CHECK(state.snapshot->members.size() == nodes.size());
}
