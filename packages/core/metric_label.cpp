#include "core/metric_label.h"

namespace goldcrestline::core {

std::string escapeLabel(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c == '\n' || c == '\r' ? ' ' : c;
    }
    return out;
}

} // namespace goldcrestline::core
