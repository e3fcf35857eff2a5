#include "adapters/http/RawUpstream.h"
#include "adapters/http/SlowCaller.h"
#include "node/gateway/LoopbackGateway.h"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <ctime>
#include <fstream>
#include <functional>
#include <limits>
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/// Part of the sanitizers' runtime library; GCC 12 installs no header that declares it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

/// Responses of routes of kind Download, which the gateway forwards while they arrive.
namespace {

/// How an upstream delimits its response.
enum class Framing {
    Length,
    Chunks,
    /// By the end of the connection.
    End,
};

/// Has no common factor with the sizes of reads, so that a lost, doubled or moved piece changes the bytes at its place.
constexpr std::size_t patternBytes = 65'521;

const std::string& pattern()
{
    static const std::string bytes = [] {
        std::string result(patternBytes, '\0');
        std::uint32_t value = 1;
        for (auto& byte : result) {
            value = value * 1'664'525 + 1'013'904'223;
            byte = static_cast<char>(value >> 24);
        }
        return result;
    }();
    return bytes;
}

std::string headOf(const std::string& id, Framing framing, std::size_t size)
{
    auto head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nUpstream-Signature: s\r\n";
    if (framing == Framing::Length) {
        head += "Content-Length: " + std::to_string(size) + "\r\n";
    } else if (framing == Framing::Chunks) {
        head += "Transfer-Encoding: chunked\r\n";
    } else {
        head += "Connection: close\r\n";
    }
    return head + "\r\n";
}

/// Sends bytes of the repeated pattern.
/// @param offset Bytes of the body that were sent before.
/// @param sent Counts the bytes. May be null.
/// @return False if the connection ended, or took nothing for 10 s.
bool sendBody(Connection& connection, Framing framing, std::size_t size, std::size_t offset = 0, std::atomic<std::size_t>* sent = nullptr)
{
    const auto end = offset + size;
    while (offset < end) {
        const auto begin = offset % patternBytes;
        const auto count = std::min(patternBytes - begin, end - offset);
        std::string piece;
        if (framing == Framing::Chunks) {
            char chunkHead[32];
            std::snprintf(chunkHead, sizeof chunkHead, "%zx\r\n", count);
            piece = chunkHead;
        }
        piece.append(pattern(), begin, count);
        if (framing == Framing::Chunks) {
            piece.append("\r\n");
        }
        if (connection.write(piece, RawUpstream::soon()) != IoStatus::Ok) {
            return false;
        }
        offset += count;
        if (sent != nullptr) {
            *sent = offset;
        }
    }
    return true;
}

void sendResponse(Connection& connection, const std::string& id, Framing framing, std::size_t size, std::atomic<std::size_t>* sent = nullptr)
{
    RawUpstream::respond(connection, headOf(id, framing, size));
    if (sendBody(connection, framing, size, 0, sent) && framing == Framing::Chunks) {
        RawUpstream::respond(connection, "0\r\n\r\n");
    }
}

/// @return The id of the next request of a connection; empty if the connection ended.
std::string readRequestId(Connection& connection)
{
    const auto request = RawUpstream::readRequest(connection);
    const std::string name = "Request-Id: ";
    const auto begin = request.find(name);
    return begin == std::string::npos ? "" : request.substr(begin + name.size(), request.find("\r\n", begin) - begin - name.size());
}

/// What a caller got on its connection.
struct Delivery {
    unsigned status {};
    std::size_t bodyBytes {};
    bool isIntact { true };
    /// The response has its end.
    bool isComplete {};
    /// The connection ended before the response did.
    bool hasEnded {};
};

/// Reads responses in pieces.
class PieceReader {
public:
    explicit PieceReader(const FileDescriptor& socket)
        : socket(socket)
    {
    }

