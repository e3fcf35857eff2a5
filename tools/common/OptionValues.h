#pragma once

#include "teaselturn/Types.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <system_error>
#include <vector>

/// Parsers of option values, shared by the test tools.

/// @return False if the text is not an integer in the range of the type.
template <typename Number>
bool parseNumber(const std::string& text, Number& number)
{
    const auto* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    return error == std::errc {} && rest == end;
}

inline bool parseMilliseconds(const std::string& text, std::chrono::milliseconds& result)
{
    std::uint32_t number = 0;
    const bool isNumber = parseNumber(text, number);
    result = std::chrono::milliseconds { number };
    return isNumber;
}

/// @return The endpoint in a text ADDRESS:PORT; no value if the text has another form.
inline std::optional<teaselturn::Endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos || colon == 0 || !parseNumber(text.substr(colon + 1), port)) {
        return std::nullopt;
    }
    return teaselturn::Endpoint { text.substr(0, colon), port };
}

/// Appends the endpoints of a list ADDRESS:PORT,...
/// @return False if the list is empty or an element is invalid.
inline bool parseEndpoints(const std::string& text, std::vector<teaselturn::Endpoint>& endpoints)
{
    std::stringstream stream { text };
    for (std::string part; std::getline(stream, part, ',');) {
        const auto endpoint = parseEndpoint(part);
        if (!endpoint) {
            return false;
        }
        endpoints.push_back(*endpoint);
    }
    return !endpoints.empty();
}
