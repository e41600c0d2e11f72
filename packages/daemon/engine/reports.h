#pragma once

#include "daemon/engine/query_service.h"

#include <string>

// Reports on services, made by the engine for the status board.
namespace goldcrestline::daemon::engine {

// Returns all services' counters and servers as a JSON object.
std::string servicesJson(const QueryService &queries);

// Returns each plan's use of each service over a short and a long window as a JSON array.
std::string levelsJson(const QueryService &queries, core::TimePoint now);

} // namespace goldcrestline::daemon::engine
