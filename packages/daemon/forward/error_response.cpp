#include "daemon/forward/error_response.h"

#include "platform/http_messages.h"

namespace goldcrestline::daemon::forward {

ports::OutgoingResponse errorResponseFor(core::ResultCode code, const std::string &detail,
                                         std::optional<core::Millis> retryAfter)
{
    const auto &info = core::infoOf(code);
    auto text = std::string(info.text);
    if (!detail.empty())
        text += ": " + detail;
    return platform::errorResponse(info.httpStatus, static_cast<int>(code), text, retryAfter);
}

} // namespace goldcrestline::daemon::forward
