#pragma once

#include "adapters/settings/settings.h"

#include <memory>
#include <string>

namespace goldcrestline::daemon::forward {

// Runs a host that forwards the platform's routes, all on one event loop, until it is told to
// stop by SIGTERM or SIGINT. Reads the settings file at `path` again on SIGHUP and when it changes.
// Throws std::exception if it cannot listen.
void runHost(std::shared_ptr<const adapters::settings::Settings> settings, const std::string &path);

} // namespace goldcrestline::daemon::forward
