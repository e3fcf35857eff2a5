#pragma once

#include "adapters/http/HttpTypes.h"
#include "teaselturn/Result.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Dispatches requests to handlers by method and path. All handlers are added before threads share it.
class AdminRouter {
public:
    AdminRouter& add(std::string_view method, std::string_view path, HttpHandler handler);

    /// @return The handler's response; 404 for an unknown path, 405 for a known path with another method.
    HttpResponse handle(const HttpRequest& request) const;

private:
    struct Route {
        std::string method;
        std::string path;
        HttpHandler handler;
    };

    std::vector<Route> routes;
};

/// @return A response with a JSON body.
HttpResponse makeJsonResponse(int status, std::string body);

/// @return A response with the error body specified in docs/admin-api.md.
HttpResponse makeErrorResponse(int status, const Failure& failure);

/// @return The decoded value of a query parameter, or nothing if it is missing or badly encoded.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

}
