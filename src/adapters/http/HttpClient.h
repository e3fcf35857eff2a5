#pragma once

#include "adapters/http/HttpCodec.h"
#include "adapters/http/HttpTypes.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <memory>
#include <string>

namespace teaselturn {

/// Client of one HTTP server for heartbeats and administration requests, over one kept connection. Not thread-safe.
class HttpClient {
public:
    explicit HttpClient(Endpoint server);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Encrypts connections and accepts only servers that a certificate of the file vouches for by their IP number.
    /// @param authorityFile PEM file.
    /// @return TlsInvalid where the file cannot be used.
    Status useTls(const std::string& authorityFile);

    /// Sends a request once and waits for the whole answer.
    /// @return The answer with any status, HttpUnreachable where nothing was sent, or HttpUnexpectedResponse where no
    /// whole answer arrived in time.
    Result<HttpResponse> send(const HttpRequest& request, Duration longest);

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
