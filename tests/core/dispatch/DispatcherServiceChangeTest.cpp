#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto plainRoute = DispatchFixture::route("plain", RequestKind::AtMostOnce, milliseconds { 900 });
const auto keyedRoute = DispatchFixture::route("keys", RequestKind::AtMostOnce, milliseconds { 900 });

/// An entry VM whose two services have one upstream each, with all slots in use and two more requests queued.
struct BusyServices : DispatchFixture {
    RegisterUpstream plainUpstream = registerUpstream("p", "plain");
    RegisterUpstream owner = registerUpstream("o", "keys");
    std::vector<PendingRequestId> running;
    std::vector<PendingRequestId> waiting;

    BusyServices()
    {
        this->assign("keys", this->owner);
        this->dispatcher.setEntryCount(1);
        this->sync();
    }

    void assign(const std::string& service, const RegisterUpstream& upstream) { this->apply(AssignKeyRanges { service, { { 0, keyNumberCount - 1, upstream.key, "" } } }); }

    /// @param key Key of all requests; empty for requests without a key.
    void submitUntilTwoWait(const std::shared_ptr<const CompiledRoute>& route, std::optional<KeyNumber> key)
    {
        while (this->waiting.size() < 2) {
            this->clearDecisions();
            const auto id = this->submit(route, key);
            REQUIRE(this->decisionsOf<RefuseRequest>().empty());
            (this->decisionsOf<SendRequest>().empty() ? this->waiting : this->running).push_back(id);
        }
        this->clearDecisions();
    }

    void change(const std::string& service, bool isSharded, std::uint64_t version)
    {
        this->apply(ChangeItems { { serviceItem(service, isSharded, version) }, {} });
        this->sync();
    }

    /// Ends all running requests, then those that were waiting, as they are sent.
    /// @return The requests that were waiting, in the order in which they were sent.
    std::vector<PendingRequestId> endAll()
    {
        std::vector<PendingRequestId> sent;
        for (const auto id : this->running) {
            this->endAttempt(id, AttemptOutcome::Answered);
        }
        for (std::size_t handled = 0; handled < this->decisions.size(); ++handled) {
            if (const auto* send = std::get_if<SendRequest>(&this->decisions[handled])) {
                sent.push_back(send->id);
                this->endAttempt(send->id, AttemptOutcome::Answered);
            }
        }
        return sent;
    }

    /// Makes the next sync read all queues.
    void syncOtherUpstream()
    {
        this->registerUpstream("other", "plain");
        this->sync();
    }
};

}

TEST_CASE("requests that wait keep their place when their service becomes sharded")
{
    // Guards against requests that stay in a queue after they have ended: the next sync ended the process (review/6).
    BusyServices fixture;
    fixture.submitUntilTwoWait(plainRoute, KeyNumber { 7 });
    fixture.change("plain", true, 2);
    CHECK(fixture.decisions.empty());
    fixture.assign("plain", fixture.plainUpstream);
    fixture.sync();
    CHECK(fixture.endAll() == fixture.waiting);
    fixture.syncOtherUpstream();
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("requests that wait keep their place when their service is no longer sharded")
{
    // Guards against requests that stay in the queue of an owner, where nothing sends them any more.
    BusyServices fixture;
    fixture.submitUntilTwoWait(keyedRoute, KeyNumber { 7 });
    fixture.change("keys", false, 2);
    CHECK(fixture.endAll() == fixture.waiting);
    fixture.syncOtherUpstream();
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("requests that wait get a response when their service is sharded and dropped by turns")
{
    // Guards against queues that disagree with the service's item after a series of changes.
    BusyServices fixture;
    fixture.submitUntilTwoWait(keyedRoute, KeyNumber { 7 });
    fixture.change("keys", false, 2);
    fixture.apply(ChangeItems { {}, { { ItemKind::Service, "keys", 3 } } });
    fixture.sync();
    fixture.change("keys", true, 4);
    fixture.change("keys", false, 5);
    fixture.change("keys", true, 6);
    CHECK(fixture.endAll() == fixture.waiting);
    fixture.syncOtherUpstream();
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("a request that waits without a key is refused at once when its service becomes sharded")
{
    // Guards against requests that wait until their deadline although no upstream can own their key.
    BusyServices fixture;
    fixture.submitUntilTwoWait(plainRoute, std::nullopt);
    fixture.change("plain", true, 2);
    const auto refusals = fixture.decisionsOf<RefuseRequest>();
    REQUIRE(refusals.size() == 2);
    CHECK(refusals[0].id == fixture.waiting[0]);
    CHECK(refusals[0].reason == ResultCode::RequestNoOwner);
    CHECK(fixture.endAll().empty());
    fixture.syncOtherUpstream();
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("a request that waits expires when its service becomes sharded and no key is assigned")
{
    BusyServices fixture;
    fixture.submitUntilTwoWait(plainRoute, KeyNumber { 7 });
    fixture.change("plain", true, 2);
    fixture.endAll();
    fixture.clearDecisions();
    fixture.now += milliseconds { 1'000 };
    fixture.dispatcher.advance(fixture.now, fixture.decisions);
    CHECK(fixture.decisionsOf<RefuseRequest>().size() == 2);
    fixture.syncOtherUpstream();
    CHECK(fixture.dispatcher.pendingRequestCount() == 0);
}
