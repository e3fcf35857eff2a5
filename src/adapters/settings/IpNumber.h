#pragma once

#include <string_view>

namespace teaselturn {

/// Describes in error messages what isIpNumber() accepts.
inline constexpr std::string_view ipNumberRule = "an IPv4 or IPv6 number in its shortest form, such as \"127.0.0.1\" or \"::1\"";

/// Returns true if the text is an IPv4 or IPv6 address in the form that inet_ntop() writes. Equal addresses are
/// therefore equal strings.
bool isIpNumber(std::string_view text);

/// Returns true for the unspecified address, 0.0.0.0 or ::, on which a server listens on every address of the machine.
bool isUnspecifiedIpNumber(std::string_view text);

}