    /// Reads the next response until it is complete, the connection ends or the body has so many bytes.
    Delivery read(std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max())
    {
        Delivery delivery;
        this->reader.expectPieces();
        while (true) {
            const auto progress = this->reader.read(this->input);
            if (progress == ReadProgress::Complete || this->reader.isHeadComplete()) {
                this->check(this->reader.takeBody(), delivery);
            }
            if (progress == ReadProgress::Complete) {
                delivery.status = this->reader.take().status;
                delivery.isComplete = true;
                return delivery;
            }
            if (progress != ReadProgress::Incomplete || delivery.bodyBytes >= maxBodyBytes) {
                return delivery;
            }
            char buffer[64 * 1'024];
            const auto count = recv(this->socket.number(), buffer, sizeof buffer, 0);
            if (count <= 0) {
                delivery.hasEnded = count == 0 || errno != EAGAIN;
                return delivery;
            }
            this->input.append(buffer, static_cast<std::size_t>(count));
        }
    }

private:
    static void check(std::string_view bytes, Delivery& delivery)
    {
        while (!bytes.empty()) {
            const auto begin = delivery.bodyBytes % patternBytes;
            const auto count = std::min(patternBytes - begin, bytes.size());
            delivery.isIntact = delivery.isIntact && bytes.substr(0, count) == std::string_view { pattern() }.substr(begin, count);
            delivery.bodyBytes += count;
            bytes.remove_prefix(count);
        }
    }

    const FileDescriptor& socket;
    MessageReader<ReceivedResponse> reader { {} };
    std::string input;
};

/// A gateway with one route of kind Download. Upstreams beyond the first need a RawUpstream at all loopback addresses.
struct DownloadGateway : LoopbackGateway {
    explicit DownloadGateway(const RawUpstream& upstream, std::size_t bufferBytes = BufferBudget::defaultLimit, int upstreams = 1)
        : LoopbackGateway(2, bufferBytes)
    {
        auto route = routeItem("r", "a", 1, RequestKind::Download);
        std::get<RouteItem>(route.content).timeout = std::chrono::seconds { 30 };
        this->apply(ChangeItems { { serviceItem("a", false), route }, {} });
        for (int i = 0; i < upstreams; ++i) {
            this->addUpstream("u" + std::to_string(i), "a", { "127.0.0." + std::to_string(1 + i), upstream.endpoint().port });
        }
        this->start();
    }
    ~DownloadGateway() { this->reactor.stop(); }
};

template <typename Condition>
bool waitUntil(Condition condition, milliseconds limit = milliseconds { 10'000 })
{
    for (auto waited = milliseconds { 0 }; waited < limit; waited += milliseconds { 5 }) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds { 5 });
    }
    return condition();
}

/// Waits until a counter of sent bytes is above zero and has stopped growing, because its reader has paused.
bool waitUntilPaused(const std::atomic<std::size_t>& sent)
{
    std::size_t last = 0;
    return waitUntil([&] {
        std::this_thread::sleep_for(milliseconds { 200 });
        return sent > 0 && std::exchange(last, sent.load()) == sent;
    });
}

/// @return Memory that the process holds, in KiB. Sanitizers keep freed blocks and their own tables resident (256 MiB and
/// more under AddressSanitizer), so their builds count the blocks in use instead.
std::size_t heldKib()
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    return __sanitizer_get_current_allocated_bytes() / 1'024;
#else
    std::ifstream statm { "/proc/self/statm" };
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1'024;
#endif
}

/// Serves requests of kept connections with responses of one size.
RawUpstream::Script serveAll(Framing framing, std::size_t size)
{
    return [=](Connection& connection, int) {
        for (auto id = readRequestId(connection); !id.empty(); id = framing == Framing::End ? "" : readRequestId(connection)) {
            sendResponse(connection, id, framing, size);
        }
    };
}

}

