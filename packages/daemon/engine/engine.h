#pragma once

#include "adapters/settings/settings.h"
#include "policy/idempotency/key.h"

#include <memory>

// Host that serves the caller interface of goldcrestline: queries and requests of plans.
namespace goldcrestline::daemon::engine {

// Owns the host's state, its connections and its event loop. Not thread-safe: everything runs on
// the thread that calls run().
class Engine
{
public:
    // Precondition: the settings are valid. Throws std::exception if an address cannot be bound.
    Engine(const std::shared_ptr<const adapters::settings::Settings> &settings,
           const std::shared_ptr<const policy::idempotency::KeyIssuer> &keys);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    // Serves until SIGTERM or SIGINT, then completes the graceful shutdown (ShutdownSequence)
    // before it returns. Call once.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::daemon::engine
