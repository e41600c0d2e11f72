#pragma once

#include "daemon/engine/query_service.h"

#include <string>

// Reports on the services, for HostStatus.
namespace goldcrestline::daemon::engine {

// Returns the counters and the leaving servers of each service as a JSON object.
std::string servicesJson(const QueryService &queries);

// Returns the service level of each plan and service over 5 min and 1 h, with a time series, as a
// JSON array.
std::string serviceLevelsJson(const QueryService &queries, core::TimePoint now);

} // namespace goldcrestline::daemon::engine