TEST_CASE("a download of any size arrives whole and intact, however its upstream delimits it")
{
    // Guards against pieces that are lost, doubled, out of order or wrongly framed.
    const auto framing = GENERATE(Framing::Length, Framing::Chunks, Framing::End);
    const std::size_t size = GENERATE(0, 1, 16 * 1'024, 16 * 1'024 + 1, 64 * 1'024, 300'000, 8 * 1'024 * 1'024, 64 * 1'024 * 1'024);
    INFO("framing " << static_cast<int>(framing) << ", size " << size);
    const RawUpstream upstream { serveAll(framing, size) };
    const DownloadGateway gateway { upstream };
    const auto caller = gateway.connectCaller();
    PieceReader reader { caller };
    for (const auto* id : { "one", "two" }) {
        gateway.sendBytes(caller, callerRequest(id, "/r/x", "20000"));
        const auto delivery = reader.read();
        CHECK(delivery.status == 200);
        CHECK(delivery.isComplete);
        CHECK(delivery.isIntact);
        CHECK(delivery.bodyBytes == size);
    }
}

TEST_CASE("a download of 1 GiB passes through little memory")
{
    // Guards against a body that is held, or a buffer that grows with the length of the body.
    constexpr std::size_t size = 1'024 * 1'024 * 1'024;
    constexpr std::size_t maxGrowthKib = 64 * 1'024;
    const RawUpstream upstream { serveAll(Framing::Length, size) };
    const DownloadGateway gateway { upstream };
    const auto before = heldKib();
    auto peak = before;
    std::atomic<bool> isOver { false };
    std::thread sampler { [&] {
        while (!isOver) {
            peak = std::max(peak, heldKib());
            std::this_thread::sleep_for(milliseconds { 2 });
        }
    } };
    const auto begun = SteadyClock {}.now();
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "29000"));
    const auto delivery = PieceReader { caller }.read();
    const auto took = std::chrono::duration_cast<milliseconds>(SteadyClock {}.now() - begun);
    isOver = true;
    sampler.join();
    std::printf("download of 1 GiB: %lld ms, memory %zu to %zu KiB\n", static_cast<long long>(took.count()), before, peak);
    CHECK(delivery.isComplete);
    CHECK(delivery.isIntact);
    CHECK(delivery.bodyBytes == size);
    CHECK(peak < before + maxGrowthKib);
}

TEST_CASE("the beginning of a download reaches its caller before its upstream has sent the rest")
{
    // Guards against a response that is held until it is complete.
    const auto framing = GENERATE(Framing::Length, Framing::Chunks, Framing::End);
    constexpr std::size_t size = 200'000;
    constexpr std::size_t beginning = 30'000;
    absl::Notification hasBeginning;
    const RawUpstream upstream { [&](Connection& connection, int) {
        const auto id = readRequestId(connection);
        RawUpstream::respond(connection, headOf(id, framing, size));
        sendBody(connection, framing, beginning);
        if (hasBeginning.WaitForNotificationWithTimeout(absl::Seconds(5))) {
            sendBody(connection, framing, size - beginning, beginning);
            RawUpstream::respond(connection, framing == Framing::Chunks ? "0\r\n\r\n" : "");
        }
    } };
    const DownloadGateway gateway { upstream };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "3000"));
    PieceReader reader { caller };
    CHECK(reader.read(beginning).bodyBytes == beginning);
    hasBeginning.Notify();
    const auto rest = reader.read();
    CHECK(rest.isComplete);
    CHECK(rest.bodyBytes == size - beginning);
}

TEST_CASE("a caller that does not read pauses its upstream, and reading on resumes it")
{
    // Guards against a body that gathers in memory, a worker that spins while nothing can be written, and a pause that
    // never ends.
    constexpr std::size_t size = 100 * 1'024 * 1'024;
    constexpr std::size_t maxGrowthKib = 32 * 1'024;
    std::atomic<std::size_t> sent { 0 };
    const auto framing = GENERATE(Framing::Length, Framing::Chunks);
    const RawUpstream upstream { [&](Connection& connection, int) { sendResponse(connection, readRequestId(connection), framing, size, &sent); } };
    const DownloadGateway gateway { upstream };
    const auto before = heldKib();
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "20000"));
    REQUIRE(waitUntilPaused(sent));
    const auto processorTime = std::clock();
    std::this_thread::sleep_for(milliseconds { 500 });
    const auto usedMs = 1'000 * (std::clock() - processorTime) / CLOCKS_PER_SEC;
    std::printf("paused download: upstream sent %zu of %zu bytes, %ld ms of processor time in 500 ms, memory %zu to %zu KiB\n", sent.load(), size, static_cast<long>(usedMs), before, heldKib());
    CHECK(sent < size / 2);
    CHECK(usedMs < 100);
    CHECK(heldKib() < before + maxGrowthKib);
    const auto delivery = PieceReader { caller }.read();
    CHECK(delivery.isComplete);
    CHECK(delivery.isIntact);
    CHECK(delivery.bodyBytes == size);
}

