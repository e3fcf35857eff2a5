#include "adapters/settings/StrictJson.h"

#include "adapters/crypto/Hex.h"

#include <algorithm>
#include <cctype>

namespace teaselturn {

namespace {

    /// Limits recursion, because dump() recurses once per level. Settings and bundles have at most five levels.
    constexpr std::size_t maxDepth = 16;
    constexpr std::size_t maxQuotedBytes = 60;

    std::string quote(std::string_view text)
    {
        const auto cut = text.size() > maxQuotedBytes;
        // Truncation can split a multi-byte character, which dump() then replaces.
        auto quoted = nlohmann::json(std::string { text.substr(0, maxQuotedBytes) }).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return cut ? quoted + "..." : quoted;
    }

    std::string joinPath(std::string_view path, std::string_view name)
    {
        const auto isPlain = !name.empty() && std::ranges::all_of(name, [](unsigned char c) { return std::isalnum(c) != 0 || c == '_' || c == '-'; });
        if (!isPlain) {
            return std::string { path } + "[" + quote(name) + "]";
        }
        return path.empty() ? std::string { name } : std::string { path } + "." + std::string { name };
    }

    /// Builds a document from parser events and reports duplicate members.
    class DocumentBuilder : public nlohmann::json_sax<nlohmann::json> {
    public:
        explicit DocumentBuilder(ProblemList& problems)
            : problems(problems)
        {
        }

        bool null() override { return this->add(nullptr); }
        bool boolean(bool value) override { return this->add(value); }
        bool number_integer(number_integer_t value) override { return this->add(value); } // NOLINT(readability-identifier-naming): the library's name.
        bool number_unsigned(number_unsigned_t value) override { return this->add(value); } // NOLINT(readability-identifier-naming): the library's name.
        bool number_float(number_float_t value, const string_t& /*text*/) override { return this->add(value); } // NOLINT(readability-identifier-naming): the library's name.
        bool string(string_t& value) override { return this->add(std::move(value)); }
        bool binary(binary_t& /*value*/) override { return false; }
        bool start_object(std::size_t /*size*/) override { return this->open(nlohmann::json::object()); } // NOLINT(readability-identifier-naming): the library's name.
        bool start_array(std::size_t /*size*/) override { return this->open(nlohmann::json::array()); } // NOLINT(readability-identifier-naming): the library's name.
        bool end_object() override { return this->close(); } // NOLINT(readability-identifier-naming): the library's name.
        bool end_array() override { return this->close(); } // NOLINT(readability-identifier-naming): the library's name.

        bool key(string_t& name) override
        {
            auto& object = *this->containers.back();
            if (object.contains(name)) {
                this->problems.add(ProblemKind::DuplicateMember, joinPath(this->currentPath(), name), "the member twice", "each member once");
            }
            this->keys.back() = name;
            return true;
        }

        bool parse_error(std::size_t position, const std::string& lastToken, const nlohmann::detail::exception& error) override // NOLINT(readability-identifier-naming): the library's name.
        {
            static_cast<void>(lastToken);
            this->problems.add(ProblemKind::Syntax, {}, "a syntax error at byte " + std::to_string(position) + " (" + error.what() + ")", "JSON");
            return false;
        }

        nlohmann::json takeRoot() { return std::move(this->root); }

    private:
        template <typename T>
        bool add(T&& value)
        {
            this->insertValue(nlohmann::json(std::forward<T>(value)));
            return true;
        }

        nlohmann::json* insertValue(nlohmann::json value)
        {
            if (this->containers.empty()) {
                this->root = std::move(value);
                return &this->root;
            }
            auto& parent = *this->containers.back();
            if (parent.is_array()) {
                parent.push_back(std::move(value));
                return &parent.back();
            }
            auto& slot = parent[this->keys.back()];
            slot = std::move(value);
            return &slot;
        }

        bool open(nlohmann::json value)
        {
            if (this->containers.size() >= maxDepth) {
                this->problems.add(ProblemKind::Syntax, this->currentPath(), "nesting deeper than " + std::to_string(maxDepth), {});
                return false;
            }
            // The pointer stays valid, because a container grows only after its last element is complete.
            this->containers.push_back(this->insertValue(std::move(value)));
            this->keys.emplace_back();
            return true;
        }

        bool close()
        {
            this->containers.pop_back();
            this->keys.pop_back();
            return true;
        }

        std::string currentPath() const
        {
            std::string path;
            for (std::size_t i = 0; i + 1 < this->containers.size(); ++i) {
                if (this->containers[i]->is_array()) {
                    path += "[" + std::to_string(this->containers[i]->size() - 1) + "]";
                } else {
                    path = joinPath(path, this->keys[i]);
                }
            }
            return path;
        }

