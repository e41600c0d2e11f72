#include "adapters/peers/loop_peer_link.h"

#include "adapters/logging/log.h"
#include "adapters/loop/endpoint.h"
#include "adapters/peers/codec.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <random>
#include <stdexcept>

namespace goldcrestline::adapters::peers {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using core::TimePoint;
using ports::PeerOutcome;

namespace {

constexpr logging::LogChannel log("peers:");

// Largest datagram that can be received.
constexpr std::size_t maxDatagramBytes = 60UL * 1024;
// Largest message over HTTP. Sufficient for an idempotency ledger of some hundred thousand keys.
constexpr std::uint64_t maxMessageBytes = 64 << 20;
constexpr int statusBadRequest = 400;

bool isSentAsDatagram(const ports::PeerRequest &request)
{
    if (const auto *gossip = std::get_if<ports::Gossip>(&request))
        return !gossip->comparison;
    return std::holds_alternative<ports::ProbeRequest>(request)
        || std::holds_alternative<ports::QuotaRequest>(request);
}

// Returns the identity of a datagram among those of all hosts.
std::string messageIdOf(const udp::endpoint &from, std::uint64_t id)
{
    return from.address().to_string() + ":" + std::to_string(from.port()) + "/"
        + std::to_string(id);
}

loop::HttpServerLimits serverLimits()
{
    loop::HttpServerLimits limits;
    limits.maxBodyBytes = maxMessageBytes;
    limits.maxBufferedBytes = maxMessageBytes;
    return limits;
}

} // namespace

struct LoopPeerLink::Impl
{
    struct Pending
    {
        TimePoint deadline;
        ports::PeerHandler done;
        // Index of the request in PeerRequest, which its response has in PeerResponse.
        std::size_t requestIndex = 0;
        udp::endpoint to;
    };

    Impl(asio::io_context &io, const std::string &address,
         std::function<void(ports::PeerCall)> onCall)
        : socket(io), client(io, {}), onCall(std::move(onCall)),
          server(io, address, serverLimits(),
                 {[this](loop::HttpCall call, TimePoint) { onHttpMessage(std::move(call)); },
                  [](std::uint64_t, TimePoint) {},
                  [](int status, const std::string &why) {
                      return ports::OutgoingResponse{status, {}, why};
                  }})
    { }

    void bind(const std::string &address)
    {
        const auto endpoint = loop::parseEndpoint<udp>(address);
        if (!endpoint)
            throw std::runtime_error("peers address is not of the form IP:PORT: " + address);
        socket.open(endpoint->protocol());
        socket.bind(*endpoint);
        socket.non_blocking(true);
        awaitDatagrams();
    }

    void awaitDatagrams()
    {
        socket.async_wait(udp::socket::wait_read, [this](error_code ec) {
            if (ec)
                return;
            receivePending();
            awaitDatagrams();
        });
    }

    void receivePending()
    {
        static std::array<char, maxDatagramBytes> buf;
        for (;;) {
            udp::endpoint from;
            error_code ec;
            const auto n = socket.receive_from(asio::buffer(buf), from, 0, ec);
            // An ICMP error for a datagram sent earlier is reported here. Received datagrams may
            // still be queued.
            if (ec == asio::error::connection_refused)
                continue;
            if (ec)
                return;
            onDatagram({buf.data(), n}, from);
        }
    }

    void onDatagram(std::string_view bytes, const udp::endpoint &from)
    {
        auto message = decode(bytes);
        if (!message) {
            log.warning("cannot decode datagram bytes=" + std::to_string(bytes.size()));
            return;
        }
        if (auto *answer = std::get_if<ports::PeerResponse>(&message->content))
            return complete(message->id, std::move(*answer), from);
        ports::PeerCall call;
        call.request = std::move(std::get<ports::PeerRequest>(message->content));
        if (std::holds_alternative<ports::QuotaRequest>(call.request))
            call.messageId = messageIdOf(from, message->id);
        call.reply = [this, id = message->id, from](const ports::PeerResponse &answer) {
            const auto bytes = encode(id, answer);
            count(answer, bytes.size());
            send(bytes, from);
        };
        onCall(std::move(call));
    }

    // Counts a message, a PeerRequest or a PeerResponse, by its purpose.
    template <typename Message>
    void count(const Message &message, std::size_t bytes)
    {
        // A request and its response have the same index in both variants.
        constexpr std::size_t probeIndex = 1;
        constexpr std::size_t fetchIndex = 2;
        constexpr std::size_t copyIndex = 6;
        constexpr std::size_t configurationIndex = 8;
        if (const auto *gossip = std::get_if<ports::Gossip>(&message)) {
            (gossip->comparison ? traffic.comparisons : traffic.gossip) += bytes;
        } else if (message.index() == probeIndex) {
            traffic.gossip += bytes;
        } else {
            const bool isDocument = message.index() == fetchIndex || message.index() == copyIndex
                || message.index() == configurationIndex;
            (isDocument ? traffic.documents : traffic.other) += bytes;
        }
    }

    void send(const std::string &bytes, const udp::endpoint &to)
    {
        error_code ec;
        // Errors are ignored: as with a lost datagram, the call ends by its timeout.
        socket.send_to(asio::buffer(bytes), to, 0, ec);
    }

