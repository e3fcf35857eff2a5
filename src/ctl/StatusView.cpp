#include "ctl/StatusView.h"

#include "adapters/settings/StrictJson.h"
#include "ctl/TextTable.h"

#include <algorithm>
#include <limits>

namespace teaselturn {

namespace {

    using nlohmann::json;

    constexpr auto maxInteger = std::numeric_limits<std::uint64_t>::max();

    std::uint64_t readInteger(ObjectReader& reader, std::string_view name)
    {
        return reader.integer(name, Presence::Required, 0, maxInteger).value_or(0);
    }

    /// Reads a required member that is an integer or null.
    std::optional<std::uint64_t> readIntegerOrNull(ObjectReader& reader, std::string_view name)
    {
        const auto* value = reader.optionalMember(name);
        return value && value->is_null() ? std::nullopt : reader.integer(name, Presence::Required, 0, maxInteger);
    }

    bool readBoolean(ObjectReader& reader, std::string_view name)
    {
        const auto* value = reader.optionalMember(name);
        if (!value || !value->is_boolean()) {
            reader.problemList().add(ProblemKind::InvalidValue, reader.pathOf(name), value ? describeJson(*value) : "no such member", "true or false");
            return false;
        }
        return value->get<bool>();
    }

    void readNestedMembers(ObjectReader& reader, NodeStatus& status)
    {
        if (auto bundle = reader.object("bundle", Presence::Required)) {
            status.acceptedBundle = readIntegerOrNull(*bundle, "accepted");
            status.bundleInForce = readIntegerOrNull(*bundle, "inForce");
        }
        if (const auto* delegation = reader.optionalMember("delegation"); !delegation || !delegation->is_null()) {
            auto object = reader.object("delegation", Presence::Required);
            status.hasDelegation = object && readBoolean(*object, "valid");
        }
        if (auto slots = reader.object("slots", Presence::Required)) {
            status.slots = readInteger(*slots, "total");
            status.unownedSlots = readInteger(*slots, "unowned");
        }
        reader.forEach("roles", Presence::Required, [&status](const json& role, const std::string& /*path*/) { status.roles.push_back(role.is_string() ? role.get<std::string>() : describeJson(role)); });
    }

    std::string formatOrDash(const std::optional<std::uint64_t>& value)
    {
        return value ? std::to_string(*value) : "-";
    }

    std::string join(const std::vector<std::string>& words, std::string_view separator)
    {
        std::string text;
        for (const auto& word : words) {
            text.append(text.empty() ? "" : separator).append(word);
        }
        return text;
    }

    using Cells = std::vector<std::string>;

    Cells describeRow(const StatusRow& row)
    {
        if (!row.status) {
            return { row.address, "-", "-", "-", "-", "-", "-", "-", "-", row.status.failure().code.message() };
        }
        const auto& status = *row.status;
        const auto issues = findHealthIssues(status);
        return { row.address, std::to_string(status.node), status.zone, join(status.roles, "+"), formatOrDash(status.leader), std::to_string(status.appliedIndex),
            formatOrDash(status.bundleInForce) + "/" + formatOrDash(status.acceptedBundle), std::to_string(status.upstreams),
            std::to_string(status.slots - std::min(status.slots, status.unownedSlots)) + "/" + std::to_string(status.slots),
            issues.empty() ? "healthy" : join(issues, ", ") };
    }

}

Result<NodeStatus> parseStatus(std::string_view text)
{
    ProblemList problems;
    NodeStatus status;
    if (const auto document = parseStrictJson(text, Comments::Refused, problems)) {
        ObjectReader reader { *document, {}, problems };
        status.node = readInteger(reader, "node");
        status.zone = reader.text("zone", Presence::Required).value_or("");
        status.region = reader.text("region", Presence::Required).value_or("");
        status.boot = readInteger(reader, "boot");
        status.leader = readIntegerOrNull(reader, "leader");
        status.term = readInteger(reader, "term");
        status.commitIndex = readInteger(reader, "commitIndex");
        status.appliedIndex = readInteger(reader, "appliedIndex");
        status.rolloutStage = readInteger(reader, "rolloutStage");
        status.isBehind = readBoolean(reader, "behind");
        status.upstreams = readInteger(reader, "upstreams");
        readNestedMembers(reader, status);
    }
    if (!problems.empty()) {
        return { ResultCode::HttpUnexpectedResponse, describeProblems(problems.all(), "/status") };
    }
    return status;
}

std::vector<std::string> findHealthIssues(const NodeStatus& status)
{
    std::vector<std::string> issues;
    if (!status.leader) {
        issues.emplace_back("no leader known");
    }
    if (!status.bundleInForce) {
        issues.emplace_back("no bundle in force");
    }
    if (status.hasDelegation == false) {
        issues.emplace_back("no valid delegation");
    }
    if (status.isBehind) {
        issues.emplace_back("behind");
    }
    if (status.unownedSlots > 0) {
        issues.emplace_back(std::to_string(status.unownedSlots) + " slots without owner");
    }
    return issues;
}

std::string renderStatusTable(const std::vector<StatusRow>& rows)
{
    std::vector<Cells> lines { { "ADDRESS", "NODE", "ZONE", "ROLES", "LEADER", "APPLIED", "BUNDLE", "UPSTREAMS", "OWNED", "STATE" } };
    std::ranges::transform(rows, std::back_inserter(lines), describeRow);
    return renderTextTable(lines);
}

}