TEST_CASE("a download that breaks off is not repeated, and its caller sees that it is not whole")
{
    // Guards against a truncated response that looks complete, and a second one behind the beginning of the first.
    const auto framing = GENERATE(Framing::Length, Framing::Chunks, Framing::End);
    const std::size_t size = GENERATE(40'000, 5'000'000);
    std::atomic<int> requests { 0 };
    const RawUpstream upstream { [&](Connection& connection, int) {
                                    const auto id = readRequestId(connection);
                                    ++requests;
                                    RawUpstream::respond(connection, headOf(id, framing, size * 2));
                                    sendBody(connection, framing, size);
                                    if (framing == Framing::End) {
                                        // A response without length is whole after an orderly end. The bytes have to arrive before the reset.
                                        std::this_thread::sleep_for(milliseconds { 200 });
                                        const linger reset { 1, 0 };
                                        setsockopt(connection.socketDescriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                                    }
                                },
        "0.0.0.0" };
    DownloadGateway gateway { upstream, BufferBudget::defaultLimit, 3 };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "5000") + callerRequest("two", "/other"));
    const auto delivery = PieceReader { caller }.read();
    CHECK(!delivery.isComplete);
    CHECK(delivery.hasEnded);
    CHECK(delivery.isIntact);
    CHECK(delivery.bodyBytes > 0);
    CHECK(delivery.bodyBytes <= size);
    CHECK(requests == 1);
    CHECK(gateway.gateway.statistics().responsesBroken.value() == 1);
    CHECK(waitUntil([&] { return gateway.gateway.openRequests() == 0; }));
}

