#include "node/AdminRouter.h"
#include "node/CommandLine.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselturn;

namespace {

Result<CommandLine> parse(std::vector<std::string> words)
{
    words.insert(words.begin(), "teaselturnd");
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    return parseCommandLine(static_cast<int>(words.size()), arguments.data());
}

}

TEST_CASE("the administration API routes requests by method and path", "[node]")
{
    AdminRouter router;
    router.add("GET", "/status", [](const HttpRequest&) { return makeJsonResponse(200, "{}"); });
    CHECK(router.handle({ "GET", "/status", {}, {}, {} }).status == 200);
    CHECK(router.handle({ "GET", "/status?verbose", {}, {}, {} }).status == 200);
    CHECK(router.handle({ "POST", "/status", {}, {}, {} }).status == 405);
    const auto unknown = router.handle({ "GET", "/st\xff", {}, {}, {} });
    CHECK(unknown.status == 404);
    // The response must be valid JSON even if the request's target is not valid UTF-8.
    CHECK(nlohmann::json::parse(unknown.body).at("code") == static_cast<int>(ResultCode::RequestMalformed));
}

TEST_CASE("query parameters are percent-decoded", "[node]")
{
    CHECK(queryParameter("/owners?service=tills&key=a%20b%2f%3D", "key") == "a b/=");
    CHECK(queryParameter("/owners?service=tills&key=", "key") == "");
    CHECK_FALSE(queryParameter("/owners?service=tills", "key").has_value());
    CHECK_FALSE(queryParameter("/owners", "key").has_value());
    for (const auto* bad : { "/owners?key=%", "/owners?key=%2", "/owners?key=%zz" }) {
        CHECK_FALSE(queryParameter(bad, "key").has_value());
    }
}

TEST_CASE("teaselturnd accepts its options and rejects unknown, missing and surplus arguments", "[node]")
{
    // If a mistyped option were ignored, a run meant only to check the settings could start the daemon.
    CHECK(parse({ "--settings", "a.json" })->action == CommandLine::Action::Run);
    CHECK(parse({ "--settings", "a.json", "--check" })->action == CommandLine::Action::Check);
    CHECK(parse({ "--settings=a.json", "--create-ledger" })->settingsFile == "a.json");
    CHECK(parse({ "--help" })->action == CommandLine::Action::Help);
    CHECK(parse({ "--version" })->action == CommandLine::Action::Version);
    for (const auto& words : std::vector<std::vector<std::string>> { {}, { "--check" }, { "--settings" }, { "--settings", "a", "b" }, { "--setting-file", "a" }, { "-x" }, { "--settings", "a", "--check=1" } }) {
        CHECK(parse(words).error() == ResultCode::UsageError);
    }
}
