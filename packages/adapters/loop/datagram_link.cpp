#include "adapters/loop/datagram_link.h"

#include "adapters/logging/log.h"
#include "adapters/loop/endpoint.h"
#include "adapters/peers/codec.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <map>
#include <stdexcept>

namespace goldcrestline::adapters::loop {

namespace asio = boost::asio;
namespace wire = peers::wire;
using asio::ip::udp;
using boost::system::error_code;
using core::TimePoint;

namespace {

constexpr logging::LogChannel log("datagrams:");

constexpr std::size_t datagramBytes = 60 * 1024;

} // namespace

struct DatagramLink::Impl
{
    struct Pending
    {
        TimePoint until;
        ports::PeerHandler done;
    };

    Impl(asio::io_context &io, std::function<void(ports::PeerCall)> onRequest)
        : socket(io), onRequest(std::move(onRequest))
    { }

    void receive()
    {
        socket.async_wait(udp::socket::wait_read, [this](error_code ec) {
            if (ec)
                return;
            drain();
            receive();
        });
    }

    void drain()
    {
        static std::array<kj::byte, datagramBytes> buf;
        for (;;) {
            udp::endpoint from;
            error_code ec;
            const auto n = socket.receive_from(asio::buffer(buf), from, 0, ec);
            if (ec)
                return;
            try {
                take(kj::arrayPtr(buf.data(), n), from);
            } catch (const kj::Exception &e) {
                log.warning(std::string("unreadable datagram: ") + e.getDescription().cStr());
            }
        }
    }

    void take(kj::ArrayPtr<const kj::byte> bytes, const udp::endpoint &from)
    {
        // The bytes may be unaligned.
        auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
        std::copy_n(bytes.begin(), words.asBytes().size(), words.asBytes().begin());
        capnp::FlatArrayMessageReader message(words);
        const auto datagram = message.getRoot<wire::Datagram>();
        const auto id = datagram.getId();
        switch (datagram.which()) {
        case wire::Datagram::EXCHANGE:
            return ask(peers::readGossip(datagram.getExchange()), id, from);
        case wire::Datagram::PROBE: {
            const auto probe = datagram.getProbe();
            return ask(ports::ProbeRequest{peers::asString(probe.getName()),
                                           peers::asString(probe.getAddress())},
                       id, from);
        }
        case wire::Datagram::EXCHANGED:
            return end(id, peers::readGossip(datagram.getExchanged()));
        case wire::Datagram::PROBED:
            return end(id, ports::ProbeAnswer{datagram.getProbed()});
        }
    }

    void ask(ports::PeerRequest request, std::uint64_t id, const udp::endpoint &from)
    {
        ports::PeerCall call;
        call.request = std::move(request);
        call.reply = [this, id, from](const ports::PeerAnswer &answer) {
            capnp::MallocMessageBuilder message;
            auto datagram = message.initRoot<wire::Datagram>();
            datagram.setId(id);
            if (const auto *gossip = std::get_if<ports::Gossip>(&answer)) {
                peers::writeGossip(*gossip, datagram.initExchanged());
            } else if (const auto *probe = std::get_if<ports::ProbeAnswer>(&answer)) {
                datagram.setProbed(probe->reached);
            } else {
                return;
            }
            send(message, from);
        };
        onRequest(std::move(call));
    }

    void end(std::uint64_t id, ports::PeerAnswer answer)
    {
        const auto it = pending.find(id);
        if (it == pending.end())
            return;
        const auto done = std::move(it->second.done);
        pending.erase(it);
        done({ports::PeerEnd::Answered, std::move(answer)});
    }

    void send(capnp::MessageBuilder &message, const udp::endpoint &to)
    {
        const auto words = capnp::messageToFlatArray(message);
        const auto bytes = words.asBytes();
        error_code ec;
        // A datagram that cannot be sent is as good as lost: its probe fails.
        socket.send_to(asio::buffer(bytes.begin(), bytes.size()), to, 0, ec);
    }

    udp::socket socket;
    std::function<void(ports::PeerCall)> onRequest;
    std::map<std::uint64_t, Pending> pending;
    std::uint64_t lastId = 0;
};

DatagramLink::DatagramLink(asio::io_context &io, const std::string &address,
                           std::function<void(ports::PeerCall)> onRequest)
    : m_impl(std::make_unique<Impl>(io, std::move(onRequest)))
{
    const auto endpoint = parseEndpoint<udp>(address);
    if (!endpoint)
        throw std::runtime_error("not an address: " + address);
    m_impl->socket.open(endpoint->protocol());
    m_impl->socket.bind(*endpoint);
    m_impl->socket.non_blocking(true);
    m_impl->receive();
}

DatagramLink::~DatagramLink() = default;

void DatagramLink::call(const std::string &address, ports::PeerRequest request,
                        core::Millis timeout, ports::PeerHandler done)
{
    const auto id = ++m_impl->lastId;
    m_impl->pending[id] = {core::Clock::now() + timeout, std::move(done)};
    const auto to = parseEndpoint<udp>(address);
    if (!to)
        return;
    capnp::MallocMessageBuilder message;
    auto datagram = message.initRoot<wire::Datagram>();
    datagram.setId(id);
    if (const auto *gossip = std::get_if<ports::Gossip>(&request)) {
        peers::writeGossip(*gossip, datagram.initExchange());
    } else if (const auto *probe = std::get_if<ports::ProbeRequest>(&request)) {
        auto to = datagram.initProbe();
        to.setName(probe->name);
        to.setAddress(probe->address);
    }
    m_impl->send(message, *to);
}

void DatagramLink::tick(TimePoint now)
{
    std::vector<ports::PeerHandler> late;
    for (auto it = m_impl->pending.begin(); it != m_impl->pending.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        late.push_back(std::move(it->second.done));
        it = m_impl->pending.erase(it);
    }
    for (const auto &it : late)
        it({ports::PeerEnd::Lost, {}});
}

TimePoint DatagramLink::nextAt() const
{
    auto next = TimePoint::max();
    for (const auto &it : m_impl->pending)
        next = std::min(next, it.second.until);
    return next;
}

} // namespace goldcrestline::adapters::loop