TEST_CASE("the connection to the upstream of a download is closed as soon as its caller leaves")
{
    // Guards against an upstream that works on for nobody. It sends no more, so that no failed write shows the end.
    const bool isReset = GENERATE(false, true);
    absl::Notification hasClosed;
    const RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::respond(connection, headOf(readRequestId(connection), Framing::Length, 1'000'000));
        sendBody(connection, Framing::Length, 100'000);
        RawUpstream::waitForClose(connection);
        hasClosed.Notify();
    } };
    DownloadGateway gateway { upstream };
    {
        const auto caller = gateway.connectCaller();
        gateway.sendBytes(caller, callerRequest("one", "/r/x", "20000"));
        CHECK(PieceReader { caller }.read(100'000).bodyBytes == 100'000);
        if (isReset) {
            const linger reset { 1, 0 };
            setsockopt(caller.number(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
    }
    CHECK(hasClosed.WaitForNotificationWithTimeout(absl::Milliseconds(500)));
    CHECK(waitUntil([&] { return gateway.gateway.openRequests() == 0; }));
    CHECK(gateway.gateway.statistics().callersDisconnected.value() == 1);
}

TEST_CASE("the connection to the upstream of a paused download is closed when its caller leaves")
{
    // Guards against a pause that nobody ends: bytes wait in both directions, and no write is tried.
    absl::Notification hasEnded;
    std::atomic<std::size_t> sent { 0 };
    const RawUpstream upstream { [&](Connection& connection, int) {
        sendResponse(connection, readRequestId(connection), Framing::Length, 100 * 1'024 * 1'024, &sent);
        hasEnded.Notify();
    } };
    DownloadGateway gateway { upstream };
    {
        const auto caller = gateway.connectCaller();
        gateway.sendBytes(caller, callerRequest("one", "/r/x", "20000"));
        REQUIRE(waitUntilPaused(sent));
        CHECK(!hasEnded.HasBeenNotified());
    }
    CHECK(hasEnded.WaitForNotificationWithTimeout(absl::Seconds(1)));
    CHECK(waitUntil([&] { return gateway.gateway.openRequests() == 0; }));
}

TEST_CASE("a download that finds the budget exhausted waits for room, and ends at its deadline without it")
{
    // Guards against buffers beyond the budget, a response that is cut off for want of room, and a wait without end.
    constexpr std::size_t size = 30 * 1'024 * 1'024;
    using Gateway = decltype(LoopbackGateway::gateway);
    const RawUpstream upstream { serveAll(Framing::Length, size) };
    DownloadGateway gateway { upstream, Gateway::transferBytes + Gateway::transferBytes / 2 };
    const auto slow = gateway.connectCaller();
    gateway.sendBytes(slow, callerRequest("slow", "/r/x", "20000"));
    REQUIRE(waitUntil([&] { return gateway.gateway.statistics().responsesStreamed.value() == 1; }));
    const auto early = gateway.connectCaller();
    gateway.sendBytes(early, callerRequest("early", "/r/x", "300"));
    const auto refused = PieceReader { early }.read();
    CHECK(refused.isComplete);
    CHECK(refused.status == 504);
    const auto late = gateway.connectCaller();
    gateway.sendBytes(late, callerRequest("late", "/r/x", "20000"));
    const auto first = PieceReader { slow }.read();
    CHECK(first.isComplete);
    CHECK(first.bodyBytes == size);
    const auto second = PieceReader { late }.read();
    CHECK(second.isComplete);
    CHECK(second.isIntact);
    CHECK(second.bodyBytes == size);
}

TEST_CASE("pipelined downloads arrive in the order of their requests")
{
    // Guards against pieces of a later response between those of an earlier one, and against a later response that is held
    // without bound until it is its turn.
    constexpr std::size_t size = 60 * 1'024 * 1'024;
    absl::Notification mayRespond;
    std::atomic<std::size_t> sent { 0 };
    const RawUpstream upstream { [&](Connection& connection, int) {
        const auto id = readRequestId(connection);
        if (id == "one") {
            mayRespond.WaitForNotificationWithTimeout(absl::Seconds(10));
        }
        sendResponse(connection, id, Framing::Length, size, id == "two" ? &sent : nullptr);
        RawUpstream::waitForClose(connection);
    } };
    const DownloadGateway gateway { upstream };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "20000") + callerRequest("two", "/r/x", "20000") + callerRequest("three", "/other"));
    REQUIRE(waitUntilPaused(sent));
    CHECK(sent < size / 2);
    mayRespond.Notify();
    PieceReader reader { caller };
    for (int i = 0; i < 2; ++i) {
        const auto delivery = reader.read();
        CHECK(delivery.status == 200);
        CHECK(delivery.isComplete);
        CHECK(delivery.isIntact);
        CHECK(delivery.bodyBytes == size);
    }
    CHECK(reader.read().status == 404);
}

TEST_CASE("a download that breaks off before its turn gets a response that says so")
{
    // Nothing of it has reached the caller, so the connection can go on.
    absl::Notification mayRespond;
    const RawUpstream upstream { [&](Connection& connection, int) {
        const auto id = readRequestId(connection);
        if (id == "one") {
            mayRespond.WaitForNotificationWithTimeout(absl::Seconds(10));
            sendResponse(connection, id, Framing::Length, 50'000);
            RawUpstream::waitForClose(connection);
        } else {
            RawUpstream::respond(connection, headOf(id, Framing::Length, 100'000));
            sendBody(connection, Framing::Length, 50'000);
        }
    } };
    DownloadGateway gateway { upstream };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "20000") + callerRequest("two", "/r/x", "20000"));
    CHECK(waitUntil([&] { return gateway.gateway.statistics().responsesBroken.value() == 1; }));
    mayRespond.Notify();
    PieceReader reader { caller };
    CHECK(reader.read().bodyBytes == 50'000);
    CHECK(reader.read().status == 502);
}

TEST_CASE("a download in progress is finished in a planned stop, and its connection closes behind it")
{
    // Guards against a transfer that counts as no open request, since its head is already written.
    constexpr std::size_t size = 200'000;
    absl::Notification mayFinish;
    const RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::respond(connection, headOf(readRequestId(connection), Framing::Length, size));
        sendBody(connection, Framing::Length, size / 2);
        mayFinish.WaitForNotificationWithTimeout(absl::Seconds(10));
        sendBody(connection, Framing::Length, size / 2, size / 2);
        RawUpstream::waitForClose(connection);
    } };
    DownloadGateway gateway { upstream };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "20000"));
    PieceReader reader { caller };
    const auto begun = reader.read(size / 2);
    CHECK(begun.bodyBytes == size / 2);
    gateway.gateway.beginDrain();
    gateway.gateway.stopAccepting(gateway.reactor.now() + std::chrono::seconds { 1 });
    gateway.gateway.closeIdle();
    CHECK(gateway.gateway.openRequests() == 1);
    CHECK(gateway.gateway.connectionCount() == 1);
    mayFinish.Notify();
    const auto rest = reader.read();
    CHECK(rest.isComplete);
    CHECK(rest.bodyBytes == size - begun.bodyBytes);
    CHECK(waitUntil([&] { return gateway.gateway.openRequests() == 0; }));
    gateway.gateway.closeIdle();
    CHECK(reader.read().hasEnded);
}

