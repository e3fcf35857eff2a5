#pragma once

#include "teaselturn/Types.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// HTTP messages in teaselturn's own types; the library that encodes them appears in HttpCodec.cpp only.
namespace teaselturn {

/// A header field whose text is kept alive by whoever made the view.
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

/// @return True where two header names are the same; case does not matter.
bool isSameHeaderName(std::string_view left, std::string_view right) noexcept;

/// @return True where the text can be a header value: it holds no control character other than a tab.
bool isHeaderValue(std::string_view text) noexcept;

/// A request. All views live as long as the call that received it.
struct HttpRequest {
    std::string_view method;
    /// Path with query, as received.
    std::string_view target;
    std::span<const HttpHeaderView> headers;
    std::string_view body;
    /// IP number of the client; empty in requests to be sent.
    std::string_view remoteAddress;

    /// @return The value of the first header of that name, or an empty view.
    std::string_view header(std::string_view name) const noexcept;
    /// @return The number of headers of that name.
    std::size_t headerCount(std::string_view name) const noexcept;
};

/// An answer to a request.
struct HttpResponse {
    int status { 200 };
    std::vector<HttpHeader> headers;
    std::string body;

    /// @return The value of the first header of that name, or an empty view.
    std::string_view header(std::string_view name) const noexcept;
};

/// Answers a request. Called on a worker, by several workers at a time.
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

}
