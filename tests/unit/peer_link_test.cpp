#include "adapters/loop/endpoint.h"
#include "adapters/peers/codec.h"
#include "adapters/peers/loop_peer_link.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace goldcrestline;
using namespace std::chrono_literals;
using adapters::peers::LoopPeerLink;
using boost::asio::ip::udp;
using ports::PeerOutcome;

namespace {

constexpr auto timeout = core::Millis(300);

// A link that calls a peer whose datagrams the test sends.
struct Fixture
{
    boost::asio::io_context io;
    udp::socket peer{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    LoopPeerLink link{io, "127.0.0.1:0", [](const ports::PeerCall &) {}};
    std::optional<ports::PeerResult> result;

    // Sends a probe and returns its id and sender.
    std::pair<std::uint64_t, udp::endpoint> call()
    {
        const auto address = "127.0.0.1:" + std::to_string(peer.local_endpoint().port());
        link.call(address, ports::Gossip{}, timeout, [this](ports::PeerResult it) { result = it; });
        std::array<char, 4096> buf{};
        udp::endpoint from;
        const auto n = peer.receive_from(boost::asio::buffer(buf), from);
        return {adapters::peers::decode({buf.data(), n})->id, from};
    }

    void reply(udp::socket &socket, std::uint64_t id, const ports::PeerResponse &response,
               const udp::endpoint &to)
    {
        socket.send_to(boost::asio::buffer(adapters::peers::encode(id, response)), to);
        io.restart();
        io.run_for(30ms);
    }
};

} // namespace

TEST_CASE("a late response to an earlier process with the same message id is dropped")
{
    Fixture it;
    const auto [id, sender] = it.call();
    SECTION("of another type")
    {
        it.reply(it.peer, id, ports::ProbeResponse{true}, sender);
    }
    SECTION("of another host")
    {
        udp::socket other{it.io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
        it.reply(other, id, ports::Gossip{}, sender);
    }
    CHECK_FALSE(it.result);
    it.reply(it.peer, id, ports::Gossip{}, sender);
    REQUIRE(it.result);
    CHECK(it.result->outcome == PeerOutcome::Answered);
    CHECK(std::holds_alternative<ports::Gossip>(it.result->response));
}

TEST_CASE("two processes at one address begin with different message ids")
{
    Fixture first;
    Fixture second;
    CHECK(first.call().first != second.call().first);
}
