#pragma once

#include "adapters/callers/caller_server.h"
#include "adapters/peers/peer_thread.h"
#include "adapters/settings/settings.h"
#include "core/mailbox.h"
#include "daemon/engine/status_board.h"
#include "policy/once/key.h"

#include <future>
#include <memory>
#include <thread>
#include <variant>

namespace goldcrestline::daemon::engine {

// Orders the engine to stop gracefully.
struct StopRequested
{ };

using EngineMessage = std::variant<ports::CallerCall, ports::CallerGone, ports::PeerCall,
                                   adapters::peers::PeerDone, StopRequested>;

// Named thread that owns all deciding state of a host and its connections to servers and to the
// platform. Public methods are thread-safe.
class Engine
{
public:
    // Preconditions: the settings are checked; `board` outlives this.
    Engine(std::shared_ptr<const adapters::settings::Settings> settings,
           std::shared_ptr<const policy::once::KeyIssuer> keys, StatusBoard &board);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    // Passes a message to the engine.
    void post(EngineMessage message);

    // Starts the thread. Precondition: `callers` and `peers` deliver to post() and outlive it.
    void start(adapters::callers::CallerServer &callers, adapters::peers::PeerThread &peers);

    // Waits until a requested stop has ended every request and handed over.
    void waitUntilStopped();

private:
    class Loop;

    std::shared_ptr<const adapters::settings::Settings> m_settings;
    std::shared_ptr<const policy::once::KeyIssuer> m_keys;
    StatusBoard &m_board;
    core::Mailbox<EngineMessage> m_mailbox;
    std::unique_ptr<Loop> m_loop;
    std::thread m_thread;
    std::promise<void> m_stopped;
};

} // namespace goldcrestline::daemon::engine
