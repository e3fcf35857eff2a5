#include "node/AdminRouter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace teaselturn {

namespace {

    std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }

    int hexDigit(char digit)
    {
        if (digit >= '0' && digit <= '9') {
            return digit - '0';
        }
        const auto lower = static_cast<char>(digit | 0x20);
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

    std::optional<std::string> percentDecode(std::string_view text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                decoded += text[i];
                continue;
            }
            const auto high = i + 2 < text.size() ? hexDigit(text[i + 1]) : -1;
            const auto low = i + 2 < text.size() ? hexDigit(text[i + 2]) : -1;
            if (high < 0 || low < 0) {
                return std::nullopt;
            }
            decoded += static_cast<char>(high * 16 + low);
            i += 2;
        }
        return decoded;
    }

}

AdminRouter& AdminRouter::add(std::string_view method, std::string_view path, HttpHandler handler)
{
    this->routes.push_back({ std::string { method }, std::string { path }, std::move(handler) });
    return *this;
}

HttpResponse AdminRouter::handle(const HttpRequest& request) const
{
    const auto path = pathOf(request.target);
    bool isPathKnown = false;
    for (const auto& route : this->routes) {
        if (route.path == path) {
            isPathKnown = true;
            if (route.method == request.method) {
                return route.handler(request);
            }
        }
    }
    return makeErrorResponse(isPathKnown ? 405 : 404, { ResultCode::RequestMalformed, std::string { request.method } + " " + std::string { path } });
}

HttpResponse makeJsonResponse(int status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

HttpResponse makeErrorResponse(int status, const Failure& failure)
{
    const nlohmann::json body { { "code", failure.code.value() }, { "name", resultCodeName(static_cast<ResultCode>(failure.code.value())) }, { "message", failure.describe() } };
    // The details may contain bytes of the request that are not UTF-8.
    return makeJsonResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    const auto begin = target.find('?');
    auto rest = begin == std::string_view::npos ? std::string_view {} : target.substr(begin + 1);
    while (!rest.empty()) {
        const auto part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name) {
            return percentDecode(part.substr(equals + 1));
        }
    }
    return std::nullopt;
}

}
