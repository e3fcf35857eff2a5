#include "core/dispatch/DispatchFixture.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

const auto patientRoute = DispatchFixture::route("plain", RequestKind::Idempotent, milliseconds { 900 });

DispatchOptions optionsOf(std::uint64_t preferenceSeed, Placement placement = Placement::Subset)
{
    DispatchOptions options { "z1", {}, preferenceSeed, 200, 100, milliseconds { 10'000 } };
    options.placement = placement;
    return options;
}

/// One entry VM of many and a service of many upstreams.
struct ManyUpstreams : DispatchFixture {
    explicit ManyUpstreams(int count, DispatchOptions options = optionsOf(1))
        : DispatchFixture(std::move(options))
    {
        this->dispatcher.setEntryCount(60);
        for (int i = 0; i < count; ++i) {
            this->registerUpstream("u" + std::to_string(i), "plain");
        }
        this->sync();
    }

    /// Sends a request and answers it after a time, with the load that the upstream states.
    /// @return The upstream that got it.
    std::string serve(
        milliseconds time, const std::function<std::optional<ReportedLoad>(const std::string&)>& loadOf = [](const std::string&) { return std::nullopt; })
    {
        this->clearDecisions();
        this->submit(patientRoute);
        const auto send = this->decisionsOf<SendRequest>().at(0);
        this->now += time;
        this->dispatcher.noticeReceived(this->now, send.id, { false, {}, loadOf(send.upstream.name) }, this->decisions);
        this->endAttempt(send.id, AttemptOutcome::Answered);
        return send.upstream.name;
    }
};

}

TEST_CASE("an entry VM of many uses few upstreams, and together they use all")
{
    // Guards against connections from every entry VM to every upstream, and against subsets that leave upstreams idle.
    std::map<std::string, int> users;
    for (std::uint64_t entry = 1; entry <= 60; ++entry) {
        ManyUpstreams fixture { 60, optionsOf(entry) };
        std::set<std::string> used;
        std::deque<PendingRequestId> running;
        for (int i = 0; i < 100; ++i) {
            fixture.clearDecisions();
            fixture.now += milliseconds { 10 };
            running.push_back(fixture.submit(patientRoute));
            if (running.size() > 5) {
                fixture.endAttempt(running.front(), AttemptOutcome::Answered);
                running.pop_front();
            }
            for (const auto& send : fixture.decisionsOf<SendRequest>()) {
                used.insert(send.upstream.name);
            }
        }
        CHECK(used.size() <= 10);
        for (const auto& name : used) {
            ++users[name];
        }
    }
    CHECK(users.size() == 60);
}

TEST_CASE("upstreams with more slots are preferred by more entry VMs")
{
    std::size_t first = 0;
    for (std::uint64_t entry = 1; entry <= 200; ++entry) {
        DispatchFixture fixture { optionsOf(entry) };
        auto large = announcement("large", "plain");
        large.requestSlots = 9;
        auto small = announcement("small", "plain");
        small.requestSlots = 3;
        fixture.apply(large);
        fixture.apply(small);
        fixture.sync();
        fixture.submit(patientRoute);
        first += fixture.decisionsOf<SendRequest>().at(0).upstream.name == "large" ? 1 : 0;
    }
    CHECK(first > 130);
    CHECK(first < 170);
}

TEST_CASE("a busy upstream is avoided as soon as it reports that")
{
    // The earlier choice read no reports: an upstream whose queue fills got requests until its latency had risen.
    const auto placement = GENERATE(Placement::Subset, Placement::LowestLatency);
    ManyUpstreams fixture { 4, optionsOf(1, placement) };
    const auto busy = fixture.serve(milliseconds { 50 }, [](const std::string&) { return std::optional { ReportedLoad { 3, 9, 3, 100 } }; });
    const auto idleLoad = [&busy](const std::string& name) { return name == busy ? std::nullopt : std::optional { ReportedLoad { 0, 0, 3, 100 } }; };
    int sent = 0;
    for (int i = 0; i < 10; ++i) {
        sent += fixture.serve(milliseconds { 50 }, idleLoad) == busy ? 1 : 0;
    }
    CHECK((placement == Placement::Subset) == (sent == 0));
}

TEST_CASE("an upstream that was slow is tried again after some time")
{
    // Without ageing, an upstream that recovers stays without requests for good.
    ManyUpstreams fixture { 3 };
    std::string slow;
    for (int i = 0; i < 20; ++i) {
        const auto name = fixture.serve(milliseconds { 40 }, [](const std::string&) { return std::optional { ReportedLoad { 1, 0, 3, 100 } }; });
        slow = slow.empty() ? name : slow;
    }
    for (int i = 0; i < 6; ++i) {
        fixture.serve(milliseconds { 40 }, [&slow](const std::string& name) { return std::optional { name == slow ? ReportedLoad { 3, 12, 3, 900 } : ReportedLoad { 1, 0, 3, 100 } }; });
    }
    fixture.now += std::chrono::seconds { 60 };
    std::set<std::string> used;
    for (int i = 0; i < 200; ++i) {
        used.insert(fixture.serve(milliseconds { 40 }, [](const std::string&) { return std::optional { ReportedLoad { 1, 0, 3, 100 } }; }));
    }
    CHECK(used.contains(slow));
}
