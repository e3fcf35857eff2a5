#include "ctl/Program.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    const std::vector<std::string> words { argv + std::min(argc, 1), argv + argc };
    teaselturn::Console console { std::cout, std::cerr };
    const auto code = teaselturn::runProgram(words, TEASELTURN_VERSION, console);
    std::cout.flush();
    return static_cast<int>(std::cout ? code : teaselturn::ExitCode::Refused);
}
