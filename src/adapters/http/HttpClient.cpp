#include "adapters/http/HttpClient.h"

#include "adapters/clock/SteadyClock.h"

#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <utility>

namespace teaselturn {

void HttpClient::TlsDeleter::operator()(ssl_ctx_st* context) const noexcept
{
    SSL_CTX_free(context);
}

HttpClient::HttpClient(Endpoint server)
    : server(std::move(server))
{
}

HttpClient::~HttpClient() = default;

Status HttpClient::useTls(const std::string& authorityFile)
{
    std::unique_ptr<ssl_ctx_st, TlsDeleter> context { SSL_CTX_new(TLS_client_method()) };
    if (!context || SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION) != 1
        || SSL_CTX_load_verify_file(context.get(), authorityFile.c_str()) != 1
        || X509_VERIFY_PARAM_set1_ip_asc(SSL_CTX_get0_param(context.get()), this->server.address.c_str()) != 1) {
        return { ResultCode::TlsInvalid, authorityFile };
    }
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER, nullptr);
    SSL_CTX_set_mode(context.get(), SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER | SSL_MODE_ENABLE_PARTIAL_WRITE);
    this->connection.reset();
    this->tls = std::move(context);
    return success();
}

Status HttpClient::connect(Instant deadline)
{
    auto connected = Connection::connect(this->server, deadline);
    if (!connected) {
        return connected.failure();
    }
    if (this->tls && (*connected)->connectTls(*this->tls, deadline) != IoStatus::Ok) {
        return { ResultCode::HttpUnreachable, "TLS handshake failed with " + this->server.address };
    }
    this->connection = std::move(connected).value();
    return success();
}

Result<HttpResponse> HttpClient::send(const HttpRequest& request, Duration timeout)
{
    const auto deadline = SteadyClock {}.now() + timeout;
    if (this->connection && !this->connection->isIdle()) {
        this->connection.reset();
    }
    if (!this->connection) {
        if (auto status = this->connect(deadline); !status) {
            return status.failure();
        }
    }
    auto result = exchange(*this->connection, request, MessageLimits {}, deadline);
    if (!result.canReuse) {
        this->connection.reset();
    }
    if (result.status == ExchangeStatus::NotSent) {
        return { ResultCode::HttpUnreachable, this->server.address };
    }
    if (result.status != ExchangeStatus::Complete) {
        return { ResultCode::HttpUnexpectedResponse, this->server.address };
    }
    return std::move(result.response);
}

}
