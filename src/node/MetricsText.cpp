#include "node/MetricsText.h"

namespace teaselturn {

namespace {

    void writeEscaped(std::string& text, std::string_view value, bool isQuoted)
    {
        for (const auto c : value) {
            if (c == '\n') {
                text += "\\n";
            } else if (c == '\\' || (isQuoted && c == '"')) {
                text.append({ '\\', c });
            } else {
                text += c;
            }
        }
    }

}

void writeMetricHead(std::string& text, std::string_view name, std::string_view type, std::string_view help)
{
    text.append("# HELP ").append(name).append(" ");
    writeEscaped(text, help, false);
    text.append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void writeSample(std::string& text, std::string_view name, std::string_view labels, std::string_view value)
{
    text.append(name);
    if (!labels.empty()) {
        text.append("{").append(labels).append("}");
    }
    text.append(" ").append(value).append("\n");
}

void writeSample(std::string& text, std::string_view name, std::string_view labels, std::uint64_t value)
{
    writeSample(text, name, labels, std::to_string(value));
}

std::string writeLabel(std::string_view name, std::string_view value)
{
    std::string label { name };
    label += "=\"";
    writeEscaped(label, value, true);
    return label + "\"";
}

std::string writeSeconds(std::uint64_t nanoseconds)
{
    constexpr std::uint64_t perSecond = 1'000'000'000;
    auto decimals = std::to_string(perSecond + nanoseconds % perSecond).substr(1);
    decimals.resize(decimals.find_last_not_of('0') + 1);
    return std::to_string(nanoseconds / perSecond) + (decimals.empty() ? "" : ".") + decimals;
}

}
