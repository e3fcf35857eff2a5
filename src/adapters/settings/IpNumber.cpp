#include "adapters/settings/IpNumber.h"

#include <arpa/inet.h>
#include <array>
#include <string>

namespace teaselturn {

bool isIpNumber(std::string_view text)
{
    const std::string number { text };
    for (const auto family : { AF_INET, AF_INET6 }) {
        std::array<unsigned char, sizeof(in6_addr)> address {};
        std::array<char, INET6_ADDRSTRLEN> shortest {};
        // inet_pton() would ignore the text after an embedded null character.
        if (number.find('\0') == std::string::npos && inet_pton(family, number.c_str(), address.data()) == 1
            && inet_ntop(family, address.data(), shortest.data(), shortest.size()) && number == shortest.data()) {
            return true;
        }
    }
    return false;
}

bool isUnspecifiedIpNumber(std::string_view text)
{
    return text == "0.0.0.0" || text == "::";
}

}
