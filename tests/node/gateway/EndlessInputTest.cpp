#include "node/gateway/Gateway.h"

#include "adapters/http/RawUpstream.h"
#include "core/registry/RegistryFixture.h"
#include "platform/CallerHeaders.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

/// Maximum growth of the resident memory: what 300 connections may buffer, twice. ThreadSanitizer keeps at least four bytes
/// of its own for each byte. AddressSanitizer holds back up to 256 MiB of freed memory, with an eighth of that to describe it.
#if defined(__SANITIZE_THREAD__)
constexpr std::size_t maxGrowthKib = 5 * 200 * 1'024;
#elif defined(__SANITIZE_ADDRESS__)
constexpr std::size_t maxGrowthKib = (200 + 256 + 256 / 8) * 1'024;
#else
constexpr std::size_t maxGrowthKib = 200 * 1'024;
#endif

/// @return Resident memory of this process in KiB.
std::size_t residentKib()
{
    std::ifstream statm { "/proc/self/statm" };
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1'024;
}

/// Sends bytes without end on each connection, at every loopback address. One thread serves all connections:
/// ThreadSanitizer ended itself at times when hundreds of threads were started.
class EndlessUpstream {
public:
    /// Beginning of a response, and what follows it again and again.
    using Response = std::pair<std::string, std::string>;

    /// @param responses Used in turn, one for each connection.
    explicit EndlessUpstream(std::vector<Response> responses)
        : responses(std::move(responses))
    {
        this->listener = listenOn("0.0.0.0", this->listenPort).value();
        this->thread = std::thread { [this] { this->run(); } };
    }
    ~EndlessUpstream()
    {
        this->finish();
        ::close(this->listener);
    }
    EndlessUpstream(const EndlessUpstream&) = delete;
    EndlessUpstream& operator=(const EndlessUpstream&) = delete;

    std::uint16_t port() const { return this->listenPort; }

    /// Stops accepting and serves the open connections until they have ended.
    void finish()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    std::atomic<int> accepted { 0 };
    /// Connections that the gateway closed before the limit of bytes was reached.
    std::atomic<int> closedByGateway { 0 };
    /// Highest resident memory of this process while the upstream sent.
    std::atomic<std::size_t> peakKib { 0 };

private:
    static constexpr std::size_t maxSentBytes = 64 * 1'024 * 1'024;
    static constexpr std::size_t pieceBytes = 16 * 1'024;

    struct Sender {
        FileDescriptor socket;
        std::string unsent;
        std::string piece;
        std::size_t sentBytes {};
        bool hasRequest {};
        bool hasEnded {};
    };

    void run()
    {
        std::vector<Sender> senders;
        bool isAccepting = true;
        while (isAccepting || !senders.empty()) {
            // poll() ignores entries with a negative descriptor.
            std::vector<pollfd> entries { { isAccepting ? this->listener : -1, POLLIN, 0 } };
            for (const auto& sender : senders) {
                entries.push_back({ sender.socket.number(), static_cast<short>(sender.hasRequest ? POLLOUT : POLLIN), 0 });
            }
            ::poll(entries.data(), entries.size(), -1);
            this->peakKib = std::max(this->peakKib.load(), residentKib());
            for (std::size_t i = 0; i < senders.size(); ++i) {
                if (entries[i + 1].revents != 0) {
                    this->serve(senders[i]);
                }
            }
            std::erase_if(senders, [](const Sender& sender) { return sender.hasEnded; });
            if (entries[0].revents != 0) {
                isAccepting = this->acceptNext(senders);
            }
        }
    }

    /// @return False if the listener was shut down.
    bool acceptNext(std::vector<Sender>& senders)
    {
        FileDescriptor socket { ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) };
        if (!socket) {
            return errno == EAGAIN || errno == EINTR;
        }
        const auto& [start, filler] = this->responses[static_cast<std::size_t>(this->accepted++) % this->responses.size()];
        std::string piece;
        while (piece.size() < pieceBytes) {
            piece += filler;
        }
        senders.push_back({ std::move(socket), start, std::move(piece) });
        return true;
    }

    void serve(Sender& sender)
    {
        std::array<char, 4'096> buffer {};
        if (!sender.hasRequest) {
            // A caller's request is shorter than the buffer and arrives in one piece.
            sender.hasRequest = recv(sender.socket.number(), buffer.data(), buffer.size(), 0) > 0;
            this->end(sender, !sender.hasRequest);
            return;
        }
        if (sender.unsent.empty()) {
            sender.unsent = sender.piece;
        }
        const auto count = send(sender.socket.number(), sender.unsent.data(), sender.unsent.size(), MSG_NOSIGNAL);
        if (count < 0) {
            this->end(sender, errno != EAGAIN && errno != EINTR);
            return;
        }
        sender.unsent.erase(0, static_cast<std::size_t>(count));
        sender.sentBytes += static_cast<std::size_t>(count);
        sender.hasEnded = sender.sentBytes > maxSentBytes;
    }

    /// @param isClosed True if the gateway closed the connection.
    void end(Sender& sender, bool isClosed)
    {
        sender.hasEnded = isClosed;
        this->closedByGateway += isClosed ? 1 : 0;
    }

    const std::vector<Response> responses;
    std::uint16_t listenPort {};
    int listener {};
    std::thread thread;
};