        ProblemList& problems;
        nlohmann::json root;
        std::vector<nlohmann::json*> containers;
        std::vector<std::string> keys;
    };

}

std::optional<nlohmann::json> parseStrictJson(std::string_view text, Comments comments, ProblemList& problems)
{
    DocumentBuilder builder { problems };
    if (!nlohmann::json::sax_parse(text.begin(), text.end(), &builder, nlohmann::json::input_format_t::json, true, comments == Comments::Ignored)) {
        return std::nullopt;
    }
    return builder.takeRoot();
}

std::string describeJson(const nlohmann::json& value)
{
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "an array of " + std::to_string(value.size());
    }
    return value.is_string() ? quote(value.get_ref<const std::string&>()) : value.dump();
}

ObjectReader::ObjectReader(const nlohmann::json& value, std::string path, ProblemList& problems)
    : value(&value)
    , path(std::move(path))
    , problems(&problems)
{
    if (!this->isObject()) {
        problems.add(ProblemKind::InvalidValue, this->path, describeJson(value), "an object");
    }
}

bool ObjectReader::has(std::string_view name) const
{
    return this->isObject() && this->value->contains(name);
}

std::string ObjectReader::pathOf(std::string_view name) const
{
    return joinPath(this->path, name);
}

const nlohmann::json* ObjectReader::optionalMember(std::string_view name)
{
    return this->find(name, Presence::Optional, {});
}

std::optional<std::uint64_t> ObjectReader::integer(std::string_view name, Presence presence, std::uint64_t minimum, std::uint64_t maximum)
{
    const auto allowed = minimum == maximum ? std::to_string(minimum) : "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const auto* found = this->find(name, presence, allowed);
    if (!found) {
        return std::nullopt;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < minimum || found->get<std::uint64_t>() > maximum) {
        this->invalid(name, *found, allowed);
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<std::string> ObjectReader::text(std::string_view name, Presence presence)
{
    static constexpr std::string_view allowed = "a string that is not empty";
    const auto* found = this->find(name, presence, allowed);
    if (!found) {
        return std::nullopt;
    }
    if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
        this->invalid(name, *found, std::string { allowed });
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<std::size_t> ObjectReader::choice(std::string_view name, Presence presence, std::span<const std::string_view> choices)
{
    std::string allowed;
    for (const auto choice : choices) {
        allowed.append(allowed.empty() ? "" : " or ").append(quote(choice));
    }
    const auto* found = this->find(name, presence, allowed);
    if (!found) {
        return std::nullopt;
    }
    const auto match = found->is_string() ? std::ranges::find(choices, std::string_view { found->get_ref<const std::string&>() }) : choices.end();
    if (match == choices.end()) {
        this->invalid(name, *found, allowed);
        return std::nullopt;
    }
    return static_cast<std::size_t>(match - choices.begin());
}

bool ObjectReader::hex(std::string_view name, Presence presence, std::span<std::uint8_t> bytes)
{
    const auto allowed = std::to_string(bytes.size() * 2) + " hexadecimal digits";
    const auto* found = this->find(name, presence, allowed);
    if (!found) {
        return false;
    }
    if (!found->is_string() || !decodeHex(found->get_ref<const std::string&>(), bytes)) {
        this->invalid(name, *found, allowed);
        return false;
    }
    return true;
}

std::optional<ObjectReader> ObjectReader::object(std::string_view name, Presence presence)
{
    const auto* found = this->find(name, presence, "an object");
    if (!found) {
        return std::nullopt;
    }
    ObjectReader reader { *found, this->pathOf(name), *this->problems };
    return reader.isObject() ? std::optional { std::move(reader) } : std::nullopt;
}

void ObjectReader::reportUnknownMembers()
{
    if (!this->isObject()) {
        return;
    }
    std::string allowed;
    for (const auto& name : this->knownNames) {
        allowed.append(allowed.empty() ? "" : ", ").append(name);
    }
    for (const auto& [name, member] : this->value->items()) {
        if (!this->knownNames.contains(name)) {
            this->problems->add(ProblemKind::UnknownMember, this->pathOf(name), "an unknown member", allowed);
        }
    }
}

const nlohmann::json* ObjectReader::find(std::string_view name, Presence presence, std::string_view allowed)
{
    this->knownNames.emplace(name);
    if (!this->isObject()) {
        return nullptr;
    }
    const auto member = this->value->find(name);
    if (member != this->value->end()) {
        return &*member;
    }
    if (presence == Presence::Required) {
        this->problems->add(ProblemKind::MissingMember, this->pathOf(name), "no such member", std::string { allowed });
    }
    return nullptr;
}

const nlohmann::json* ObjectReader::array(std::string_view name, Presence presence)
{
    const auto* found = this->find(name, presence, "an array");
    if (found && !found->is_array()) {
        this->invalid(name, *found, "an array");
        return nullptr;
    }
    return found;
}

void ObjectReader::invalid(std::string_view name, const nlohmann::json& found, std::string allowed)
{
    this->problems->add(ProblemKind::InvalidValue, this->pathOf(name), describeJson(found), std::move(allowed));
}

}
