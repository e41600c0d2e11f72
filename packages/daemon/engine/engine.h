#pragma once

#include "adapters/settings/settings.h"
#include "policy/idempotency/key.h"

#include <memory>

// The host that offers the product's own interface.
namespace goldcrestline::daemon::engine {

// Owns all state of the host, its connections and its event loop; everything runs on the thread
// that calls run().
class Engine
{
public:
    // Precondition: the settings are checked. Throws std::exception if it cannot listen.
    Engine(const std::shared_ptr<const adapters::settings::Settings> &settings,
           const std::shared_ptr<const policy::idempotency::KeyIssuer> &keys);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    // Serves until SIGTERM or SIGINT, then until every request has ended and the ledger is handed
    // over. Call once.
    void run();

private:
    class Loop;
    std::unique_ptr<Loop> m_loop;
};

} // namespace goldcrestline::daemon::engine
