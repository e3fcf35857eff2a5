#include "adapters/http/HttpListener.h"

#include "adapters/http/SlowCaller.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace teaselturn;
using std::chrono::milliseconds;

/// Large bodies of requests on a link of limited speed.
namespace {

/// 6.6 Mbit/s.
constexpr std::size_t linkSpeed = 825'000;

std::string headOf(std::size_t bodyBytes)
{
    return "POST /photo HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

/// Differs at each position, so that a lost, doubled or moved piece is noticed.
std::string makeBody(std::size_t size, unsigned seed)
{
    std::string body(size, '\0');
    std::uint32_t value = seed;
    for (auto& byte : body) {
        value = value * 1'664'525 + 1'013'904'223;
        byte = static_cast<char>(value >> 24);
    }
    return body;
}

template <typename Condition>
bool waitUntil(Condition condition)
{
    for (int i = 0; i < 2'000 && !condition(); ++i) {
        std::this_thread::sleep_for(milliseconds { 5 });
    }
    return condition();
}

/// A listener on a limited link that answers each request with its body.
struct LimitedListener {
    Reactor reactor { 2 };
    LinkTransfers transfers;
    std::atomic<int> begun { 0 };
    std::atomic<int> disconnected { 0 };
    HttpListener listener { reactor, { [this](HttpRequestId id, ReceivedRequest request) {
                                          OutgoingResponse response;
                                          response.body = std::move(request.body);
                                          this->listener.respond(id, std::move(response));
                                      },
                                         [this](HttpRequestId) { ++this->disconnected; }, {}, [this](TransferId transfer, const ReceivedRequest& head) {
                                             ++this->begun;
                                             // Those of the test's own transfers are 0.
                                             this->transfers.setUrgency(transfer, { head.target == "/photo" ? 1U : 0U, {} }); } } };

    explicit LimitedListener(std::size_t bytesPerSecond = linkSpeed)
        : transfers(reactor, bytesPerSecond)
    {
        this->listener.setTransfers(this->transfers);
        REQUIRE(this->listener.listen({ "127.0.0.1", 0 }));
        this->reactor.start();
    }
    ~LimitedListener() { this->reactor.stop(); }

    std::int64_t paused() const { return this->transfers.statistics().paused.value(); }
    std::uint64_t pauses() const { return this->transfers.statistics().pauses.value(); }

    /// Sends a request and receives the response to it.
    /// @return True if its body came back intact.
    bool echo(const std::string& body) const
    {
        SlowCaller caller { this->listener.localEndpoint() };
        if (!caller.send(headOf(body.size()) + body)) {
            return false;
        }
        while (caller.receivedBody().size() < body.size() && caller.readSome()) {
        }
        return caller.receivedBody() == body;
    }
};

/// Urgent bodies that keep the whole link busy until they are released.
class BusyLink {
public:
    explicit BusyLink(LinkTransfers& transfers)
        : feeder([this, &transfers] {
            std::array<LinkTransfer, 2> bodies { transfers.begin({ 0, {} }, std::nullopt, [] {}), transfers.begin({ 0, {} }, std::nullopt, [] {}) };
            this->isBusy = true;
            while (!this->isReleased) {
                for (auto& body : bodies) {
                    static_cast<void>(body.recordRead(linkSpeed / 100));
                }
                std::this_thread::sleep_for(milliseconds { 10 });
            }
        })
    {
        REQUIRE(waitUntil([this] { return this->isBusy.load(); }));
    }
    ~BusyLink() { this->release(); }
    void release()
    {
        this->isReleased = true;
        if (this->feeder.joinable()) {
            this->feeder.join();
        }
    }

private:
    std::atomic<bool> isBusy { false };
    std::atomic<bool> isReleased { false };
    std::thread feeder;
};

}

TEST_CASE("many large uploads at once on a slow link are whole and intact")
{
    // Guards against a body that loses, doubles or moves bytes when its reading pauses, and a pause without end.
    const LimitedListener fixture;
    constexpr int callers = 16;
    std::atomic<int> intact { 0 };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < callers; ++i) {
        threads.emplace_back([&fixture, &intact, i] {
            for (unsigned j = 0; j < 3; ++j) {
                intact += fixture.echo(makeBody(20'000 + 37'000 * (i % 10), i * 3 + j)) ? 1 : 0;
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(intact == callers * 3);
    // A body that arrives with one read needs no turn.
    CHECK(fixture.begun > callers);
    CHECK(fixture.pauses() > 0);
    CHECK(fixture.paused() == 0);
}

TEST_CASE("chunked uploads on a slow link are whole and intact")
{
    // Guards against a body without declared length that is not scheduled, or ends at a pause.
    LimitedListener fixture;
    BusyLink busy { fixture.transfers };
    const auto body = makeBody(150'000, 1);
    SlowCaller caller { fixture.listener.localEndpoint() };
    std::atomic<bool> isSent { false };
    std::thread sender { [&] {
        std::string bytes = "POST /photo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t sent = 0; sent < body.size(); sent += 10'000) {
            bytes += "2710\r\n" + body.substr(sent, 10'000) + "\r\n";
        }
        isSent = caller.send(bytes + "0\r\n\r\n");
    } };
    CHECK(waitUntil([&] { return fixture.paused() == 1; }));
    busy.release();
    sender.join();
    CHECK(isSent);
    while (caller.receivedBody().size() < body.size() && caller.readSome()) {
    }
    CHECK(caller.receivedBody() == body);
}

TEST_CASE("a paused upload puts little on the link")
{
    // Guards against a pause that lets the bytes pass into the kernel's buffer, which the caller then fills at full speed.
    LimitedListener fixture;
    BusyLink const busy { fixture.transfers };
    const auto address = toSocketAddress(fixture.listener.localEndpoint());
    REQUIRE(address);
    const FileDescriptor socket { ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    REQUIRE(connect(socket.number(), address->pointer(), address->length) == 0);
    const auto bytes = headOf(2'000'000) + makeBody(2'000'000, 1);
    std::size_t accepted = 0;
    REQUIRE(waitUntil([&] {
        const auto count = send(socket.number(), bytes.data() + accepted, bytes.size() - accepted, MSG_NOSIGNAL | MSG_DONTWAIT);
        accepted += count > 0 ? static_cast<std::size_t>(count) : 0;
        return fixture.paused() == 1;
    }));
    std::this_thread::sleep_for(milliseconds { 200 });
    const auto passed = accepted - kernelBuffers(socket.number()).unacknowledged;
    INFO("accepted " << accepted << ", passed " << passed);
    CHECK(accepted > 500'000);
    CHECK(passed < 4 * TransferSchedule::smallBodyBytes);
}

TEST_CASE("small requests are not paused while an upload is, which goes on when the link is free")
{
    // Guards against small bodies that wait behind large ones, and against a body that stays paused for ever.
    LimitedListener fixture;
    BusyLink busy { fixture.transfers };
    const auto body = makeBody(2'000'000, 1);
    SlowCaller caller { fixture.listener.localEndpoint() };
    std::atomic<bool> isSent { false };
    std::thread sender { [&] { isSent = caller.send(headOf(body.size()) + body); } };
    REQUIRE(waitUntil([&] { return fixture.paused() == 1; }));
    for (unsigned i = 0; i < 20; ++i) {
        CHECK(fixture.echo(makeBody(i % 2 == 0 ? 100 : TransferSchedule::smallBodyBytes, i)));
    }
    CHECK(fixture.begun == 1);
    // Once a second a paused body is read for 100 ms.
    CHECK(waitUntil([&] { return fixture.paused() == 1; }));
    CHECK(fixture.pauses() <= 3);
    busy.release();
    sender.join();
    CHECK(isSent);
    while (caller.receivedBody().size() < body.size() && caller.readSome()) {
    }
    CHECK(caller.receivedBody() == body);
    CHECK(fixture.paused() == 0);
}

TEST_CASE("an upload is read now and then while more urgent ones fill the link")
{
    // Guards against a caller that starves until it gives up.
    LimitedListener fixture;
    BusyLink const busy { fixture.transfers };
    CHECK(fixture.echo(makeBody(60'000, 1)));
    CHECK(fixture.pauses() > 0);
}

TEST_CASE("an upload whose caller leaves frees its turn, whether it is read or paused")
{
    // Guards against turns that stay with callers which have left, until nothing is read any more.
    LimitedListener fixture;
    const auto part = headOf(1'000'000) + makeBody(30'000, 1);
    {
        BusyLink const busy { fixture.transfers };
        std::vector<std::unique_ptr<SlowCaller>> callers;
        for (int i = 0; i < 5; ++i) {
            callers.push_back(std::make_unique<SlowCaller>(fixture.listener.localEndpoint()));
            REQUIRE(callers.back()->send(part));
        }
        REQUIRE(waitUntil([&] { return fixture.begun == 5 && fixture.paused() > 0; }));
        callers.clear();
        CHECK(waitUntil([&] { return fixture.listener.connectionCount() == 0; }));
    }
    CHECK(waitUntil([&] { return fixture.paused() == 0; }));
    CHECK(fixture.echo(makeBody(300'000, 2)));
}

TEST_CASE("a link of unlimited speed pauses no upload")
{
    // Guards against limits that take effect where no speed is configured.
    const LimitedListener fixture { 0 };
    CHECK(fixture.echo(makeBody(500'000, 1)));
    CHECK(fixture.begun == 0);
    CHECK(fixture.pauses() == 0);
}
