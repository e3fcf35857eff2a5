#pragma once

#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <string>
#include <string_view>

namespace teaselturn {

/// An answer of the administration API.
struct AdminAnswer {
    int status {};
    std::string body;
};

/// Sends a GET to an administration address.
/// @param target Path with an already encoded query.
/// @return The answer, HttpUnreachable where no whole answer arrived, or HttpUnexpectedResponse where it is too large.
Result<AdminAnswer> adminGet(const Endpoint& to, std::string_view target);

/// Sends a POST with a JSON body, once.
Result<AdminAnswer> adminPost(const Endpoint& to, std::string_view target, std::string_view body);

/// @return The text with every byte but letters, digits and "-._~" percent-encoded.
std::string encodeQueryValue(std::string_view text);

}
