#include "ctl/AdminClient.h"

#include <httplib.h>

namespace teaselturn {

namespace {

    constexpr std::chrono::seconds connectTimeout { 2 };
    /// Exceeds the 15 s within which the daemon commits a bundle or fails. After that the daemon counts as unreachable.
    constexpr std::chrono::seconds submitTimeout { 20 };
    /// Short, because the daemon serves queries from memory.
    constexpr std::chrono::seconds queryTimeout { 5 };
    constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;

    Result<AdminResponse> sendRequest(const Endpoint& to, httplib::Request request, std::chrono::seconds timeout)
    {
        httplib::Client client { to.address, to.port };
        client.set_connection_timeout(connectTimeout);
        client.set_read_timeout(timeout);
        client.set_tcp_nodelay(true);
        client.set_url_encode(false);
        AdminResponse response;
        request.content_receiver = [&response](const char* data, std::size_t length, std::uint64_t, std::uint64_t) {
            response.body.append(data, length);
            return response.body.size() <= maxResponseBytes;
        };
        const auto result = client.send(request);
        if (!result) {
            const auto code = response.body.size() > maxResponseBytes ? ResultCode::HttpUnexpectedResponse : ResultCode::HttpUnreachable;
            return { code, to.address + " port " + std::to_string(to.port) + ": " + httplib::to_string(result.error()) };
        }
        // The library also accepts a chunked body that ends behind a chunk's CR, and takes the end of the connection for the
        // end of a body without a length. The administration API sends a length with every response.
        if (result->get_header_value("Content-Length") != std::to_string(response.body.size())) {
            return { ResultCode::HttpUnreachable, to.address + " port " + std::to_string(to.port) + ": the response is incomplete" };
        }
        response.status = result->status;
        return response;
    }

}

Result<AdminResponse> adminGet(const Endpoint& to, std::string_view target)
{
    httplib::Request request;
    request.method = "GET";
    request.path = target;
    return sendRequest(to, std::move(request), queryTimeout);
}

Result<AdminResponse> adminPost(const Endpoint& to, std::string_view target, std::string_view body)
{
    httplib::Request request;
    request.method = "POST";
    request.path = target;
    request.body = body;
    request.set_header("Content-Type", "application/json");
    return sendRequest(to, std::move(request), submitTimeout);
}

std::string encodeQueryValue(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    static constexpr std::string_view plain = "-._~";
    std::string encoded;
    for (const unsigned char byte : text) {
        const auto isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
        if (isLetter || (byte >= '0' && byte <= '9') || plain.find(static_cast<char>(byte)) != std::string_view::npos) {
            encoded += static_cast<char>(byte);
        } else {
            encoded.append({ '%', digits[byte >> 4U], digits[byte & 0x0fU] });
        }
    }
    return encoded;
}

}
