#pragma once

namespace goldcrestline::core {

// Result of opening a connection without sending a request.
enum class ConnectOutcome {
    Connected,
    // The address is reachable and nothing listens there.
    Refused,
    // No answer in time, or another error.
    Failed,
};

} // namespace goldcrestline::core
