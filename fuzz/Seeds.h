#pragma once

#include <string>
#include <vector>

namespace teaselturn::fuzz {

/// Valid inputs of a fuzz target, which FixedRun.cpp damages in small ways: random bytes alone hardly get past the
/// syntax. A target that defines none gets an empty list.
std::vector<std::string> seeds();

}
