#include "adapters/loop/request_head.h"

namespace goldcrestline::adapters::loop {

std::optional<std::string> findHeadError(std::string_view head)
{
    for (std::size_t i = 0; i < head.size(); ++i) {
        const char c = head[i];
        if (c == '\0')
            return "NUL in the request head";
        if (c == '\n' && (i == 0 || head[i - 1] != '\r'))
            return "line feed without carriage return";
        if (c == '\r' && i + 1 < head.size() && head[i + 1] != '\n')
            return "carriage return without line feed";
        const bool lineBegins = i > 0 && head[i - 1] == '\n';
        if (lineBegins && (c == ' ' || c == '\t'))
            return "continuation line in the request head";
    }
    return std::nullopt;
}

} // namespace goldcrestline::adapters::loop
