#include "ctl/TextTable.h"

#include <algorithm>

namespace teaselturn {

std::string renderTextTable(const std::vector<std::vector<std::string>>& lines)
{
    std::vector<std::size_t> widths(lines.empty() ? 0 : lines.front().size());
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::string text;
    for (const auto& line : lines) {
        for (std::size_t i = 0; i + 1 < line.size(); ++i) {
            text += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
        }
        text += line.back() + "\n";
    }
    return text;
}

}
