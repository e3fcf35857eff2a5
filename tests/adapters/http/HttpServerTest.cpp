#include "adapters/http/HttpServer.h"

#include "RawUpstream.h"
#include "adapters/http/HttpClient.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <latch>
#include <thread>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

HttpResponse echo(const HttpRequest& request)
{
    return { 200,
        { { "X-Method", std::string { request.method } }, { "X-Target", std::string { request.target } },
            { "X-Key", std::string { request.header("Key") } },
            { "X-Type", std::string { request.header("Content-Type") } } },
        std::string { request.body } };
}

std::unique_ptr<HttpServer> serve(WorkerPool& workers, HttpHandler handler, HttpServerSettings settings = {})
{
    return std::move(HttpServer::start(std::move(settings), workers, std::move(handler))).value();
}

/// Sends bytes on a new connection and reads until the server closes it.
std::string sendRaw(std::uint16_t port, const std::string& bytes)
{
    auto connection = Connection::connect({ "127.0.0.1", port }, RawUpstream::soon()).value();
    REQUIRE(connection->write(bytes, RawUpstream::soon()) == IoStatus::Ok);
    std::string response;
    std::array<char, 4096> buffer {};
    for (std::size_t count = 0; connection->read(buffer, count, RawUpstream::soon()) == IoStatus::Ok;) {
        response.append(buffer.data(), count);
    }
    return response;
}

}

TEST_CASE("HTTP server passes requests through unchanged", "[http]")
{
    // The library would decode header values, forms and content encodings if they were not hidden from it.
    WorkerPool workers { 2, 16 };
    const auto server = serve(workers, echo);
    HttpClient client { { "127.0.0.1", server->port() } };
    const HttpHeaderView headers[]
        = { { "Key", "a%0d%0aX: y%2f" }, { "Content-Type", "multipart/form-data; boundary=q" } };
    for (const std::string_view method : { "POST", "PUT", "PATCH", "DELETE" }) {
        const auto response = client.send({ method, "/a%20b?c=%41", headers, "--q\r\nbody%41", {} }, 10s);
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->header("X-Method") == method);
        CHECK(response->header("X-Target") == "/a%20b?c=%41");
        CHECK(response->header("X-Key") == "a%0d%0aX: y%2f");
        CHECK(response->header("X-Type") == "multipart/form-data; boundary=q");
        CHECK(response->body == "--q\r\nbody%41");
    }
    for (const std::string_view method : { "GET", "OPTIONS", "DELETE", "POST" }) {
        const auto response = client.send({ method, "/", {}, {}, {} }, 10s);
        REQUIRE(response);
        CHECK(response->header("X-Method") == method);
    }
    CHECK(server->connectionCount() == 1);
}

TEST_CASE("HTTP server serves more persistent connections than it has workers", "[http]")
{
    // An idle persistent connection must not occupy a worker.
    WorkerPool workers { 1, 16 };
    const auto server = serve(workers, echo);
    std::vector<std::unique_ptr<HttpClient>> clients;
    clients.reserve(8);
    for (int i = 0; i < 8; ++i) {
        clients.push_back(std::make_unique<HttpClient>(Endpoint { "127.0.0.1", server->port() }));
    }
    for (int round = 0; round < 50; ++round) {
        for (auto& client : clients) {
            REQUIRE(client->send({ "GET", "/", {}, {}, {} }, 10s));
        }
    }
    CHECK(server->connectionCount() == 8);
}

