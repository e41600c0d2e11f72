#pragma once

#include "adapters/loop/exchange_client.h"
#include "adapters/loop/http_server.h"
#include "ports/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

// Messages between hosts on the event loop: Cap'n Proto in UDP datagrams and in HTTP bodies.
namespace goldcrestline::adapters::peers {

// Sends probes and membership updates as datagrams, so that they are not delayed by retransmissions
// or a broken connection. Messages that may be large or must arrive are sent as the body of an HTTP
// request. Both use the same address. Not thread-safe: used only on the event loop's thread.
class LoopPeerLink : public ports::PeerLink
{
public:
    // Starts listening at `address`, "IP:PORT". `onCall` handles the requests of other hosts.
    // Throws std::exception if it cannot listen.
    LoopPeerLink(boost::asio::io_context &io, const std::string &address,
                 std::function<void(ports::PeerCall)> onCall);
    ~LoopPeerLink() override;

    void call(const std::string &address, ports::PeerRequest request, core::Millis timeout,
              ports::PeerHandler done) override;

    // Ends calls whose timeout has passed. Call about every 20 ms.
    void tick(core::TimePoint now);

    // Returns the bytes sent since the start, without those of the transport protocols.
    const ports::PeerTraffic &traffic() const;

    // Returns the number of calls made since the start.
    std::uint64_t calls() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::peers
