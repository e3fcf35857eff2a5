#include "core/dispatch/DispatchFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto plainRoute = DispatchFixture::route("plain", RequestKind::Idempotent, milliseconds { 800 });
const auto keyedRoute = DispatchFixture::route("keys", RequestKind::AtMostOnce, milliseconds { 800 });
constexpr milliseconds warmUpTime { 3'000 };

DispatchOptions options()
{
    DispatchOptions result { "z1", {}, 1, 200, 10'000, milliseconds { 10'000 } };
    result.warmUpOverage = 1.5;
    result.warmUpSlack = 8;
    return result;
}

ConfigItem warmUpService(const std::string& name, bool isSharded, std::uint64_t version = 2, std::uint32_t milliRequestsPerSecond = 5'200)
{
    auto item = serviceItem(name, isSharded, version);
    auto& content = std::get<ServiceItem>(item.content);
    content.warmUpTime = warmUpTime;
    content.warmUpMilliRequestsPerSecond = milliRequestsPerSecond;
    item.document += " with warm-up";
    return item;
}

/// An entry VM that has synced with an owner of all keys and two upstreams without keys, all warm.
struct EntryVm : DispatchFixture {
    RegisterUpstream owner = registerUpstream("owner", "keys");
    RegisterUpstream first = registerUpstream("first", "plain");
    RegisterUpstream second = registerUpstream("second", "plain");

    explicit EntryVm(std::uint32_t entryCount = 1)
        : DispatchFixture(options())
    {
        this->apply(ChangeItems { { warmUpService("plain", false), warmUpService("keys", true) }, {} });
        this->apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, this->owner.key, "" } } });
        this->dispatcher.setEntryCount(entryCount);
        this->sync();
    }

    void beginWarmUp(const UpstreamKey& key, Duration timeLeft = warmUpTime)
    {
        this->apply(BeginWarmUp { key, timeLeft });
        this->sync();
    }

    /// Submits a request every 10 ms and answers each at once.
    /// @return When requests reached the upstream.
    std::vector<Instant> sendsTo(const UpstreamKey& key, const std::shared_ptr<const CompiledRoute>& route, Duration time)
    {
        std::vector<Instant> sends;
        for (const auto end = this->now + time; this->now < end; this->now += milliseconds { 10 }) {
            this->clearDecisions();
            this->dispatcher.advance(this->now, this->decisions);
            this->submit(route, KeyNumber { 5 });
            for (std::size_t handled = 0; handled < this->decisions.size(); ++handled) {
                if (const auto* send = std::get_if<SendRequest>(&this->decisions[handled])) {
                    if (send->upstream == key) {
                        sends.push_back(this->now);
                    }
                    this->endAttempt(send->id, AttemptOutcome::Answered);
                }
            }
        }
        return sends;
    }
};

std::size_t busiestSecond(const std::vector<Instant>& sends)
{
    std::size_t most = 0;
    for (std::size_t i = 0; i < sends.size(); ++i) {
        const auto end = std::ranges::find_if(sends, [&](Instant at) { return at > sends[i] + std::chrono::seconds { 1 }; });
        most = std::max(most, static_cast<std::size_t>(end - sends.begin()) - i);
    }
    return most;
}

}

TEST_CASE("a cold owner gets its share of requests, then load returns")
{
    // Guards against a crash of the cold owner: with one entry VM, the share is the rate that the upstream tolerates.
    EntryVm vm;
    CHECK(vm.sendsTo(vm.owner.key, keyedRoute, std::chrono::seconds { 1 }).size() > 90);
    vm.beginWarmUp(vm.owner.key);
    const auto cold = vm.sendsTo(vm.owner.key, keyedRoute, warmUpTime);
    CHECK(busiestSecond(cold) <= 7);
    CHECK(cold.size() >= 13);
    vm.sendsTo(vm.owner.key, keyedRoute, warmUpTime);
    CHECK(vm.sendsTo(vm.owner.key, keyedRoute, std::chrono::seconds { 1 }).size() > 90);
}

TEST_CASE("an upstream that refused a connection is taken for cold")
{
    // Guards against full load on a process that was started again before the registry knew of it. The entry VM still has
    // the endpoint of the process before, and its key.
    EntryVm vm;
    const auto id = vm.submit(keyedRoute, KeyNumber { 5 });
    REQUIRE(vm.decisionsOf<SendRequest>().size() == 1);
    vm.dispatcher.connectionRefused(vm.now, id);
    vm.endAttempt(id, AttemptOutcome::NotSent);
    const auto sends = vm.sendsTo(vm.owner.key, keyedRoute, warmUpTime);
    CHECK(busiestSecond(sends) <= 8);
    CHECK(sends.size() >= 13);
    vm.sendsTo(vm.owner.key, keyedRoute, warmUpTime);
    CHECK(vm.sendsTo(vm.owner.key, keyedRoute, std::chrono::seconds { 1 }).size() > 90);
}

