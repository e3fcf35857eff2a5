#pragma once

#include "adapters/settings/Problem.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

/// Strict JSON parser for settings and bundles. Reports unknown, duplicate and missing members and wrong types.
namespace teaselturn {

/// Whether a document may contain comments.
enum class Comments : std::uint8_t {
    Refused,
    Ignored,
};

/// Parses a document. Adds a problem for a syntax error, for each duplicate member, and for more than 16 levels.
/// @return The document, or nothing if it has a syntax error or too many levels.
std::optional<nlohmann::json> parseStrictJson(std::string_view text, Comments comments, ProblemList& problems);

/// Returns a short description of a value for error messages.
std::string describeJson(const nlohmann::json& value);

/// Whether a member must be present.
enum class Presence : std::uint8_t {
    Required,
    Optional,
};

/// Reads the members of one JSON object and reports problems with them. If the value is not an object, reports that
/// once and reads no member. Refers to the value and the problem list, which must outlive the reader.
class ObjectReader {
public:
    /// @param path Path of the object in its document.
    ObjectReader(const nlohmann::json& value, std::string path, ProblemList& problems);

    /// Returns true if the value is an object.
    bool isObject() const noexcept { return this->value->is_object(); }
    /// Returns true if the object has the member, whatever its type.
    bool has(std::string_view name) const;
    /// Returns the path of a member in the document.
    std::string pathOf(std::string_view name) const;
    ProblemList& problemList() const noexcept { return *this->problems; }

    /// Returns the member whatever its type, or null. Marks the name as known, and doesn't report a missing member.
    const nlohmann::json* optionalMember(std::string_view name);
    /// Reads an integer in [minimum, maximum].
    std::optional<std::uint64_t> integer(std::string_view name, Presence presence, std::uint64_t minimum, std::uint64_t maximum);
    /// Reads a string that is not empty.
    std::optional<std::string> text(std::string_view name, Presence presence);
    /// Reads a string that is one of the choices.
    /// @return Index of the choice.
    std::optional<std::size_t> choice(std::string_view name, Presence presence, std::span<const std::string_view> choices);
    /// Reads bytes in hexadecimal.
    /// @param bytes Receives the value; the member must have exactly this size.
    /// @return True if the member was read.
    bool hex(std::string_view name, Presence presence, std::span<std::uint8_t> bytes);
    /// Reads a member that is an object.
    /// @return A reader, or nothing if the member is missing or not an object.
    std::optional<ObjectReader> object(std::string_view name, Presence presence);

    /// Visits the elements of an array.
    /// @param visit Called as visit(const nlohmann::json& element, const std::string& path).
    /// @return True if the member is an array.
    template <typename Visit>
    bool forEach(std::string_view name, Presence presence, Visit visit)
    {
        const auto* array = this->array(name, presence);
        for (std::size_t i = 0; array && i < array->size(); ++i) {
            visit((*array)[i], this->pathOf(name) + "[" + std::to_string(i) + "]");
        }
        return array != nullptr;
    }

    /// Reports every member whose name was not passed to one of the functions that read a member.
    void reportUnknownMembers();

private:
    const nlohmann::json* find(std::string_view name, Presence presence, std::string_view allowed);
    const nlohmann::json* array(std::string_view name, Presence presence);
    void invalid(std::string_view name, const nlohmann::json& found, std::string allowed);

    const nlohmann::json* value;
    std::string path;
    ProblemList* problems;
    std::set<std::string, std::less<>> knownNames;
};

}
