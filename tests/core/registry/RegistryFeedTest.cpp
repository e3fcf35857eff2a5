#include "core/registry/RegistryReplica.h"

#include "core/registry/SingleMember.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

/// A member that serves the feed, and the replica of an entry VM that follows it.
namespace {

using Replica = RegistryReplica<BinaryRegistryCodec>;

}

TEST_CASE("a replica is complete only after it has applied everything that its source had applied")
{
    // Guards against an entry VM that treats the first part of the log as the whole configuration.
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
    member.drive();
    for (int i = 0; i < 2'000; ++i) {
        member.service.heartbeat(member.now, ControlRequestId { 100 + static_cast<std::uint64_t>(i) }, heartbeat(announcement("u" + std::to_string(i), "k"), 1));
        member.drive();
    }
    Replica replica { { NodeId { 1 } }, {} };
    Instant now { std::chrono::seconds { 1 } };
    auto messages = replica.nextMessages(now);
    REQUIRE(messages.size() == 1);
    replica.handleProbeReply(now, NodeId { 1 }, { std::get<MemberProbe>(messages[0].message).sequence });
    int rounds = 0;
    while (!replica.isComplete() && ++rounds < 50) {
        now += milliseconds { 10 };
        for (const auto& message : replica.nextMessages(now)) {
            member.sent.clear();
            member.service.receive(member.now, NodeId { 9 }, message.message);
            member.drive();
            for (const auto& sent : member.sent) {
                if (const auto* reply = std::get_if<FeedReply>(&sent.message)) {
                    REQUIRE(replica.handleFeedReply(now, NodeId { 1 }, *reply));
                    CHECK((replica.isComplete() || replica.state().appliedIndex() < member.service.state().appliedIndex()));
                }
            }
        }
    }
    CHECK(rounds > 2);
    CHECK(replica.state().snapshot() == member.service.state().snapshot());
}

namespace {

/// A new replica, and the datagrams with which a member answers its first request.
struct FirstReplies {
    Replica replica;
    std::vector<FeedReply> datagrams;
};

FirstReplies repliesToNewReplica(SingleMember& member)
{
    member.advance(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 100 }, initialItems());
    for (std::uint64_t i = 1; i <= 30; ++i) {
        member.service.changeItems(member.now, ControlRequestId { i }, { { routeItem("route-" + std::to_string(i), "k") }, {} });
        member.drive();
    }
    REQUIRE(member.service.state().appliedIndex().value > 20);
    FirstReplies result { Replica { { NodeId { 1 } }, {} }, {} };
    const auto probe = std::get<MemberProbe>(result.replica.nextMessages(member.now)[0].message).sequence;
    result.replica.handleProbeReply(member.now, NodeId { 1 }, { probe });
    const auto request = result.replica.nextMessages(member.now).back().message;
    member.sent.clear();
    member.service.receive(member.now, NodeId { 9 }, request);
    member.drive();
    for (const auto& [to, message] : member.sent) {
        result.datagrams.push_back(std::get<FeedReply>(message));
    }
    return result;
}

}

TEST_CASE("an entry VM that lags by dozens of entries catches up with one request")
{
    // Guards against a round trip between regions for every few entries.
    SingleMember member;
    auto replies = repliesToNewReplica(member);
    REQUIRE(replies.datagrams.size() > 1);
    for (const auto& reply : replies.datagrams) {
        CHECK(!replies.replica.isComplete());
        std::size_t bytes = 0;
        for (const auto& entry : reply.entries) {
            bytes += estimatedBytes(entry.command);
        }
        CHECK((bytes <= registry::maxDatagramFeedBytes || reply.entries.size() == 1));
        REQUIRE(replies.replica.handleFeedReply(member.now, NodeId { 1 }, reply));
    }
    CHECK(replies.replica.isComplete());
    CHECK(replies.replica.state().appliedIndex() == member.service.state().appliedIndex());
}

TEST_CASE("the datagrams of a feed reply are applied in any order of arrival")
{
    // Guards against an entry VM that drops the entries behind a gap, and lags by a reply timeout whenever datagrams change
    // places.
    SingleMember member;
    auto replies = repliesToNewReplica(member);
    REQUIRE(replies.datagrams.size() > 2);
    std::ranges::reverse(replies.datagrams);
    for (const auto& reply : replies.datagrams) {
        REQUIRE(replies.replica.handleFeedReply(member.now, NodeId { 1 }, reply));
    }
    CHECK(replies.replica.state().appliedIndex() == member.service.state().appliedIndex());
    CHECK(replies.replica.isComplete());
}

