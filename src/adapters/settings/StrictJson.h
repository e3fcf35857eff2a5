#pragma once

#include "adapters/settings/Problem.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

/// JSON as settings and bundles are read: unknown, duplicate and missing members and wrong types are faults.
namespace teaselturn {

/// Whether a document may contain comments.
enum class Comments : std::uint8_t {
    Refused,
    Ignored,
};

/// Parses a document. Duplicate members and nesting deeper than 16 are faults.
/// @return The document, or nothing where it has a syntax error; faults are added to problems.
std::optional<nlohmann::json> parseStrictJson(std::string_view text, Comments comments, ProblemList& problems);

/// @return A short form of a value for messages.
std::string describeJson(const nlohmann::json& value);

/// Whether a member must be present.
enum class Presence : std::uint8_t {
    Required,
    Optional,
};

/// Reads the members of one JSON object and reports what is wrong with each. Where the value is not an object, that is
/// reported once and no member is read. Refers to the value and the list, which must outlive the reader.
class ObjectReader {
public:
    /// @param path Path of the object in its document.
    ObjectReader(const nlohmann::json& value, std::string path, ProblemList& problems);

    /// @return True where the value is an object.
    bool isObject() const noexcept { return this->value->is_object(); }
    /// @return True where the object has the member, of whatever type.
    bool has(std::string_view name) const;
    /// @return Path of a member.
    std::string pathOf(std::string_view name) const;
    ProblemList& problemList() const noexcept { return *this->problems; }

    /// @return The member whatever its type, or null. It counts as asked for, and a missing one is not reported.
    const nlohmann::json* raw(std::string_view name);
    /// Reads an integer in [least, most].
    std::optional<std::uint64_t> integer(std::string_view name, Presence presence, std::uint64_t least, std::uint64_t most);
    /// Reads a string that is not empty.
    std::optional<std::string> text(std::string_view name, Presence presence);
    /// Reads a string that is one of the choices.
    /// @return Index of the choice.
    std::optional<std::size_t> choice(std::string_view name, Presence presence, std::span<const std::string_view> choices);
    /// Reads bytes in hexadecimal.
    /// @param bytes Receives the value; its size is the size asked for.
    /// @return True where the member was read.
    bool hex(std::string_view name, Presence presence, std::span<std::uint8_t> bytes);
    /// Opens a member that is an object.
    /// @return A reader, or nothing where the member is missing or no object.
    std::optional<ObjectReader> object(std::string_view name, Presence presence);

    /// Visits the elements of an array.
    /// @param visit Called as visit(const nlohmann::json& element, const std::string& path).
    /// @return True where the member is an array.
    template <typename Visit>
    bool forEach(std::string_view name, Presence presence, Visit visit)
    {
        const auto* array = this->array(name, presence);
        for (std::size_t i = 0; array && i < array->size(); ++i) {
            visit((*array)[i], this->pathOf(name) + "[" + std::to_string(i) + "]");
        }
        return array != nullptr;
    }

    /// Reports every member that was not asked for.
    void refuseUnknown();

private:
    const nlohmann::json* find(std::string_view name, Presence presence, std::string_view allowed);
    const nlohmann::json* array(std::string_view name, Presence presence);
    void invalid(std::string_view name, const nlohmann::json& found, std::string allowed);

    const nlohmann::json* value;
    std::string path;
    ProblemList* problems;
    std::set<std::string, std::less<>> known;
};

}
