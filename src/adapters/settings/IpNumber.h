#pragma once

#include <string_view>

namespace teaselturn {

/// Words for what isIpNumber accepts, for messages.
inline constexpr std::string_view ipNumberRule = "an IPv4 or IPv6 number in its shortest form, such as \"127.0.0.1\" or \"::1\"";

/// @return True for an IPv4 or IPv6 number in the form that inet_ntop gives, so that equal addresses are equal strings.
bool isIpNumber(std::string_view text);

/// @return True for an IP number that stands for every address of the machine, such as 0.0.0.0.
bool isUnspecifiedIpNumber(std::string_view text);

}
