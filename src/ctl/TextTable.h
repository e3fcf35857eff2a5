#pragma once

#include <string>
#include <vector>

namespace teaselturn {

/// @param lines Cells by line. The first line holds the headings; every line has the same number of cells.
/// @return The cells as plain text in left-aligned columns, separated by two spaces.
std::string renderTextTable(const std::vector<std::vector<std::string>>& lines);

}
