#include "core/dispatch/TransferSchedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace teaselturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Instant start { seconds { 100 } };

/// 6.6 Mbit/s. Two windows fill the link for 100 ms.
constexpr std::size_t linkSpeed = 825'000;

/// A schedule, and the bodies of a test on a simulated link.
struct SimulatedLink {
    struct Body {
        std::uint64_t left {};
        /// Speed of the sender's own link. Zero if only the shared link slows it down.
        std::size_t bytesPerSecond {};
        std::optional<Instant> completeAt {};
    };

    TransferSchedule schedule { linkSpeed };
    std::map<TransferId, Body> bodies;
    std::vector<TransferId> resumed;
    Instant now { start };

    TransferId begin(std::uint64_t number, std::uint64_t size, TransferUrgency urgency = { 1, {} }, std::size_t bytesPerSecond = 0)
    {
        const TransferId id { number };
        this->bodies[id] = { size, bytesPerSecond, {} };
        this->schedule.begin(this->now, id, urgency, size, this->resumed);
        return id;
    }

    std::vector<TransferId> reading() const
    {
        std::vector<TransferId> ids;
        for (const auto& [id, body] : this->bodies) {
            if (!body.completeAt && this->schedule.mayRead(id)) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    /// @return Bytes that the senders of the bodies that are read may have on the link.
    std::uint64_t bytesInTransit() const
    {
        std::uint64_t sum = 0;
        for (const auto id : this->reading()) {
            sum += std::min<std::uint64_t>(this->bodies.at(id).left, this->schedule.windowBytes());
        }
        return sum;
    }

    /// Lets the link carry bytes for some time, evenly from all bodies that are read. What slow senders do not use is left to
    /// the others.
    void run(milliseconds duration)
    {
        constexpr milliseconds step { 10 };
        constexpr auto stepsPerSecond = seconds { 1 } / step;
        for (const auto end = this->now + duration; this->now < end;) {
            this->now += step;
            auto ids = this->reading();
            std::stable_partition(ids.begin(), ids.end(), [this](TransferId id) { return this->bodies.at(id).bytesPerSecond > 0; });
            auto capacity = linkSpeed / stepsPerSecond;
            for (auto sharing = ids.size(); sharing > 0; --sharing) {
                const auto id = ids[ids.size() - sharing];
                auto& body = this->bodies.at(id);
                auto bytes = capacity / sharing;
                bytes = body.bytesPerSecond > 0 ? std::min<std::size_t>(bytes, body.bytesPerSecond / stepsPerSecond) : bytes;
                bytes = static_cast<std::size_t>(std::min<std::uint64_t>(bytes, body.left));
                capacity -= bytes;
                body.left -= bytes;
                this->schedule.recordRead(this->now, id, bytes, this->resumed);
                if (body.left == 0) {
                    body.completeAt = this->now;
                    this->schedule.end(this->now, id, this->resumed);
                }
            }
            if (const auto next = this->schedule.nextAdvance(); next && *next <= this->now) {
                this->schedule.advance(this->now, this->resumed);
            }
        }
    }

    bool isComplete(TransferId id) const { return this->bodies.at(id).completeAt.has_value(); }
};

}

TEST_CASE("a link of unlimited speed pauses nothing")
{
    // Guards against a schedule that takes effect where no speed is configured.
    TransferSchedule schedule { 0 };
    std::vector<TransferId> resumed;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        schedule.begin(start, TransferId { i }, {}, 1'000'000, resumed);
        CHECK(schedule.mayRead(TransferId { i }));
        schedule.recordRead(start, TransferId { i }, 100'000, resumed);
        schedule.end(start, TransferId { i }, resumed);
    }
    CHECK(!schedule.isLimited());
    CHECK(resumed.empty());
    CHECK(schedule.pauseCount() == 0);
    CHECK(!schedule.nextAdvance());
}

TEST_CASE("photos that arrive at once have no more in transit than the link carries in 100 ms")
{
    // The load is a burst of uploads of 60 kB on 6.6 Mbit/s. Guards against all of them being read at once, and against a link
    // that is idle while some wait.
    SimulatedLink link;
    constexpr std::uint64_t count = 20;
    constexpr std::uint64_t size = 60'000;
    for (std::uint64_t i = 1; i <= count; ++i) {
        link.begin(i, size, { 2, start + seconds { 3 } });
    }
    CHECK(link.reading().size() == 2);
    CHECK(link.schedule.pausedCount() == count - 2);
    const milliseconds alone { count * size * 1'000 / linkSpeed };
    while (link.now < start + alone + milliseconds { 200 }) {
        link.run(milliseconds { 10 });
        CHECK(link.bytesInTransit() <= linkSpeed / 10);
    }
    for (const auto& [id, body] : link.bodies) {
        INFO("body " << id.value);
        CHECK(body.completeAt);
    }
    CHECK(link.schedule.pausedCount() == 0);
    CHECK(!link.schedule.nextAdvance());
}

TEST_CASE("a slow link reads one large body at a time")
{
    // 1.5 Mbit/s carry no two windows in 100 ms. Guards against a link on which nothing may be read.
    TransferSchedule schedule { 187'500 };
    std::vector<TransferId> resumed;
    schedule.begin(start, TransferId { 1 }, { 1, {} }, 100'000, resumed);
    schedule.begin(start, TransferId { 2 }, { 1, {} }, 100'000, resumed);
    CHECK(schedule.mayRead(TransferId { 1 }));
    CHECK(!schedule.mayRead(TransferId { 2 }));
    CHECK(schedule.pauseCount() == 1);
    CHECK(resumed.empty());
    schedule.end(start, TransferId { 1 }, resumed);
    CHECK(resumed == std::vector { TransferId { 2 } });
    CHECK(schedule.mayRead(TransferId { 2 }));
    CHECK(schedule.mayRead(TransferId { 1 }));
}

TEST_CASE("a more urgent body takes the turn of a less urgent one")
{
    // Guards against an urgent upload that waits behind large bodies of a less urgent route.
    SimulatedLink link;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        link.begin(i, 360'000, { 2, {} });
    }
    const auto urgent = link.begin(5, 200'000, { 1, {} });
    CHECK(link.schedule.mayRead(urgent));
    CHECK(link.schedule.pausedCount() == 3);
    const auto late = link.begin(6, 200'000, {});
    CHECK(!link.schedule.mayRead(late));
    // The urgency of an upload is known once its route has been found.
    link.schedule.setUrgency(link.now, late, { 0, {} }, link.resumed);
    CHECK(link.resumed == std::vector { late });
    CHECK(link.schedule.mayRead(late));
    CHECK(link.schedule.mayRead(urgent));
    CHECK(link.schedule.pausedCount() == 4);
}

TEST_CASE("of bodies of the same priority, the one with the least left and the earliest deadline is read next")
{
    // Guards against a large body that keeps small ones from their target, and bodies that take each other's turn.
    SimulatedLink link;
    link.begin(1, 100'000, { 1, start + seconds { 5 } });
    link.begin(2, 100'000, { 1, start + seconds { 5 } });
    link.begin(3, 60'000, { 1, start + seconds { 5 } });
    link.begin(4, 60'000, { 1, start + seconds { 4 } });
    link.begin(5, 40'000, { 1, start + seconds { 5 } });
    CHECK(link.reading() == std::vector { TransferId { 1 }, TransferId { 2 } });
    link.schedule.end(start, TransferId { 1 }, link.resumed);
    CHECK(link.resumed == std::vector { TransferId { 5 } });
    link.schedule.end(start, TransferId { 5 }, link.resumed);
    CHECK(link.resumed == std::vector { TransferId { 5 }, TransferId { 4 } });
    link.schedule.end(start, TransferId { 4 }, link.resumed);
    CHECK(link.resumed.back() == TransferId { 3 });
}

TEST_CASE("a body that cannot arrive by its deadline lets the others go first")
{
    // Guards against a link that is spent on requests which nobody waits for any more, as under lasting overload.
    SimulatedLink link;
    link.begin(1, 300'000, { 1, start + seconds { 3 } });
    link.begin(2, 300'000, { 1, start + seconds { 3 } });
    link.begin(3, 80'000, { 0, start + milliseconds { 50 } });
    link.begin(4, 100'000, { 1, start + seconds { 3 } });
    CHECK(link.reading() == std::vector { TransferId { 1 }, TransferId { 2 } });
    link.schedule.end(start, TransferId { 1 }, link.resumed);
    CHECK(link.resumed == std::vector { TransferId { 4 } });
}

TEST_CASE("callers on slow links do not hold the turns of others")
{
    // The load is a few uploads at 20 kB/s or less beside one that could use the whole link. Guards against a turn that is held
    // by a sender which puts almost nothing on the link, or has stopped.
    SimulatedLink link;
    for (std::uint64_t i = 1; i <= 8; ++i) {
        link.begin(i, 1'000'000, { 1, {} }, i % 2 == 0 ? 20'000 : 100);
    }
    const auto fast = link.begin(9, 400'000, { 1, {} });
    CHECK(!link.schedule.mayRead(fast));
    link.run(milliseconds { 1'500 });
    CHECK(link.isComplete(fast));
    CHECK(link.schedule.pausedCount() == 0);
}

TEST_CASE("a body that stopped and goes on takes part in the turns again")
{
    // Guards against a sender that counts as slow for ever and then fills the link beside the others.
    SimulatedLink link;
    link.begin(1, 500'000, { 2, {} }, 1);
    link.run(milliseconds { 300 });
    link.begin(2, 500'000, { 1, {} });
    link.begin(3, 500'000, { 1, {} });
    CHECK(link.schedule.pausedCount() == 0);
    link.schedule.recordRead(link.now, TransferId { 1 }, 40'000, link.resumed);
    CHECK(!link.schedule.mayRead(TransferId { 1 }));
    CHECK(link.schedule.mayRead(TransferId { 2 }));
    CHECK(link.schedule.mayRead(TransferId { 3 }));
}

TEST_CASE("no body is paused for longer than a quarter of its time while urgent ones keep coming")
{
    // The load is an endless row of urgent uploads that fill the link. Guards against a less urgent body that starves, and an
    // upstream that aborts a download because it stays unread.
    SimulatedLink link;
    const auto download = link.begin(1, 5'000'000, { 2, {} });
    const auto photo = link.begin(2, 5'000'000, { 2, start + milliseconds { 2'000 } });
    std::uint64_t urgent = 10;
    std::map<TransferId, Instant> lastReadAt { { download, start }, { photo, start } };
    std::map<TransferId, Duration> longest;
    while (link.now < start + seconds { 6 }) {
        while (std::ranges::count_if(link.bodies, [](const auto& item) { return item.first.value >= 10 && !item.second.completeAt; }) < 6) {
            link.begin(urgent++, 60'000, { 0, {} });
        }
        const std::map<TransferId, std::uint64_t> before { { download, link.bodies.at(download).left }, { photo, link.bodies.at(photo).left } };
        link.run(milliseconds { 10 });
        for (const auto& [id, left] : before) {
            lastReadAt[id] = link.bodies.at(id).left < left ? link.now : lastReadAt[id];
            longest[id] = std::max(longest[id], link.now - lastReadAt[id]);
        }
    }
    CHECK(longest[download] <= milliseconds { 1'050 });
    CHECK(longest[photo] <= milliseconds { 550 });
    // The urgent ones have nearly the whole link.
    CHECK(urgent > 10 + 6 * linkSpeed / 60'000 * 8 / 10);
}

TEST_CASE("the end of a transfer frees its turn, whether it was read or paused")
{
    // Guards against a turn that stays with a caller or upstream which has left.
    SimulatedLink link;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        link.begin(i, 100'000);
    }
    link.schedule.end(start, TransferId { 3 }, link.resumed);
    CHECK(link.resumed.empty());
    CHECK(link.schedule.pausedCount() == 1);
    link.schedule.end(start, TransferId { 1 }, link.resumed);
    CHECK(link.resumed == std::vector { TransferId { 4 } });
    link.schedule.recordRead(start, TransferId { 1 }, 1'000, link.resumed);
    link.schedule.end(start, TransferId { 1 }, link.resumed);
    link.schedule.end(start, TransferId { 2 }, link.resumed);
    link.schedule.end(start, TransferId { 4 }, link.resumed);
    CHECK(link.schedule.pausedCount() == 0);
    CHECK(!link.schedule.nextAdvance());
}

TEST_CASE("a body of undeclared length takes part in the turns behind those of known length")
{
    // Guards against chunked bodies that are not limited, or that end early because more arrives than was expected.
    SimulatedLink link;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        link.schedule.begin(start, TransferId { i }, { 1, {} }, std::nullopt, link.resumed);
    }
    link.begin(4, 500'000);
    CHECK(!link.schedule.mayRead(TransferId { 3 }));
    link.schedule.recordRead(start, TransferId { 1 }, 1'000'000, link.resumed);
    link.schedule.end(start, TransferId { 1 }, link.resumed);
    CHECK(link.resumed == std::vector { TransferId { 4 } });
}