/// Sends a request on a new connection, which the response ends.
std::unique_ptr<Connection> sendRequest(const Endpoint& to, const std::string& id)
{
    auto connection = Connection::connect(to, RawUpstream::soon());
    REQUIRE(connection);
    RawUpstream::respond(**connection, "GET /r/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 8000\r\nConnection: close\r\n\r\n");
    return std::move(*connection);
}

std::string readResponse(Connection& connection)
{
    std::string received;
    std::array<char, 4'096> buffer {};
    std::size_t count = 0;
    while (connection.read(buffer, count, RawUpstream::soon()) == IoStatus::Ok) {
        received.append(buffer.data(), count);
    }
    return received;
}

}

TEST_CASE("upstreams that send bytes without end are cut off, their requests end as unknown, and memory stays flat")
{
    // Each start is the beginning of a response that never ends in a head, in the size of a chunk, in trailers, in interim
    // responses or in a body. The budget for buffered bytes bounds the bodies, each of which may be large.
    const std::vector<EndlessUpstream::Response> endless {
        { "", "garbage without a line end " },
        { "HTTP/1.1 200 OK\r\nName: ", "value " },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "extension" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTrailer: ", "value " },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", "body" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n" },
        { "HTTP/1.1 200 OK\r\n\r\n", "a body that ends with its connection " },
    };
    constexpr int connections = 300;
    constexpr std::size_t bufferBytes = 32 * 1'024 * 1'024;
    auto upstream = std::make_unique<EndlessUpstream>(endless);
    Reactor reactor { 4 };
    const auto logger = std::move(*Logger::open({ LogLevel::Fatal, {}, LogStream::Error }));
    Gateway<platform::CallerHeaders> gateway { reactor, *logger, { "z1", {}, 1, 200, 100, milliseconds { 10'000 } }, bufferBytes };
    RegistryState state;
    REQUIRE(applyNext(state, ChangeItems { { serviceItem("a", false), routeItem("r", "a", 1, RequestKind::AtMostOnce) }, {} }) == ResultCode::Ok);
    // One upstream for each request, so that neither limits nor circuit breakers keep requests back.
    for (int i = 0; i < connections; ++i) {
        auto registered = announcement("u" + std::to_string(i), "a");
        registered.endpoint = { "127.0." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250), upstream->port() };
        registered.requestSlots = 4;
        static_cast<void>(applyNext(state, registered));
    }
    gateway.executeEffects(gateway.applyState(state));
    REQUIRE(gateway.listen({ "127.0.0.1", 0 }));
    reactor.start();
    const auto before = residentKib();
    int unknown = 0;
    int refused = 0;
    int successes = 0;
    std::vector<std::unique_ptr<Connection>> callers;
    callers.reserve(connections);
    for (int i = 0; i < connections; ++i) {
        callers.push_back(sendRequest(gateway.localEndpoint(), "id-" + std::to_string(i)));
    }
    for (const auto& caller : callers) {
        const auto response = readResponse(*caller);
        unknown += response.starts_with("HTTP/1.1 502") || response.starts_with("HTTP/1.1 504") ? 1 : 0;
        refused += response.starts_with("HTTP/1.1 503") ? 1 : 0;
        successes += response.starts_with("HTTP/1.1 2") ? 1 : 0;
    }
    reactor.stop();
    upstream->finish();
    const int accepted = upstream->accepted;
    const int closedByGateway = upstream->closedByGateway;
    const auto peak = upstream->peakKib.load();
    upstream.reset();
    INFO("unknown " << unknown << ", refused " << refused << ", cut off " << closedByGateway << ", memory " << before << " to " << peak << " KiB");
    std::printf("endless responses: %d unknown, %d refused, %d cut off, resident memory %zu to %zu KiB\n", unknown, refused, closedByGateway, before, peak);
    CHECK(successes == 0);
    // A request that no connection could take in time is refused.
    CHECK(unknown + refused == connections);
    CHECK(unknown > connections / 2);
    CHECK(closedByGateway == accepted);
    CHECK(peak < before + maxGrowthKib);
}
