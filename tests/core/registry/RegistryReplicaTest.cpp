#include "core/registry/RegistryReplica.h"

#include "adapters/codec/RegistryCodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace teaselturn;
using std::chrono::milliseconds;

/// The feed of an entry VM whose link is congested: every reply takes longer than the interval between probes.
namespace {

using Replica = RegistryReplica<BinaryRegistryCodec>;

constexpr NodeId first { 1 };
constexpr NodeId second { 2 };

/// Calls the replica every 50 ms, as an entry VM does, and answers its probes after a fixed time.
struct CongestedLink {
    explicit CongestedLink(Duration roundTrip)
        : roundTrip(roundTrip)
    {
    }

    void advance(milliseconds time)
    {
        for (const auto end = this->now + time; this->now < end;) {
            this->now += milliseconds { 50 };
            while (!this->replies.empty() && this->replies.front().at <= this->now) {
                this->replica.handleProbeReply(this->now, this->replies.front().from, this->replies.front().reply);
                this->replies.pop_front();
            }
            for (const auto& [to, message] : this->replica.nextMessages(this->now)) {
                if (const auto* probe = std::get_if<MemberProbe>(&message); probe != nullptr && this->answersProbes) {
                    this->replies.push_back({ this->now + this->roundTrip, to, { probe->sequence } });
                } else if (const auto* request = std::get_if<FeedRequest>(&message)) {
                    this->requests.push_back({ this->now, to, *request });
                }
            }
        }
    }

    struct Reply {
        Instant at;
        NodeId from;
        MemberProbeReply reply;
    };
    struct Request {
        Instant at;
        NodeId to;
        FeedRequest request;
    };

    Duration roundTrip;
    bool answersProbes { true };
    Instant now { std::chrono::seconds { 10 } };
    Replica replica { { first, second }, {} };
    std::deque<Reply> replies;
    std::vector<Request> requests;
};

}

TEST_CASE("probe replies that are later than the next probe still name a source for the feed")
{
    // Guards against an entry VM that sends no feed request for seconds, because it expects the reply to its last probe only.
    CongestedLink link { milliseconds { 350 } };
    link.advance(milliseconds { 5'000 });
    REQUIRE(link.requests.size() >= 9);
    CHECK(link.requests.front().at <= Instant { std::chrono::seconds { 10 } } + milliseconds { 450 });
    for (std::size_t i = 1; i < link.requests.size(); ++i) {
        CHECK(link.requests[i].at - link.requests[i - 1].at <= Replica::replyTimeout + milliseconds { 50 });
    }
}

TEST_CASE("without any probe reply feed requests go to the members in turn")
{
    // Guards against an entry VM that stops asking while its link drops most datagrams.
    CongestedLink link { milliseconds { 10 } };
    link.advance(milliseconds { 200 });
    REQUIRE(!link.requests.empty());
    link.answersProbes = false;
    link.requests.clear();
    link.advance(milliseconds { 4'000 });
    REQUIRE(link.requests.size() >= 7);
    CHECK(std::ranges::count(link.requests, first, &CongestedLink::Request::to) >= 3);
    CHECK(std::ranges::count(link.requests, second, &CongestedLink::Request::to) >= 3);
}

TEST_CASE("a reply to an earlier request shows how current the copy was when that request was sent")
{
    // Guards against a copy that counts as old for as long as every reply arrives after its request was repeated.
    CongestedLink link { milliseconds { 10 } };
    link.advance(milliseconds { 200 });
    REQUIRE(!link.requests.empty());
    const auto request = link.requests.back();
    link.advance(Replica::replyTimeout + milliseconds { 300 });
    REQUIRE(link.requests.back().request.sequence > request.request.sequence);
    REQUIRE(link.replica.lastCurrentAt() == Instant {});
    REQUIRE(link.replica.handleFeedReply(link.now, request.to, FeedReply { request.request.sequence, {}, {}, 0, 0, {}, {} }));
    CHECK(link.replica.lastCurrentAt() == request.at);
}
