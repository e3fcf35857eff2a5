#include "adapters/http/RawUpstream.h"
#include "node/gateway/LoopbackGateway.h"

#include <catch2/catch.hpp>
#include <map>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

/// An upstream that never responds to requests whose id begins with "lost", nor to any later one on their connection.
class SilentUpstream {
public:
    Endpoint endpoint() const { return this->upstream.endpoint(); }

    /// @return Requests that came behind an unanswered one on the same connection.
    int following()
    {
        const MutexLock lock { this->mutex };
        return this->followingRequests;
    }
    /// @return Connections that the client closed after an unanswered request.
    int closed()
    {
        const MutexLock lock { this->mutex };
        return this->closedConnections;
    }

private:
    void serve(Connection& connection)
    {
        bool isSilent = false;
        for (auto request = RawUpstream::readRequest(connection); !request.empty(); request = RawUpstream::readRequest(connection)) {
            const auto begin = request.find("Request-Id: ") + 12;
            const auto id = request.substr(begin, request.find("\r\n", begin) - begin);
            if (isSilent) {
                const MutexLock lock { this->mutex };
                ++this->followingRequests;
            }
            isSilent = isSilent || id.starts_with("lost");
            if (!isSilent) {
                RawUpstream::respond(connection, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nUpstream-Signature: signed\r\nContent-Length: 2\r\n\r\nok");
            }
        }
        const MutexLock lock { this->mutex };
        this->closedConnections += isSilent ? 1 : 0;
    }

    Mutex mutex;
    int followingRequests ABSL_GUARDED_BY(mutex) {};
    int closedConnections ABSL_GUARDED_BY(mutex) {};
    RawUpstream upstream { [this](Connection& connection, int) { this->serve(connection); } };
};

}

TEST_CASE("a connection with an unanswered request carries no further requests, before or after the deadline")
{
    // Guards against requests that are sent behind one that the upstream dropped: it responds to none of them.
    const auto kind = GENERATE(RequestKind::Idempotent, RequestKind::AtMostOnce);
    SilentUpstream upstream;
    LoopbackGateway gateway;
    gateway.apply(ChangeItems { { serviceItem("a", false), routeItem("r", "a", 1, kind) }, {} });
    gateway.addUpstream("u", "a", upstream.endpoint());
    gateway.start();
    // Leaves an idle connection, which then carries the request without a response.
    CHECK(gateway.sendAndReceive(callerRequest("first"), 1).starts_with("HTTP/1.1 200"));
    {
        const auto waiting = gateway.connectCaller();
        LoopbackGateway::sendBytes(waiting, callerRequest("lost", "/r/x", "300"));
        std::this_thread::sleep_for(milliseconds { 50 });
        CHECK(gateway.sendAndReceive(callerRequest("before"), 1).starts_with("HTTP/1.1 200"));
        CHECK(LoopbackGateway::receive(waiting, 1).starts_with("HTTP/1.1 504"));
    }
    CHECK(gateway.sendAndReceive(callerRequest("after-1"), 1).starts_with("HTTP/1.1 200"));
    CHECK(gateway.sendAndReceive(callerRequest("after-2"), 1).starts_with("HTTP/1.1 200"));
    // A caller that disconnects leaves an unanswered request behind as well.
    {
        const auto leaving = gateway.connectCaller();
        LoopbackGateway::sendBytes(leaving, callerRequest("lost-2", "/r/x", "800"));
        std::this_thread::sleep_for(milliseconds { 50 });
    }
    CHECK(gateway.sendAndReceive(callerRequest("after-3"), 1).starts_with("HTTP/1.1 200"));
    for (int i = 0; i < 500 && upstream.closed() < 2; ++i) {
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    CHECK(upstream.closed() == 2);
    CHECK(upstream.following() == 0);
    gateway.reactor.stop();
}