TEST_CASE("a download that is not finished at the end of a planned stop is cut visibly")
{
    // Guards against a process that waits for an endless transfer, and a truncated response that looks complete.
    const auto framing = GENERATE(Framing::Length, Framing::Chunks);
    absl::Notification hasClosed;
    const RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::respond(connection, headOf(readRequestId(connection), framing, 200'000));
        sendBody(connection, framing, 100'000);
        RawUpstream::waitForClose(connection);
        hasClosed.Notify();
    } };
    DownloadGateway gateway { upstream };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "20000"));
    PieceReader reader { caller };
    CHECK(reader.read(100'000).bodyBytes == 100'000);
    gateway.gateway.beginDrain();
    gateway.gateway.endOpenRequests();
    const auto rest = reader.read();
    CHECK(!rest.isComplete);
    CHECK(rest.hasEnded);
    CHECK(hasClosed.WaitForNotificationWithTimeout(absl::Seconds(1)));
    CHECK(waitUntil([&] { return gateway.gateway.openRequests() == 0; }));
}

TEST_CASE("a download that goes on beyond its deadline is delivered")
{
    // What is ready is delivered, even if it is late. The deadline bounds the wait for the head.
    constexpr std::size_t size = 100'000;
    const RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::respond(connection, headOf(readRequestId(connection), Framing::Length, size));
        for (std::size_t sent = 0; sent < size; sent += size / 5) {
            sendBody(connection, Framing::Length, size / 5, sent);
            std::this_thread::sleep_for(milliseconds { 200 });
        }
        RawUpstream::waitForClose(connection);
    } };
    const DownloadGateway gateway { upstream };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "500"));
    const auto delivery = PieceReader { caller }.read();
    CHECK(delivery.isComplete);
    CHECK(delivery.isIntact);
    CHECK(delivery.bodyBytes == size);
}

