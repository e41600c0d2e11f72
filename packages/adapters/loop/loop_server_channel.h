#pragma once

#include "adapters/loop/exchange_client.h"
#include "ports/server_channel.h"

#include <deque>
#include <unordered_map>

namespace goldcrestline::adapters::loop {

// Limits of the channel to the servers.
struct ChannelLimits
{
    // Time for a cancelled call to be answered before its connection is closed.
    core::Millis cancelGrace{250};
    // Zone of this host, told to servers.
    std::string zone;
    // Connections that this host may open to a server, by server id.
    std::function<int(const std::string &serverId)> connectionLimit;
};

// Backend servers over HTTP. Not thread-safe: lives on the loop.
class LoopServerChannel : public ports::ServerChannel
{
public:
    // Precondition: `client` outlives this.
    LoopServerChannel(ExchangeClient &client, ChannelLimits limits);

    ports::CallId search(ports::SearchCall call, ports::ServerHandler done) override;
    ports::CallId execute(ports::ExecuteCall call, ports::ServerHandler done) override;
    void cancel(ports::CallId id) override;
    void poll(const std::string &serverId, const std::string &address,
              ports::ServerHandler done) override;

    // Closes calls that stayed silent; call often.
    void tick(core::TimePoint now);

    // Connections counted since the start that were closed for silence.
    std::uint64_t silentConnections() const { return m_silent; }

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
        int open = 0;
        std::deque<std::string> waitingCancels;
    };

    void onEnd(ports::CallId id, const ports::ExchangeResult &result);
    // Sends a request that counts as an open connection of its server.
    ports::CallId begin(const std::string &serverId, const std::string &address,
                        ports::ExchangeRequest request, ports::ServerHandler done);
    void sendCancel(const std::string &serverId, const std::string &address,
                    const std::string &queryId);
    void release(const std::string &serverId, const std::string &address);

    ExchangeClient &m_client;
    ChannelLimits m_limits;
    std::unordered_map<ports::CallId, Call> m_calls;
    std::unordered_map<std::string, Server> m_servers;
    ports::CallId m_lastCall = 0;
    std::uint64_t m_silent = 0;
};

} // namespace goldcrestline::adapters::loop
