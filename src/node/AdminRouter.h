#pragma once

#include "adapters/http/HttpTypes.h"
#include "teaselturn/Result.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Finds the handler of a request by method and path. Set up before it is shared.
class AdminRouter {
public:
    AdminRouter& add(std::string_view method, std::string_view path, HttpHandler handler);

    /// @return The handler's answer; 404 for an unknown path, 405 for a known one with another method.
    HttpResponse handle(const HttpRequest& request) const;

private:
    struct Route {
        std::string method;
        std::string path;
        HttpHandler handler;
    };

    std::vector<Route> routes;
};

/// @return An answer with a JSON body.
HttpResponse jsonAnswer(int status, std::string body);

/// @return An answer with the body that docs/admin-api.md gives errors.
HttpResponse errorAnswer(int status, const Failure& failure);

/// @return The decoded value of a query parameter, or nothing where it is missing or badly encoded.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

}
