#pragma once

#include "teaselturn/Types.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// HTTP messages, independent of the HTTP library, which is used in HttpCodec.cpp only.
namespace teaselturn {

/// @return True for the status of a response that another one follows.
constexpr bool isInterimStatus(unsigned status) noexcept
{
    return status >= 100 && status < 200;
}

/// @return True for the status of a response that ends its request.
constexpr bool isFinalStatus(unsigned status) noexcept
{
    return status >= 200 && status < 600;
}

/// A non-owning header field. The creator of the view owns the text.
struct HttpHeaderView {
    std::string_view name;
    std::string_view value;
};

/// A header field.
struct HttpHeader {
    std::string name;
    std::string value;

    friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// @return True if two header names are equal, ignoring ASCII case.
bool isSameHeaderName(std::string_view left, std::string_view right) noexcept;

/// @return True if the text is a valid header value: it has no control characters except tabs.
bool isHeaderValue(std::string_view text) noexcept;

/// A request. Its views are valid during the call that receives it.
struct HttpRequest {
    std::string_view method;
    /// Path with query, as received.
    std::string_view target;
    std::span<const HttpHeaderView> headers;
    std::string_view body;
    /// IP address of the client; empty in outgoing requests.
    std::string_view remoteAddress;

    /// @return The value of the first header of that name, or an empty view.
    std::string_view header(std::string_view name) const noexcept;
    /// @return The number of headers of that name.
    std::size_t headerCount(std::string_view name) const noexcept;
};

/// A response to a request.
struct HttpResponse {
    int status { 200 };
    std::vector<HttpHeader> headers;
    std::string body;

    /// @return The value of the first header of that name, or an empty view.
    std::string_view header(std::string_view name) const noexcept;
};

/// Returns the response to a request. Several workers may call it concurrently.
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

}
