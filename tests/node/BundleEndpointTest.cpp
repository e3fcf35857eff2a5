#include "node/BundleEndpoint.h"

#include "adapters/settings/BundleJson.h"
#include "node/PeerDirectory.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselturn;

namespace {

SignedBundle sampleBundle(std::uint64_t version)
{
    Bundle bundle;
    bundle.version = { version };
    bundle.regions = { { { 1 }, "wcape" } };
    bundle.zones = { { { 1 }, "wc-paarl", { 1 } } };
    bundle.entries = { { { 3 }, { 1 }, { "127.0.0.1", 9003 } } };
    bundle.members = { { { 1 }, { 1 }, { "127.0.0.1", 9101 } } };
    bundle.operators = { { "thandi", { 1 } } };
    auto sealed = sealBundle(bundle);
    sealed.signatures = { { "thandi", {} } };
    return sealed;
}

/// Submits bundles to an endpoint whose ledger and bundle check return results set by the test.
struct BundleEndpointFixture {
    std::optional<SignedBundle> accepted;
    bool isBehind {};
    Status checkStatus { success() };
    Result<ApplyOutcome> outcome { ApplyOutcome {} };
    int proposals {};

    HttpResponse submit(std::string_view body)
    {
        return submitBundle({ [this] { return this->accepted; }, [this] { return this->isBehind; },
                                [this](const SignedBundle&, const Bundle*) { return this->checkStatus; },
                                [this](const AcceptBundle&) {
                                    ++this->proposals;
                                    return this->outcome;
                                } },
            body);
    }
};

}

TEST_CASE("the response to a submitted bundle reports the ledger's decision", "[node]")
{
    BundleEndpointFixture fixture;
    const auto text = writeSignedBundle(sampleBundle(2));
    const auto accepted = fixture.submit(text);
    CHECK(accepted.status == 200);
    CHECK(nlohmann::json::parse(accepted.body).at("version") == 2);
    // Resubmitting the same bytes gets the same response, although the ledger applies nothing the second time.
    fixture.outcome = ApplyOutcome { ResultCode::AlreadyApplied };
    const auto again = fixture.submit(text);
    CHECK(again.status == accepted.status);
    CHECK(again.body == accepted.body);
    ApplyOutcome conflict { ResultCode::BundleConflict };
    conflict.winnerSigners = { "naledi" };
    fixture.outcome = conflict;
    const auto lost = fixture.submit(text);
    CHECK(lost.status == 409);
    CHECK(nlohmann::json::parse(lost.body).at("signers").at(0) == "naledi");
    fixture.outcome = ResultCode::NoQuorum;
    CHECK(fixture.submit(text).status == 503);
}

TEST_CASE("bundles that the ledger would reject are not proposed", "[node]")
{
    // Guards against invalid bundles filling the log: anybody who can reach the administration address may submit one.
    BundleEndpointFixture fixture;
    CHECK(fixture.submit("{").status == 400);
    CHECK(fixture.submit(std::string(limits::maxBundleBytes + 1, ' ')).status == 413);
    fixture.checkStatus = ResultCode::BundleUnknownSigner;
    const auto text = writeSignedBundle(sampleBundle(2));
    CHECK(fixture.submit(text).status == 403);
    CHECK(fixture.proposals == 0);
    // A VM that has not applied all committed entries may not know the current operators, so it leaves the check to
    // the ledger.
    fixture.isBehind = true;
    CHECK(fixture.submit(text).status == 200);
    CHECK(fixture.proposals == 1);
}

TEST_CASE("the peer list combines the members in the settings with the VMs in the accepted bundle", "[node]")
{
    BootstrapSettings bootstrap;
    bootstrap.members = { { NodeId { 1 }, "wc-paarl", "wcape", { "127.0.0.1", 9001 }, {} }, { NodeId { 2 }, "wc-paarl", "wcape", { "127.0.0.1", 9002 }, {} } };
    std::vector<PeerAddress> listed;
    PeerDirectory peers { bootstrap, [&listed](std::span<const PeerAddress> list) {
                             listed.assign(list.begin(), list.end());
                             return success();
                         } };
    REQUIRE(peers.setInitialPeers());
    CHECK(listed.size() == 2);
    OwnershipState state { [](const SignedBundle&, const Bundle*) { return success(); } };
    peers.update(state);
    CHECK(listed.size() == 2);
    const OwnershipState older = state;
    state.apply(LogIndex { 1 }, AcceptBundle { sampleBundle(2) });
    peers.update(state);
    REQUIRE(listed.size() == 3);
    // The bundle's address of node 1 overrides the one in the settings, since operators can change it by a bundle.
    CHECK(listed[0] == PeerAddress { NodeId { 1 }, { "127.0.0.1", 9101 } });
    // A VM with both roles also passes its other copy of the state, which may be older and must not shrink the list.
    peers.update(older);
    CHECK(listed.size() == 3);
}
