#pragma once

#include "adapters/loop/exchange_client.h"
#include "adapters/loop/front_server.h"
#include "ports/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

// Messages between hosts on the event loop: Cap'n Proto in datagrams and in HTTP bodies.
namespace goldcrestline::adapters::peers {

// Probes and news travel as datagrams, which a lost connection cannot hold up; what may be large
// or must arrive travels as the body of an HTTP request. Both use the same address. Not
// thread-safe: lives on the loop.
class LoopPeerLink : public ports::PeerLink
{
public:
    // `onCall` takes another host's question. Throws std::exception if it cannot listen.
    LoopPeerLink(boost::asio::io_context &io, const std::string &address,
                 std::function<void(ports::PeerCall)> onCall);
    ~LoopPeerLink() override;

    void call(const std::string &address, ports::PeerRequest request, core::Millis timeout,
              ports::PeerHandler done) override;

    // Ends calls that are not answered in time. Call about every 20 ms.
    void tick(core::TimePoint now);

    // Calls made since the start.
    std::uint64_t calls() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::peers
