#pragma once

#include "core/clock.h"

namespace goldcrestline::policy::forward {

// Returns the delay after which a refused caller is asked to retry. Answers bursts of refusals: the
// delay covers the time until a request can be served, `expectedWait`, and is spread over a range,
// so that the callers who were refused together do not return together. `random` is a uniform
// number in [0, 1). Thread-safe.
core::Millis retryDelay(core::Duration expectedWait, double random);

} // namespace goldcrestline::policy::forward