    void complete(std::uint64_t id, ports::PeerResponse answer, const udp::endpoint &from)
    {
        const auto it = pending.find(id);
        if (it == pending.end())
            return;
        // A late response to an earlier process at this address, whose ids may be the same.
        if (it->second.requestIndex != answer.index() || it->second.to != from) {
            log.warning("response to another request dropped id=" + std::to_string(id));
            return;
        }
        auto done = std::move(it->second.done);
        pending.erase(it);
        done({PeerOutcome::Answered, std::move(answer)});
    }

    void onHttpMessage(loop::HttpCall call)
    {
        auto message = decode(call.request.body);
        if (!message || !std::holds_alternative<ports::PeerRequest>(message->content)) {
            log.warning("cannot decode HTTP message bytes="
                        + std::to_string(call.request.body.size()));
            return call.respond(
                {statusBadRequest, {}, "request body is not a peer request message"});
        }
        ports::PeerCall peerCall;
        peerCall.request = std::move(std::get<ports::PeerRequest>(message->content));
        peerCall.reply = [this, respond = std::move(call.respond),
                          id = message->id](const ports::PeerResponse &answer) {
            auto bytes = encode(id, answer);
            count(answer, bytes.size());
            respond({200, {}, std::move(bytes)});
        };
        onCall(std::move(peerCall));
    }

    void sendOverHttp(const std::string &address, std::uint64_t id,
                      const ports::PeerRequest &request, core::Millis timeout,
                      ports::PeerHandler done)
    {
        const auto now = core::Clock::now();
        ports::ExchangeRequest out;
        out.body = std::make_shared<const std::string>(encode(id, request));
        count(request, out.body->size());
        out.commonHead = std::make_shared<const std::string>(
            "POST /peer HTTP/1.1\r\nHost: peer\r\nContent-Length: "
            + std::to_string(out.body->size()) + "\r\n");
        out.deadline = now + timeout;
        out.progressTimeout = timeout;
        client.send(address, std::move(out), now,
                    [done = std::move(done), index = request.index()](
                        const ports::ExchangeResult &result) { done(readResult(result, index)); });
    }

    // Returns the result of a request with this index.
    static ports::PeerResult readResult(const ports::ExchangeResult &result,
                                        std::size_t requestIndex)
    {
        if (result.outcome == ports::ExchangeOutcome::NotReached)
            return {PeerOutcome::NotReached, {}};
        if (result.outcome == ports::ExchangeOutcome::Answered && result.status == statusBadRequest)
            return {PeerOutcome::Unknown, {}};
        if (result.outcome != ports::ExchangeOutcome::Answered || result.status != 200)
            return {PeerOutcome::NoResponse, {}};
        auto message = decode(result.body);
        auto *response = message ? std::get_if<ports::PeerResponse>(&message->content) : nullptr;
        if (response == nullptr || response->index() != requestIndex) {
            log.warning("response of another type dropped");
            return {PeerOutcome::NoResponse, {}};
        }
        return {PeerOutcome::Answered, std::move(*response)};
    }

    udp::socket socket;
    loop::ExchangeClient client;
    std::function<void(ports::PeerCall)> onCall;
    loop::HttpServer server;
    std::map<std::uint64_t, Pending> pending;
    // Begins at random, so that a late response to an earlier process is not taken for one to this
    // process.
    std::uint64_t lastId = std::random_device{}();
    std::uint64_t calls = 0;
    ports::PeerTraffic traffic;
};

LoopPeerLink::LoopPeerLink(asio::io_context &io, const std::string &address,
                           std::function<void(ports::PeerCall)> onCall)
    : m_impl(std::make_unique<Impl>(io, address, std::move(onCall)))
{
    m_impl->bind(address);
}

LoopPeerLink::~LoopPeerLink() = default;

void LoopPeerLink::call(const std::string &address, ports::PeerRequest request,
                        core::Millis timeout, ports::PeerHandler done)
{
    const auto id = ++m_impl->lastId;
    ++m_impl->calls;
    if (!isSentAsDatagram(request))
        return m_impl->sendOverHttp(address, id, request, timeout, std::move(done));
    const auto to = loop::parseEndpoint<udp>(address);
    if (!to) {
        log.warning("malformed peer address address=" + address);
        asio::post(m_impl->socket.get_executor(), [done = std::move(done)] {
            done({PeerOutcome::NotReached, {}});
        });
        return;
    }
    m_impl->pending[id] = {core::Clock::now() + timeout, std::move(done), request.index(), *to};
    const auto bytes = encode(id, request);
    m_impl->count(request, bytes.size());
    m_impl->send(bytes, *to);
}

void LoopPeerLink::tick(TimePoint now)
{
    m_impl->client.tick(now);
    m_impl->server.tick(now);
    std::vector<ports::PeerHandler> expired;
    for (auto it = m_impl->pending.begin(); it != m_impl->pending.end();) {
        if (it->second.deadline > now) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second.done));
        it = m_impl->pending.erase(it);
    }
    for (const auto &it : expired)
        it({PeerOutcome::NoResponse, {}});
}

const ports::PeerTraffic &LoopPeerLink::traffic() const
{
    return m_impl->traffic;
}

std::uint64_t LoopPeerLink::calls() const
{
    return m_impl->calls;
}

} // namespace goldcrestline::adapters::peers