TEST_CASE("retries and probes of a cold owner count against its limit")
{
    EntryVm vm;
    vm.beginWarmUp(vm.owner.key);
    std::size_t sends = 0;
    const auto route = DispatchFixture::route("keys", RequestKind::Idempotent, milliseconds { 800 });
    for (const auto end = vm.now + warmUpTime; vm.now < end; vm.now += milliseconds { 10 }) {
        vm.clearDecisions();
        vm.dispatcher.advance(vm.now, vm.decisions);
        vm.submit(route, KeyNumber { 5 });
        for (std::size_t handled = 0; handled < vm.decisions.size(); ++handled) {
            if (const auto* send = std::get_if<SendRequest>(&vm.decisions[handled])) {
                ++sends;
                vm.endAttempt(send->id, sends % 2 == 0 ? AttemptOutcome::Overloaded : AttemptOutcome::Misdirected);
            }
        }
    }
    CHECK(sends > 0);
    CHECK(sends <= 17);
}

TEST_CASE("a request for a cold owner without room is refused at once and told when to return")
{
    EntryVm vm { 63 };
    vm.beginWarmUp(vm.owner.key);
    std::size_t refused = 0;
    for (int i = 0; i < 20; ++i) {
        vm.clearDecisions();
        vm.submit(keyedRoute, KeyNumber { 5 });
        for (const auto& refusal : vm.decisionsOf<RefuseRequest>()) {
            CHECK(refusal.reason == ResultCode::RequestUpstreamCold);
            CHECK(refusal.retryAfter >= milliseconds { 1'000 });
            ++refused;
        }
    }
    CHECK(refused >= 18);
    // Towards the end, the callers return one after the other while load returns.
    vm.now += milliseconds { 2'900 };
    vm.clearDecisions();
    for (int i = 0; i < 20; ++i) {
        vm.submit(keyedRoute, KeyNumber { 5 });
    }
    std::set<Duration> times;
    for (const auto& refusal : vm.decisionsOf<RefuseRequest>()) {
        CHECK(refusal.retryAfter < milliseconds { 2'000 });
        times.insert(refusal.retryAfter);
    }
    REQUIRE(times.size() > 10);
    CHECK(*times.rbegin() - *times.begin() > milliseconds { 500 });
}

TEST_CASE("a request waits for a cold owner if its time allows it and is sent when the next send is due")
{
    // Guards against requests that wait until their deadline because no timer is set.
    EntryVm vm;
    vm.beginWarmUp(vm.owner.key);
    std::size_t sent = 0;
    for (int i = 0; i < 8; ++i) {
        vm.clearDecisions();
        vm.submit(keyedRoute, KeyNumber { 5 });
        for (int turn = 0; turn < 3; ++turn) {
            for (const auto& send : vm.decisionsOf<SendRequest>()) {
                CHECK(send.wasHeldForWarmUp == (turn > 0));
                vm.clearDecisions();
                vm.endAttempt(send.id, AttemptOutcome::Answered);
                ++sent;
            }
            const auto next = vm.dispatcher.nextDeadline();
            if (next && vm.dispatcher.pendingRequestCount() > 0) {
                CHECK(*next > vm.now);
                CHECK(*next - vm.now < milliseconds { 250 });
                vm.now = *next;
                vm.dispatcher.advance(vm.now, vm.decisions);
            }
        }
    }
    CHECK(sent == 8);
    CHECK(vm.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("a request that a cold owner could be sent only after its target latency is refused at once")
{
    // Guards against an admission that does not see the limit: requests would wait until they are late.
    EntryVm vm;
    vm.beginWarmUp(vm.owner.key);
    const auto route = DispatchFixture::route("keys", RequestKind::AtMostOnce, milliseconds { 300 });
    for (int i = 0; i < 10; ++i) {
        vm.submit(route, KeyNumber { 5 });
    }
    CHECK(vm.dispatcher.pendingRequestCount() <= 2);
    for (const auto& refusal : vm.decisionsOf<RefuseRequest>()) {
        CHECK(refusal.reason == ResultCode::RequestUpstreamCold);
    }
}

TEST_CASE("queued requests that a cold owner cannot be sent in their time are refused when the warm-up begins")
{
    EntryVm vm { 63 };
    for (int i = 0; i < 6; ++i) {
        vm.submit(keyedRoute, KeyNumber { 5 });
    }
    const auto before = vm.decisionsOf<SendRequest>().size();
    REQUIRE(before < 6);
    vm.clearDecisions();
    vm.beginWarmUp(vm.owner.key);
    CHECK(vm.decisionsOf<RefuseRequest>().size() >= 5 - before);
    CHECK(vm.decisionsOf<SendRequest>().empty());
}

TEST_CASE("requests without keys go to warm upstreams")
{
    EntryVm vm;
    vm.beginWarmUp(vm.first.key);
    CHECK(vm.sendsTo(vm.first.key, plainRoute, warmUpTime).empty());
    CHECK(vm.decisionsOf<RefuseRequest>().empty());
    // Without the other upstream, all requests of this entry VM come back in the recovery.
    vm.apply(RemoveUpstream { vm.second.key, true });
    vm.sync();
    const auto early = vm.sendsTo(vm.first.key, plainRoute, milliseconds { 1'000 }).size();
    const auto late = vm.sendsTo(vm.first.key, plainRoute, milliseconds { 2'000 }).size();
    CHECK(early > 3);
    CHECK(early < 30);
    CHECK(late > 2 * early);
    CHECK(vm.sendsTo(vm.first.key, plainRoute, milliseconds { 1'000 }).size() > 90);
}

TEST_CASE("requests without keys use the shares of cold upstreams if none is warm, and no more")
{
    EntryVm vm;
    vm.beginWarmUp(vm.first.key);
    vm.beginWarmUp(vm.second.key);
    const auto toFirst = vm.sendsTo(vm.first.key, plainRoute, milliseconds { 1'500 });
    CHECK(!toFirst.empty());
    CHECK(busiestSecond(toFirst) <= 7);
    CHECK(vm.sendsTo(vm.second.key, plainRoute, milliseconds { 1'500 }).size() <= 9);
    const auto refused = vm.decisionsOf<RefuseRequest>();
    CHECK(std::ranges::all_of(refused, [](const RefuseRequest& refusal) { return refusal.reason == ResultCode::RequestUpstreamCold; }));
}

TEST_CASE("a retry that only a cold upstream is left for is refused at once if its time does not allow it")
{
    EntryVm vm { 63 };
    vm.beginWarmUp(vm.first.key);
    const auto id = vm.submit(plainRoute);
    REQUIRE(vm.decisionsOf<SendRequest>().at(0).upstream == vm.second.key);
    vm.endAttempt(id, AttemptOutcome::Overloaded);
    REQUIRE(vm.decisionsOf<RefuseRequest>().size() == 1);
    CHECK(vm.decisionsOf<RefuseRequest>()[0].reason == ResultCode::RequestUpstreamCold);
    CHECK(vm.dispatcher.pendingRequestCount() == 0);
}

TEST_CASE("an upstream that registers after the first sync is cold until the registry says otherwise")
{
    EntryVm vm;
    const auto added = vm.registerUpstream("added", "plain");
    vm.sync();

    SECTION("no other upstream is left")
    {
        vm.apply(RemoveUpstream { vm.first.key, true });
        vm.apply(RemoveUpstream { vm.second.key, true });
        vm.sync();
        const auto sends = vm.sendsTo(added.key, plainRoute, warmUpTime);
        CHECK(!sends.empty());
        CHECK(sends.size() <= 17);
    }
    SECTION("the registry states that it started warm")
    {
        const auto warm = vm.registerUpstream("warm", "plain");
        vm.sync();
        vm.beginWarmUp(warm.key, Duration::zero());
        for (const auto& other : { vm.first, vm.second, added }) {
            vm.apply(RemoveUpstream { other.key, true });
        }
        vm.sync();
        CHECK(vm.sendsTo(warm.key, plainRoute, milliseconds { 500 }).size() > 45);
    }
    SECTION("another upstream that is certainly older was not known before, because this entry VM was cut off")
    {
        auto young = announcement("young", "plain", 1'700'000'100'000);
        auto old = announcement("old", "plain", 1'700'000'000'000);
        vm.apply(young);
        vm.apply(old);
        for (const auto& other : { vm.first, vm.second, added }) {
            vm.apply(RemoveUpstream { other.key, true });
        }
        vm.sync();
        CHECK(vm.sendsTo(old.key, plainRoute, milliseconds { 500 }).size() > 45);
        CHECK(vm.sendsTo(young.key, plainRoute, milliseconds { 500 }).empty());
    }
}

TEST_CASE("an entry VM that starts takes only those upstreams for cold that the registry states")
{
    DispatchFixture vm { options() };
    vm.apply(ChangeItems { { warmUpService("plain", false), warmUpService("keys", true) }, {} });
    const auto warm = vm.registerUpstream("warm", "plain");
    const auto ended = vm.registerUpstream("ended", "plain");
    const auto cold = vm.registerUpstream("cold", "plain");
    vm.apply(BeginWarmUp { ended.key, warmUpTime });
    vm.apply(BeginWarmUp { ended.key, Duration::zero() });
    vm.apply(BeginWarmUp { cold.key, warmUpTime });
    vm.sync();
    std::set<std::string> used;
    for (int i = 0; i < 6; ++i) {
        vm.submit(plainRoute);
    }
    for (const auto& send : vm.decisionsOf<SendRequest>()) {
        used.insert(send.upstream.name);
    }
    CHECK(used == std::set<std::string> { "ended", "warm" });
}

TEST_CASE("an upstream that registered before its service was configured is not taken for cold")
{
    // Guards against a delayed start of the whole system if an entry VM learns of both at once.
    DispatchFixture vm { options() };
    vm.sync();
    const auto early = vm.registerUpstream("early", "plain");
    vm.apply(ChangeItems { { warmUpService("plain", false) }, {} });
    vm.sync();
    vm.submit(plainRoute);
    CHECK(vm.decisionsOf<SendRequest>().size() == 1);
}

TEST_CASE("an upstream that turns cold again with the same time left is limited again")
{
    EntryVm vm;
    vm.beginWarmUp(vm.owner.key);
    vm.sendsTo(vm.owner.key, keyedRoute, 3 * warmUpTime);
    // The registry's statement that it was warm in between and the next one arrive together.
    vm.apply(BeginWarmUp { vm.owner.key, Duration::zero() });
    vm.beginWarmUp(vm.owner.key);
    CHECK(vm.sendsTo(vm.owner.key, keyedRoute, warmUpTime).size() <= 17);
}

TEST_CASE("an upstream of a service without a warm-up is not limited")
{
    DispatchFixture vm { options() };
    vm.sync();
    const auto added = vm.registerUpstream("added", "plain");
    vm.sync();
    vm.submit(plainRoute);
    CHECK(vm.decisionsOf<SendRequest>().size() == 1);
}

TEST_CASE("queued requests that can no longer be answered are refused when their owner turns cold")
{
    // Guards against the use of a queue that the refusal of its last request has removed: it ended entry VMs.
    EntryVm vm { 63 };
    for (int i = 0; i < 6; ++i) {
        vm.submit(keyedRoute, KeyNumber { 5 });
    }
    const auto sent = vm.decisionsOf<SendRequest>().size();
    const auto refused = vm.decisionsOf<RefuseRequest>().size();
    REQUIRE(sent + refused < 6);
    vm.now += milliseconds { 985 };
    CHECK_NOTHROW(vm.beginWarmUp(vm.owner.key));
    CHECK(vm.decisionsOf<RefuseRequest>().size() == 6 - sent);
    CHECK(vm.dispatcher.pendingRequestCount() == sent);
}

TEST_CASE("requests that wait for a cold upstream are sent when their service loses its warm-up")
{
    // Guards against requests that wait for the end of a limit that the configuration no longer has, without a time at which
    // they are tried again.
    EntryVm vm;
    vm.beginWarmUp(vm.first.key);
    vm.beginWarmUp(vm.second.key);
    vm.beginWarmUp(vm.owner.key);
    const bool isSharded = GENERATE(false, true);
    const auto route = isSharded ? keyedRoute : plainRoute;
    const auto submitted = [&] {
        vm.clearDecisions();
        const auto id = vm.submit(route, KeyNumber { 5 });
        REQUIRE(vm.decisionsOf<RefuseRequest>().empty());
        return vm.decisionsOf<SendRequest>().empty() ? std::optional { id } : std::nullopt;
    };
    auto waiting = submitted();
    while (!waiting) {
        waiting = submitted();
    }
    vm.clearDecisions();
    vm.apply(ChangeItems { { serviceItem(isSharded ? "keys" : "plain", isSharded, 3) }, {} });
    vm.sync();
    const auto sends = vm.decisionsOf<SendRequest>();
    REQUIRE(sends.size() == 1);
    CHECK(sends[0].id == *waiting);
}

TEST_CASE("a cold upstream is limited again when its service regains its warm-up")
{
    // Guards against full load on a cold upstream after a service lost its warm-up for a moment.
    EntryVm vm;
    vm.beginWarmUp(vm.owner.key);
    vm.apply(ChangeItems { { serviceItem("keys", true, 3) }, {} });
    vm.sync();
    vm.apply(ChangeItems { { warmUpService("keys", true, 4) }, {} });
    vm.sync();
    CHECK(busiestSecond(vm.sendsTo(vm.owner.key, keyedRoute, warmUpTime)) <= 7);
}

TEST_CASE("a cold upstream gets the rate of its service's newest item")
{
    // Guards against a rate that a change lowered and that stays in effect until the upstream is warm.
    EntryVm vm;
    vm.beginWarmUp(vm.owner.key);
    vm.apply(ChangeItems { { warmUpService("keys", true, 3, 1'000) }, {} });
    vm.sync();
    CHECK(busiestSecond(vm.sendsTo(vm.owner.key, keyedRoute, warmUpTime)) <= 2);
}
