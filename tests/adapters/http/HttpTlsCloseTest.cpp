#include "adapters/http/HttpServer.h"

#include "adapters/http/SlowTlsCaller.h"
#include "adapters/settings/TemporaryFolder.h"
#include "adapters/settings/TlsMaterial.h"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string lastRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// A TLS server whose responses fit into the kernel's send buffer on loopback, but not into the receive buffer of a caller.
struct LongTlsResponses {
    const TemporaryFolder folder;
    const std::string body = std::string(1'024 * 1'024, 'x');
    WorkerPool workers { 2, 16 };
    /// Size of the next response's body.
    std::atomic<std::size_t> size { this->body.size() };
    std::unique_ptr<HttpServer> server { std::move(HttpServer::start(this->settings(), this->workers, [this](const HttpRequest&) { return HttpResponse { 200, {}, this->body.substr(0, this->size) }; })).value() };

    HttpServerSettings settings() const
    {
        HttpServerSettings settings;
        settings.certificateFile = (this->folder.path() / "server.crt").string();
        settings.keyFile = (this->folder.path() / "server.pem").string();
        writeTlsMaterial(settings.certificateFile, settings.keyFile);
        return settings;
    }

    Endpoint endpoint() const { return { "127.0.0.1", this->server->port() }; }
};

}

TEST_CASE("HTTP server does not cut an encrypted response that closes its connection", "[http]")
{
    // The socket was closed once the kernel had the response. The next request then reset the connection, and the bytes in
    // the send buffer were lost, with the TLS record that states the end.
    LongTlsResponses fixture;
    SlowTlsCaller caller { fixture.endpoint() };
    REQUIRE(caller.send(lastRequest));
    for (std::size_t part = 0; part < fixture.body.size(); part += fixture.body.size() / 16) {
        caller.readAtLeast(part);
        CHECK(caller.send(request));
    }
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == fixture.body.size());
    CHECK(caller.end == SlowTlsCaller::End::Orderly);
}

TEST_CASE("HTTP server does not cut an encrypted response by draining", "[http]")
{
    // The connection is idle for the server, but its caller has not received the response yet.
    LongTlsResponses fixture;
    SlowTlsCaller caller { fixture.endpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    absl::Notification isDrained;
    bool hasDrained = false;
    std::thread drain { [&] {
        hasDrained = fixture.server->drain(20s);
        isDrained.Notify();
    } };
    // Longer than HttpServerSettings::drainIdleTimeout.
    CHECK_FALSE(isDrained.WaitForNotificationWithTimeout(absl::Milliseconds(800)));
    CHECK(caller.send(request));
    caller.readToEnd();
    drain.join();
    CHECK(hasDrained);
    CHECK(caller.receivedBody().size() >= fixture.body.size());
    CHECK(caller.end == SlowTlsCaller::End::Orderly);
}

TEST_CASE("HTTP server states the end of an encrypted connection, however full its send buffer is", "[http]")
{
    // The alert that states the end was dropped if the response had filled the send buffer, and the connection looked truncated
    // to its caller. With a small buffer, this happens for one size in ten.
    LongTlsResponses fixture;
    int truncated = 0;
    int incomplete = 0;
    for (std::size_t size = 1'000; size < 120'000; size += 500) {
        fixture.size = size;
        SlowTlsCaller caller { fixture.endpoint() };
        caller.limitServerSendBuffer(8 * 1'024);
        REQUIRE(caller.send(lastRequest));
        // The send buffer fills before the caller reads.
        std::this_thread::sleep_for(3ms);
        caller.readToEnd();
        incomplete += caller.receivedBody().size() == size ? 0 : 1;
        truncated += caller.end == SlowTlsCaller::End::Orderly ? 0 : 1;
    }
    CHECK(incomplete == 0);
    CHECK(truncated == 0);
}
