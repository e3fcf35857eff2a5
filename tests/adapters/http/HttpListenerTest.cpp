#include "adapters/http/HttpListener.h"

#include "adapters/http/RawUpstream.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

TEST_CASE("a listener keeps as many connections as it may, and closes those beyond")
{
    // A member with more upstreams than connections closed one for each heartbeat, and its upstreams connected anew.
    Reactor reactor { 1 };
    HttpListener* self = nullptr;
    HttpListener listener { reactor, { [&self](HttpRequestId id, const ReceivedRequest&) { self->respond(id, {}); }, {} } };
    self = &listener;
    constexpr std::size_t limit = 40;
    listener.setMaxConnections(limit);
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    const auto exchange = [](Connection& connection) {
        RawUpstream::respond(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        std::array<char, 4'096> buffer {};
        std::size_t count = 0;
        return connection.read(buffer, count, RawUpstream::soon()) == IoStatus::Ok;
    };
    std::vector<std::unique_ptr<Connection>> open;
    for (std::size_t i = 0; i < limit; ++i) {
        auto connection = Connection::connect(listener.localEndpoint(), RawUpstream::soon());
        REQUIRE(connection);
        open.push_back(std::move(*connection));
        REQUIRE(exchange(*open.back()));
    }
    CHECK(exchange(*open.front()));
    auto beyond = Connection::connect(listener.localEndpoint(), RawUpstream::soon());
    CHECK((!beyond || !exchange(**beyond)));
    reactor.stop();
}
