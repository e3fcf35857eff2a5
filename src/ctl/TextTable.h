#pragma once

#include <string>
#include <vector>

namespace teaselturn {

/// @param lines Cells of each line; every line has as many as the first, which holds the headings.
/// @return The cells in aligned columns, two spaces apart.
std::string renderTextTable(const std::vector<std::vector<std::string>>& lines);

}
