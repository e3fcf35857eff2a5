#pragma once

#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <string>
#include <string_view>

namespace teaselturn {

/// An HTTP response of the administration API.
struct AdminResponse {
    int status {};
    std::string body;
};

/// Sends a GET request to the administration API of a VM.
/// @param target Path and percent-encoded query.
/// @return The response; HttpUnreachable if no complete response arrived; HttpUnexpectedResponse if it is too large.
Result<AdminResponse> adminGet(const Endpoint& to, std::string_view target);

/// Sends a POST request with a JSON body. Never sends it again after a failure.
/// @return As adminGet().
Result<AdminResponse> adminPost(const Endpoint& to, std::string_view target, std::string_view body);

/// @return The text with every byte percent-encoded except ASCII letters, digits and "-._~".
std::string encodeQueryValue(std::string_view text);

}
