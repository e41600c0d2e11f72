#pragma once

#include "daemon/forward/forward_counters.h"

#include <cstdint>
#include <string>

namespace goldcrestline::daemon::forward {

// What a host shows beside its counters.
struct HostGauges
{
    std::uint64_t version = 0;
    std::size_t members = 0;
    std::size_t running = 0;
    std::uint64_t storeCalls = 0;
    bool storeReached = false;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t logLinesLeftOut = 0;
    // Estimated use of the processor in hundredths.
    std::uint64_t usePercent = 0;
    bool stopping = false;
};

// Returns the metrics as text, a name and a value on each line. Thread-safe.
std::string printMetrics(const HostGauges &gauges, const ForwardCounters &counters);

} // namespace goldcrestline::daemon::forward