TEST_CASE("HTTP server rejects ambiguous and oversized requests and closes the connection", "[http]")
{
    // Request smuggling: bytes of one request must not be read as another request.
    WorkerPool workers { 2, 16 };
    HttpServerSettings settings;
    settings.limits = { 4096, 1024 };
    const auto server = serve(workers, echo, settings);
    const std::pair<std::string, std::string> cases[] = {
        { "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", " 400 " },
        { "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", " 400 " },
        { "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", " 400 " },
        { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabGET /x HTTP/1.1\r\n\r\n", " 400 " },
        { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", " 400 " },
        { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n", " 400 " },
        { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nab\r\n0\r\n\r\n", " 400 " },
        { "GET / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", " 400 " },
        { "POST / HTTP/1.1\r\nContent-Length: 1025\r\n\r\n", " 413 " },
        { "nonsense\r\n\r\n", " 400 " },
        { "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n", " 4" },
    };
    for (const auto& [bytes, status] : cases) {
        CAPTURE(bytes);
        const auto response = sendRaw(server->port(), bytes);
        CHECK(response.substr(0, 16).find(status) != std::string::npos);
        CHECK(response.find("Connection: close") != std::string::npos);
        CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
    }
}

TEST_CASE("HTTP server does not handle a request that ends early, whichever byte is the last", "[http]")
{
    // Guards against running a request with a part of its body.
    WorkerPool workers { 2, 16 };
    std::atomic<int> handled { 0 };
    const auto server = serve(workers, [&](const HttpRequest& request) {
        ++handled;
        return echo(request);
    });
    const std::string requests[] = {
        "GET /x HTTP/1.1\r\nHost: h\r\nKey: value\r\n\r\n",
        "POST /x HTTP/1.1\r\nContent-Length: 12\r\nKey: value\r\n\r\n0123456789ab",
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n08;name=value\r\n456789ab\r\n0\r\n\r\n",
    };
    for (const auto& request : requests) {
        for (std::size_t size = 0; size <= request.size(); ++size) {
            INFO(size << " of " << request.size() << " bytes of " << request);
            handled = 0;
            auto connection = Connection::connect({ "127.0.0.1", server->port() }, RawUpstream::soon()).value();
            REQUIRE(connection->write(std::string_view { request }.substr(0, size), RawUpstream::soon()) == IoStatus::Ok);
            REQUIRE(::shutdown(connection->socketDescriptor(), SHUT_WR) == 0);
            RawUpstream::waitForClose(*connection);
            CHECK(handled == (size == request.size() ? 1 : 0));
        }
    }
}

TEST_CASE("HTTP server responds to pipelined requests in order", "[http]")
{
    WorkerPool workers { 2, 16 };
    const auto server = serve(workers, echo);
    const auto response = sendRaw(server->port(),
        "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto first = response.find("X-Target: /1");
    const auto second = response.find("X-Target: /2");
    REQUIRE(first != std::string::npos);
    REQUIRE(second != std::string::npos);
    CHECK(first < second);
}

TEST_CASE("drain finishes requests in flight and closes persistent connections", "[http]")
{
    // A graceful shutdown must not abort a request that is being served.
    WorkerPool workers { 4, 64 };
    std::latch started { 1 };
    std::latch release { 1 };
    auto server = serve(workers, [&](const HttpRequest& request) {
        if (request.target == "/slow") {
            started.count_down();
            release.wait();
        }
        return echo(request);
    });
    const Endpoint endpoint { "127.0.0.1", server->port() };
    HttpClient keptAlive { endpoint };
    REQUIRE(keptAlive.send({ "GET", "/", {}, {}, {} }, 10s));
    Result<HttpResponse> response { ResultCode::Internal };
    std::thread slow { [&] {
        HttpClient client { endpoint };
        response = client.send({ "GET", "/slow", {}, {}, {} }, 30s);
    } };
    started.wait();
    CHECK_FALSE(server->drain(1ms));
    release.count_down();
    CHECK(server->drain(30s));
    slow.join();
    REQUIRE(response);
    CHECK(response->header("Connection") == "close");
    CHECK(server->connectionCount() == 0);
    CHECK_FALSE(keptAlive.send({ "GET", "/", {}, {}, {} }, 10s));
}

TEST_CASE("drain under load cuts no request", "[http]")
{
    // No response may be lost while many clients send on persistent connections.
    WorkerPool workers { 4, 64 };
    std::atomic<std::uint64_t> handled { 0 };
    auto server = serve(workers, [&](const HttpRequest& request) {
        ++handled;
        return echo(request);
    });
    const Endpoint endpoint { "127.0.0.1", server->port() };
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> cut { 0 };
    std::latch hasLoad { 1 };
    std::vector<std::thread> clients;
    clients.reserve(8);
    for (int i = 0; i < 8; ++i) {
        clients.emplace_back([&] {
            HttpClient client { endpoint };
            while (true) {
                const auto response = client.send({ "POST", "/", {}, "body", {} }, 30s);
                if (!response) {
                    cut += response.error() == make_error_code(ResultCode::HttpUnexpectedResponse) ? 1 : 0;
                    return;
                }
                if (++answered == 500) {
                    hasLoad.count_down();
                }
            }
        });
    }
    hasLoad.wait();
    CHECK(server->drain(30s));
    for (auto& client : clients) {
        client.join();
    }
    CHECK(cut == 0);
    CHECK(handled == answered);
}
