#include "adapters/codec/JsonDepth.h"

namespace teaselturn {

bool exceedsJsonDepth(std::string_view text, std::size_t maxDepth) noexcept
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto c = text[i];
        if (isInString) {
            if (c == '\\') {
                ++i;
            } else if (c == '"') {
                isInString = false;
            }
        } else if (c == '"') {
            isInString = true;
        } else if (c == '{' || c == '[') {
            if (++depth > maxDepth) {
                return true;
            }
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return false;
}

}
