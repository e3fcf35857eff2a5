#include "adapters/http/HttpClient.h"
#include "adapters/http/HttpServer.h"
#include "adapters/settings/TemporaryFolder.h"
#include "adapters/settings/TlsMaterial.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

TEST_CASE("requests over TLS reach the handler only from clients that trust the certificate", "[http]")
{
    // A TLS port must not serve plain-text requests, and a client must not accept an untrusted certificate.
    const TemporaryFolder folder;
    const auto certificate = (folder.path() / "server.crt").string();
    const auto key = (folder.path() / "server.pem").string();
    const auto other = (folder.path() / "other.crt").string();
    writeTlsMaterial(certificate, key);
    writeTlsMaterial(other, folder.path() / "other.pem");
    std::atomic<int> handled { 0 };
    WorkerPool workers { 2, 16 };
    HttpServerSettings settings;
    settings.certificateFile = certificate;
    settings.keyFile = key;
    auto server = HttpServer::start(settings, workers, [&handled](const HttpRequest& request) {
        ++handled;
        return HttpResponse { 200, {}, std::string { request.body } };
    });
    REQUIRE(server);
    const Endpoint address { "127.0.0.1", (*server)->port() };
    const HttpRequest request { "POST", "/s/tills/pay", {}, "deposit", {} };

    HttpClient trusting { address };
    REQUIRE(trusting.useTls(certificate));
    const auto response = trusting.send(request, 10s);
    REQUIRE(response);
    CHECK(response->body == "deposit");
    CHECK(handled == 1);

    HttpClient distrusting { address };
    REQUIRE(distrusting.useTls(other));
    CHECK_FALSE(distrusting.send(request, 10s));
    HttpClient plain { address };
    CHECK_FALSE(plain.send(request, 10s));
    CHECK(handled == 1);
}
