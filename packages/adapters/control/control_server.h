#pragma once

#include "ports/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace goldcrestline::adapters::control {

// HTTP server on Pistache for answers that are made on the spot: status, metrics, entry points.
// Pistache gives late answers to the wrong caller, so nothing here answers later.
class ControlServer
{
public:
    // Answers requests by `answer`, which is called on the server's threads and must be
    // thread-safe. Throws std::exception if the address cannot be listened on.
    ControlServer(const std::string &address,
                  std::function<ports::HttpResponse(const ports::HttpRequest &)> answer);
    // Stops the server.
    ~ControlServer();
    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::control
