#pragma once

#include "adapters/loop/exchange_client.h"
#include "ports/server_channel.h"

#include <deque>
#include <unordered_map>

namespace goldcrestline::adapters::loop {

// Options of the channel to the backend servers.
struct ServerChannelOptions
{
    // Time that a server has to respond to a cancelled call before its connection is closed.
    core::Millis cancelGracePeriod{250};
    // Zone of this host, sent to servers with each request.
    std::string zone;
    // Returns the number of connections that this host may open to a server.
    std::function<int(const std::string &serverId)> connectionLimit;
};

// Sends calls to backend servers over HTTP. Not thread-safe: used only on the event loop's thread.
class LoopServerChannel : public ports::ServerChannel
{
public:
    // Precondition: `client` outlives the channel.
    LoopServerChannel(ExchangeClient &client, ServerChannelOptions options);

    ports::CallId search(ports::SearchCall call, ports::ServerHandler done) override;
    ports::CallId execute(ports::ExecuteCall call, ports::ServerHandler done) override;
    void cancel(ports::CallId id) override;
    void poll(const std::string &serverId, const std::string &address,
              ports::ServerHandler done) override;

    // Ends cancelled calls that received no response within the grace period and closes their
    // connections. Call about every 20 ms.
    void tick(core::TimePoint now);

    // Returns the number of connections closed since the start because a call to the server timed
    // out.
    std::uint64_t silentConnections() const { return m_silentConnections; }

private:
    struct Call
    {
        ports::ExchangeId exchange = 0;
        std::string serverId;
        std::string address;
        std::string queryId;
        int group = 0;
        bool cancelled = false;
        core::TimePoint closeAt = core::TimePoint::max();
        ports::ServerHandler done;
    };
    struct Server
    {
        int openConnections = 0;
        // Query ids of cancel requests that wait for a connection within the limit.
        std::deque<std::string> pendingCancels;
    };

    void onExchangeEnd(ports::CallId id, const ports::ExchangeResult &result);
    // Sends a request, which counts as one open connection to its server until it ends.
    ports::CallId startCall(const std::string &serverId, const std::string &address,
                            ports::ExchangeRequest request, ports::ServerHandler done);
    void sendCancel(const std::string &serverId, const std::string &address,
                    const std::string &queryId);
    // Counts a connection as released and sends the next pending cancel request.
    void releaseConnection(const std::string &serverId, const std::string &address);

    ExchangeClient &m_client;
    ServerChannelOptions m_options;
    std::unordered_map<ports::CallId, Call> m_calls;
    std::unordered_map<std::string, Server> m_servers;
    ports::CallId m_lastCallId = 0;
    std::uint64_t m_silentConnections = 0;
};

} // namespace goldcrestline::adapters::loop
