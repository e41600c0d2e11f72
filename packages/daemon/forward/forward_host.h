#pragma once

#include "adapters/settings/settings.h"

#include <memory>
#include <string>

namespace goldcrestline::daemon::forward {

// Runs a host that forwards requests along the platform's routes, on one event loop, until it
// receives SIGTERM or SIGINT and has shut down. Reloads the settings file at `path` on SIGHUP and
// when its modification time changes. Throws std::exception if it cannot listen.
void runHost(std::shared_ptr<const adapters::settings::Settings> settings, const std::string &path);

} // namespace goldcrestline::daemon::forward
