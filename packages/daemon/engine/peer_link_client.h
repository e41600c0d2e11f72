#pragma once

#include "adapters/peers/peer_thread.h"
#include "ports/peer_link.h"

#include <unordered_map>

namespace goldcrestline::daemon::engine {

// The engine's end of the link to other hosts: matches answers with calls. Owned by its task.
class PeerLinkClient : public ports::PeerLink
{
public:
    // Sets the thread that carries the calls. Call before call().
    void attach(adapters::peers::PeerThread &thread) { m_thread = &thread; }

    void call(const std::string &address, ports::PeerRequest request, core::Millis timeout,
              ports::PeerHandler done) override
    {
        const auto id = ++m_lastId;
        m_handlers[id] = std::move(done);
        m_thread->send({id, address, std::move(request), timeout});
    }

    // Takes the end of a call.
    void onDone(adapters::peers::PeerDone done)
    {
        auto node = m_handlers.extract(done.id);
        if (!node.empty())
            node.mapped()(std::move(done.result));
    }

    // Calls made since the start.
    std::uint64_t calls() const { return m_lastId; }

private:
    adapters::peers::PeerThread *m_thread = nullptr;
    std::unordered_map<std::uint64_t, ports::PeerHandler> m_handlers;
    std::uint64_t m_lastId = 0;
};

} // namespace goldcrestline::daemon::engine
