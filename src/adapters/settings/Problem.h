#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Findings of a check that reports everything wrong with a document rather than the first fault.
namespace teaselturn {

/// Kind of fault in a checked document.
enum class ProblemKind : std::uint8_t {
    Unreadable,
    TooLarge,
    Syntax,
    UnknownMember,
    DuplicateMember,
    MissingMember,
    InvalidValue,
};

/// One fault: where it is, what was found there and what is allowed.
struct Problem {
    ProblemKind kind {};
    /// Path of the member, such as `entry.http.port`. Empty for the document as a whole.
    std::string path;
    std::string found;
    std::string allowed;

    /// @param file Name of the document; may be empty.
    /// @return One line, such as `node.json: entry.http.port: found 70000; allowed: an integer from 0 to 65535`.
    std::string describe(std::string_view file) const;

    friend bool operator==(const Problem&, const Problem&) = default;
};

/// Collects the faults of one document.
class ProblemList {
public:
    /// A hostile document could otherwise make a report without end.
    static constexpr std::size_t maxProblems = 100;

    /// Adds a fault, unless the list is full.
    void add(ProblemKind kind, std::string path, std::string found, std::string allowed);

    bool empty() const noexcept { return this->problems.empty(); }
    const std::vector<Problem>& all() const noexcept { return this->problems; }

private:
    std::vector<Problem> problems;
};

/// A checked value, or every reason why there is none.
/// @tparam T Type of the value.
template <typename T>
struct Checked {
    std::optional<T> value;
    /// Empty exactly where there is a value.
    std::vector<Problem> problems;
};

/// @return Every problem on a line of its own, without a line break at the end.
std::string describeProblems(const std::vector<Problem>& problems, std::string_view file);

}
