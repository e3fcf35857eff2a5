#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Problems found in a document. A check reports all of them, not only the first.
namespace teaselturn {

/// Kind of a problem in a document.
enum class ProblemKind : std::uint8_t {
    Unreadable,
    TooLarge,
    Syntax,
    UnknownMember,
    DuplicateMember,
    MissingMember,
    InvalidValue,
};

/// A problem in a document: its path, the value found there and the values allowed.
struct Problem {
    ProblemKind kind {};
    /// Path of the member, such as `entry.http.port`. Empty for the document as a whole.
    std::string path;
    std::string found;
    std::string allowed;

    /// Returns a description of one line, such as
    /// `node.json: entry.http.port: found 70000; allowed: an integer from 0 to 65535`.
    /// @param file Name of the document; may be empty.
    std::string describe(std::string_view file) const;

    friend bool operator==(const Problem&, const Problem&) = default;
};

/// Collects the problems of one document.
class ProblemList {
public:
    /// Limits the size of the report about a malicious document.
    static constexpr std::size_t maxProblems = 100;

    /// Adds a problem, unless the list is full.
    void add(ProblemKind kind, std::string path, std::string found, std::string allowed);

    bool empty() const noexcept { return this->problems.empty(); }
    const std::vector<Problem>& all() const noexcept { return this->problems; }

private:
    std::vector<Problem> problems;
};

/// A valid value, or the problems that make it invalid.
/// @tparam T Type of the value.
template <typename T>
struct Checked {
    std::optional<T> value;
    /// Empty if and only if there is a value.
    std::vector<Problem> problems;
};

/// Describes each problem on its own line, without a trailing line break.
/// @param file Name of the document; may be empty.
std::string describeProblems(const std::vector<Problem>& problems, std::string_view file);

}
