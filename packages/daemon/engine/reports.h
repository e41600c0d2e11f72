#pragma once

#include "daemon/engine/query_service.h"

#include <string>

// Reports on services, made by the engine for the status board.
namespace goldcrestline::daemon::engine {

// Returns all services' counters and servers as a JSON object.
std::string servicesJson(const QueryService &queries);

} // namespace goldcrestline::daemon::engine
