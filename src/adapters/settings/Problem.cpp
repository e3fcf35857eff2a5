#include "adapters/settings/Problem.h"

#include <utility>

namespace teaselturn {

std::string Problem::describe(std::string_view file) const
{
    std::string text;
    for (const auto part : { file, std::string_view { this->path } }) {
        if (!part.empty()) {
            text.append(part).append(": ");
        }
    }
    text += "found " + this->found;
    if (!this->allowed.empty()) {
        text += "; allowed: " + this->allowed;
    }
    return text;
}

void ProblemList::add(ProblemKind kind, std::string path, std::string found, std::string allowed)
{
    if (this->problems.size() < maxProblems) {
        this->problems.push_back({ kind, std::move(path), std::move(found), std::move(allowed) });
    }
}

std::string describeProblems(const std::vector<Problem>& problems, std::string_view file)
{
    std::string text;
    for (const auto& problem : problems) {
        text.append(text.empty() ? "" : "\n").append(problem.describe(file));
    }
    return text;
}

}
