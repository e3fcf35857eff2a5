#include "adapters/http/RawUpstream.h"
#include "node/gateway/LoopbackGateway.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;

/// Upstreams that send a copy of an earlier response, or bytes that belong to no request, on a kept connection.
namespace {

std::string headerOf(const std::string& request, const std::string& name)
{
    const auto begin = request.find(name + ": ");
    return begin == std::string::npos ? "" : request.substr(begin + name.size() + 2, request.find("\r\n", begin) - begin - name.size() - 2);
}

std::string refusal(const std::string& status, const std::string& idLine)
{
    return "HTTP/1.1 " + status + " Refused\r\nNot-Executed: 1\r\n" + idLine + "Content-Length: 0\r\n\r\n";
}

std::string success(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nUpstream-Signature: signed\r\nContent-Length: 2\r\n\r\nok";
}

}

TEST_CASE("a late copy of a refusal is not taken for the response to the repeat of the request")
{
    // The repeat has the id of the refused request, so only the connection tells their responses apart. The caller was told
    // that the request did not run while the upstream ran it.
    const std::string status = GENERATE("503", "421");
    std::atomic<int> runs { 0 };
    std::atomic<int> copies { 0 };
    RawUpstream upstream { [&](Connection& connection, int number) {
        std::string lastRefusal;
        while (true) {
            const auto id = headerOf(RawUpstream::readRequest(connection), "Request-Id");
            if (id.empty()) {
                return;
            }
            if (!lastRefusal.empty()) {
                ++copies;
                RawUpstream::respond(connection, lastRefusal);
            }
            if (number == 0 && lastRefusal.empty()) {
                lastRefusal = refusal(status, "Request-Id: " + id + "\r\n");
                RawUpstream::respond(connection, lastRefusal);
            } else {
                ++runs;
                RawUpstream::respond(connection, success(id));
            }
        }
    } };
    {
        LoopbackGateway fixture;
        fixture.apply(ChangeItems { { serviceItem("keys", true), routeItem("r", "keys") }, {} });
        const auto owner = fixture.addUpstream("u", "keys", upstream.endpoint());
        fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "" } } });
        fixture.start();
        const auto received = fixture.sendAndReceive(callerRequest("one", "/r/x", "2000", "Shard-Key: 7\r\n"), 1);
        CHECK(received.starts_with("HTTP/1.1 200"));
        fixture.reactor.stop();
    }
    CHECK(runs == 1);
    CHECK(copies == 0);
}

TEST_CASE("a refusal without an id is not taken for the response to a later request of its connection")
{
    // The refusal may be a copy of an earlier one; the request after it runs.
    std::atomic<int> runs { 0 };
    RawUpstream upstream { [&](Connection& connection, int) {
        for (int i = 0;; ++i) {
            const auto id = headerOf(RawUpstream::readRequest(connection), "Request-Id");
            if (id.empty()) {
                return;
            }
            ++runs;
            if (i > 0) {
                RawUpstream::respond(connection, refusal("503", ""));
            }
            RawUpstream::respond(connection, success(id));
        }
    } };
    {
        LoopbackGateway fixture;
        fixture.apply(ChangeItems { { serviceItem("a", false), routeItem("r", "a") }, {} });
        fixture.addUpstream("u", "a", upstream.endpoint());
        fixture.start();
        CHECK(fixture.sendAndReceive(callerRequest("one"), 1).starts_with("HTTP/1.1 200"));
        CHECK(fixture.sendAndReceive(callerRequest("two"), 1).starts_with("HTTP/1.1 502"));
        fixture.reactor.stop();
    }
    CHECK(runs == 2);
}

TEST_CASE("requests of callers that use an id twice do not share a connection")
{
    // A late copy of the response to the first of them would be delivered to the caller of the second.
    std::atomic<int> copies { 0 };
    RawUpstream upstream { [&](Connection& connection, int) {
        std::string lastResponse;
        while (true) {
            const auto request = RawUpstream::readRequest(connection);
            if (request.empty()) {
                return;
            }
            if (!lastResponse.empty()) {
                ++copies;
                RawUpstream::respond(connection, lastResponse);
            }
            lastResponse = success(headerOf(request, "Request-Id"));
            RawUpstream::respond(connection, lastResponse);
        }
    } };
    {
        LoopbackGateway fixture;
        fixture.apply(ChangeItems { { serviceItem("a", false), routeItem("r", "a") }, {} });
        fixture.addUpstream("u", "a", upstream.endpoint());
        fixture.start();
        CHECK(fixture.sendAndReceive(callerRequest("one"), 1).starts_with("HTTP/1.1 200"));
        CHECK(fixture.sendAndReceive(callerRequest("one"), 1).starts_with("HTTP/1.1 200"));
        fixture.reactor.stop();
    }
    CHECK(copies == 0);
}
