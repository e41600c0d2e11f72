#pragma once

#include "core/clock.h"
#include "ports/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

// Membership messages between hosts as Cap'n Proto datagrams on the event loop.
namespace goldcrestline::adapters::loop {

// Carries exchanges of gossip and indirect probes. Lost datagrams are not sent again: a probe that
// is not answered in time counts as failed. Not thread-safe: lives on the loop.
class DatagramLink : public ports::PeerLink
{
public:
    // `onRequest` takes a question of another host and answers through `reply`. Throws
    // std::exception if it cannot bind "IP:PORT".
    DatagramLink(boost::asio::io_context &io, const std::string &address,
                 std::function<void(ports::PeerCall)> onRequest);
    ~DatagramLink() override;

    // Precondition: the request is a Gossip or a ProbeRequest.
    void call(const std::string &address, ports::PeerRequest request, core::Millis timeout,
              ports::PeerHandler done) override;

    // Ends calls that are not answered in time. Call about every 50 ms.
    void tick(core::TimePoint now);

    // Returns when tick() has work next.
    core::TimePoint nextAt() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestline::adapters::loop
