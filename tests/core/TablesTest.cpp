#include "teaselturn/LogEvent.h"
#include "teaselturn/ResultCode.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

using namespace teaselturn;

namespace {

std::string readPage(const std::string& name)
{
    std::ifstream file { std::string { TEASELTURN_SOURCE_DIR } + "/docs/" + name };
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::size_t countRows(const std::string& page)
{
    std::istringstream lines { page };
    std::size_t rows = 0;
    for (std::string line; std::getline(lines, line);) {
        rows += line.size() > 2 && line[0] == '|' && std::isdigit(static_cast<unsigned char>(line[2])) != 0 ? 1 : 0;
    }
    return rows;
}

}

TEST_CASE("docs/error-codes.md lists exactly the result codes in the source")
{
    const auto page = readPage("error-codes.md");
    for (const auto& row : resultCodeTable) {
        const auto expected = "| " + std::to_string(static_cast<int>(row.code)) + " | " + std::string { row.name } + " | " + std::string { row.message } + " |\n";
        CHECK(page.find(expected) != std::string::npos);
        CHECK(make_error_code(row.code).message() == row.message);
    }
    CHECK(countRows(page) == resultCodeTable.size());
}

TEST_CASE("docs/log-events.md lists exactly the log events in the source")
{
    const auto page = readPage("log-events.md");
    for (const auto& row : logEventTable) {
        const auto expected = "| " + std::to_string(static_cast<int>(row.event)) + " | " + std::string { row.name } + " | " + std::string { logLevelName(row.level) } + " | " + std::string { row.meaning } + " |\n";
        CHECK(page.find(expected) != std::string::npos);
    }
    CHECK(countRows(page) == logEventTable.size());
}

TEST_CASE("result code numbers are unique and ascending")
{
    // Guards against two results with the same number, which an operator could not tell apart.
    for (std::size_t i = 1; i < resultCodeTable.size(); ++i) {
        CHECK(resultCodeTable[i - 1].code < resultCodeTable[i].code);
    }
}
