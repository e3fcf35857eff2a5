#pragma once

#include "adapters/http/HttpCodec.h"
#include "adapters/http/HttpTypes.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <memory>
#include <string>

namespace teaselturn {

/// HTTP client for heartbeats and administration requests to one server. Reuses one persistent connection. Not
/// thread-safe.
class HttpClient {
public:
    explicit HttpClient(Endpoint server);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Enables TLS. The server's certificate must be issued by an authority of the file for the server's IP address.
    /// @param authorityFile PEM file with certificates of trusted authorities.
    /// @return TlsInvalid if the file cannot be loaded.
    Status useTls(const std::string& authorityFile);

    /// Sends a request at most once and waits for the complete response.
    /// @return The response with any status, HttpUnreachable if nothing was sent, or HttpUnexpectedResponse if no
    /// complete response arrived before the timeout.
    Result<HttpResponse> send(const HttpRequest& request, Duration timeout);

    const Endpoint& endpoint() const noexcept { return this->server; }

private:
    struct TlsDeleter {
        void operator()(ssl_ctx_st* context) const noexcept;
    };

    Status connect(Instant deadline);

    const Endpoint server;
    std::unique_ptr<ssl_ctx_st, TlsDeleter> tls;
    std::unique_ptr<Connection> connection;
};

}
