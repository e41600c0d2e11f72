#include "core/result.h"

namespace goldcrestline::core {

std::string Error::text() const
{
    const auto &info = infoOf(code);
    return std::to_string(static_cast<int>(code)) + " " + std::string(info.name) + ": " + detail;
}

} // namespace goldcrestline::core