TEST_CASE("an entry VM asks again soon for the datagrams of a reply that were lost, and the member answers")
{
    // Guards against a member that takes the second request for a repeat of the first and drops it.
    SingleMember member;
    auto replies = repliesToNewReplica(member);
    REQUIRE(replies.datagrams.size() > 2);
    for (std::size_t i = 1; i < replies.datagrams.size(); ++i) {
        REQUIRE(replies.replica.handleFeedReply(member.now, NodeId { 1 }, replies.datagrams[i]));
    }
    CHECK(replies.replica.state().appliedIndex() == LogIndex {});
    CHECK(replies.replica.nextMessages(member.now).empty());
    const auto requests = replies.replica.nextMessages(member.now + Replica::reorderDelay);
    REQUIRE(!requests.empty());
    member.sent.clear();
    member.service.receive(member.now, NodeId { 9 }, requests.back().message);
    member.advance(milliseconds { 100 });
    for (const auto& [to, message] : member.sent) {
        if (const auto* reply = std::get_if<FeedReply>(&message)) {
            REQUIRE(replies.replica.handleFeedReply(member.now, NodeId { 1 }, *reply));
        }
    }
    CHECK(replies.replica.state().appliedIndex() == member.service.state().appliedIndex());
}

TEST_CASE("a member serves no feed before it has applied an entry of its leader's term")
{
    // Guards against a delay of half a second. After all members restart together, the leader's commit index is zero,
    // so every member seems up to date. A member took the request and dropped it once it learned of a higher commit
    // index.
    SingleMember member { { { NodeId { 1 }, DiskId { 1 }, true }, { NodeId { 2 }, DiskId { 2 }, true } } };
    const auto append = [&](LogIndex previous, LogIndex commit, std::vector<LogEntry> entries) {
        AppendRequest request;
        request.term = Term { 5 };
        request.previousIndex = previous;
        request.previousTerm = previous == LogIndex {} ? Term {} : Term { 5 };
        request.commitIndex = commit;
        request.entries = std::move(entries);
        member.service.receive(member.now, NodeId { 2 }, request);
        member.drive();
        member.advance(milliseconds { 50 });
    };
    append({}, {}, {});
    append({}, {}, {});
    const auto replyCount = [&] { return std::ranges::count_if(member.sent, [](const OutboundMessage& sent) { return std::holds_alternative<FeedReply>(sent.message) || std::holds_alternative<MemberProbeReply>(sent.message); }); };
    member.service.receive(member.now, NodeId { 9 }, MemberProbe { 1 });
    member.service.receive(member.now, NodeId { 9 }, FeedRequest { 1, {}, {}, 0 });
    member.drive();
    CHECK(replyCount() == 0);
    CHECK(std::ranges::count_if(member.sent, [](const OutboundMessage& sent) { return std::holds_alternative<MemberUnavailableReply>(sent.message); }) == 1);
    append({}, {}, { { Term { 5 }, LogIndex { 1 }, initialItems() } });
    for (int round = 0; round < 2; ++round) {
        append(LogIndex { 1 }, LogIndex { 1 }, {});
    }
    member.service.receive(member.now, NodeId { 9 }, FeedRequest { 2, {}, {}, 0 });
    member.drive();
    CHECK(replyCount() == 1);
}

TEST_CASE("a feed request without a reply is repeated to another member that replies to probes")
{
    Replica replica { { NodeId { 1 }, NodeId { 2 } }, {} };
    Instant now { std::chrono::seconds { 1 } };
    const auto probe = std::get<MemberProbe>(replica.nextMessages(now)[0].message).sequence;
    replica.handleProbeReply(now + milliseconds { 1 }, NodeId { 1 }, { probe });
    replica.handleProbeReply(now + milliseconds { 2 }, NodeId { 2 }, { probe });
    now += milliseconds { 50 };
    static_cast<void>(replica.nextMessages(now));
    CHECK(replica.source() == NodeId { 1 });
    now += Replica::replyTimeout + milliseconds { 1 };
    static_cast<void>(replica.nextMessages(now));
    CHECK(replica.source() == NodeId { 2 });
}

TEST_CASE("a reply that arrives after its request was repeated is applied")
{
    // Guards against a replica that never advances over a congested link, where every reply takes longer than
    // replyTimeout.
    SingleMember member;
    member.advance(milliseconds { 2'000 });
    member.service.changeItems(member.now, ControlRequestId { 1 }, initialItems());
    member.drive();
    Replica replica { { NodeId { 1 } }, {} };
    Instant now { std::chrono::seconds { 1 } };
    const auto probe = std::get<MemberProbe>(replica.nextMessages(now)[0].message).sequence;
    replica.handleProbeReply(now, NodeId { 1 }, { probe });
    now += milliseconds { 50 };
    const auto requests = replica.nextMessages(now);
    REQUIRE(!requests.empty());
    member.sent.clear();
    member.service.receive(member.now, NodeId { 9 }, requests.back().message);
    member.drive();
    const auto reply = std::ranges::find_if(member.sent, [](const OutboundMessage& message) { return std::holds_alternative<FeedReply>(message.message); });
    REQUIRE(reply != member.sent.end());
    now += Replica::replyTimeout + milliseconds { 200 };
    static_cast<void>(replica.nextMessages(now));
    const auto changed = replica.handleFeedReply(now, NodeId { 1 }, std::get<FeedReply>(reply->message));
    REQUIRE(changed);
    CHECK(*changed);
    CHECK(replica.state().hasItems());
}
