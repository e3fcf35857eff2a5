#include "adapters/http/HttpTypes.h"

#include <algorithm>

namespace teaselturn {

namespace {

    char lowerCase(char c) noexcept
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }

    template <typename Headers>
    std::string_view findHeader(const Headers& headers, std::string_view name) noexcept
    {
        for (const auto& header : headers) {
            if (isSameHeaderName(header.name, name)) {
                return header.value;
            }
        }
        return {};
    }

}

bool isSameHeaderName(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
            [](char a, char b) { return lowerCase(a) == lowerCase(b); });
}

bool isHeaderValue(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

std::string_view HttpRequest::header(std::string_view name) const noexcept
{
    return findHeader(this->headers, name);
}

std::size_t HttpRequest::headerCount(std::string_view name) const noexcept
{
    return static_cast<std::size_t>(std::count_if(this->headers.begin(), this->headers.end(),
        [name](const HttpHeaderView& header) { return isSameHeaderName(header.name, name); }));
}

std::string_view HttpResponse::header(std::string_view name) const noexcept
{
    return findHeader(this->headers, name);
}

}