TEST_CASE("a download whose upstream stops sending is ended")
{
    // Guards against a caller and a buffer that wait for ever once the deadline no longer counts.
    const RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::respond(connection, headOf(readRequestId(connection), Framing::Chunks, 0));
        sendBody(connection, Framing::Chunks, 100'000);
        RawUpstream::waitForClose(connection);
    } };
    const DownloadGateway gateway { upstream };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "500"));
    const auto begun = SteadyClock {}.now();
    const auto delivery = PieceReader { caller }.read();
    const auto took = SteadyClock {}.now() - begun;
    CHECK(!delivery.isComplete);
    CHECK(delivery.hasEnded);
    CHECK(took >= UpstreamConnection::stallTimeout);
    CHECK(took < UpstreamConnection::stallTimeout + milliseconds { 2'000 });
}

TEST_CASE("a download whose caller reads nothing for the idle timeout is ended")
{
    // Guards against an upstream that stays paused for ever for a caller that is stuck.
    absl::Notification hasEnded;
    const RawUpstream upstream { [&](Connection& connection, int) {
        sendResponse(connection, readRequestId(connection), Framing::Length, 100 * 1'024 * 1'024);
        hasEnded.Notify();
    } };
    DownloadGateway gateway { upstream };
    CallerLimits limits;
    limits.idleTimeout = std::chrono::seconds { 1 };
    gateway.apply(ChangeItems { { ConfigItem { "limits", 1, limits, "limits" } }, {} });
    gateway.publish();
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "20000"));
    CHECK(!hasEnded.WaitForNotificationWithTimeout(absl::Milliseconds(800)));
    CHECK(hasEnded.WaitForNotificationWithTimeout(absl::Seconds(5)));
    CHECK(waitUntil([&] { return gateway.gateway.openRequests() == 0; }));
}

TEST_CASE("a large response that may be followed by another attempt is not forwarded before it is decided")
{
    // Guards against the head of a refusal or of a response to another request that reaches the caller, after which the
    // request could not be repeated.
    const std::string head = GENERATE("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: one\r\n", "HTTP/1.1 200 OK\r\nUpstream-Signature: s\r\nRequest-Id: another\r\n", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n", "HTTP/1.1 500 Error\r\nRequest-Id: one\r\n");
    constexpr std::size_t size = 100'000;
    std::atomic<int> requests { 0 };
    const RawUpstream upstream { [&](Connection& connection, int) {
                                    const auto id = readRequestId(connection);
                                    if (++requests == 1) {
                                        RawUpstream::respond(connection, head + "Content-Length: " + std::to_string(size) + "\r\n\r\n");
                                        sendBody(connection, Framing::Length, size);
                                    } else {
                                        sendResponse(connection, id, Framing::Length, size);
                                    }
                                    RawUpstream::waitForClose(connection);
                                },
        "0.0.0.0" };
    const DownloadGateway gateway { upstream, BufferBudget::defaultLimit, 3 };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, callerRequest("one", "/r/x", "5000"));
    const auto delivery = PieceReader { caller }.read();
    CHECK(delivery.status == 200);
    CHECK(delivery.isComplete);
    CHECK(delivery.isIntact);
    CHECK(delivery.bodyBytes == size);
    CHECK(requests == 2);
}

TEST_CASE("a caller that does not accept chunks gets a download with its length")
{
    // Guards against chunks that are taken for the body, and a truncated response that looks complete without a length.
    constexpr std::size_t size = 100'000;
    const RawUpstream upstream { serveAll(Framing::Chunks, size) };
    const DownloadGateway gateway { upstream };
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, "GET /r/x HTTP/1.0\r\nHost: host.example\r\nRequest-Id: one\r\n\r\n");
    std::string received;
    char buffer[4'096];
    for (auto count = recv(caller.number(), buffer, sizeof buffer, 0); count > 0; count = recv(caller.number(), buffer, sizeof buffer, 0)) {
        received.append(buffer, static_cast<std::size_t>(count));
    }
    CHECK(received.find("Content-Length: " + std::to_string(size)) != std::string::npos);
    CHECK(received.find("chunked") == std::string::npos);
}

TEST_CASE("an upstream connection is used again after a download, and only after its end")
{
    // Guards against a new connection for each download, and a request that is sent behind an unfinished response.
    std::atomic<int> connections { 0 };
    const RawUpstream upstream { [&](Connection& connection, int) {
        ++connections;
        serveAll(Framing::Chunks, 500'000)(connection, 0);
    } };
    const DownloadGateway gateway { upstream };
    for (int i = 0; i < 20; ++i) {
        const auto caller = gateway.connectCaller();
        gateway.sendBytes(caller, callerRequest("id-" + std::to_string(i), "/r/x", "5000"));
        const auto delivery = PieceReader { caller }.read();
        CHECK(delivery.isComplete);
        CHECK(delivery.isIntact);
    }
    CHECK(connections == 1);
}
