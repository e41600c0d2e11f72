#pragma once

#include "http_loop.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standins {

// How one backend server behaves.
struct ServerShape
{
    std::string id;
    std::string service;
    std::string zone;
    int group = 0;
    bool sharded = true;
    int slots = 2;
    int queue = 2;
    int connections = 25;
    int connectMs = 6;
    double serviceMs = 8;
    double zoneDelayMs = 4;
    // Share of requests that take `tailFactor` times longer.
    double tailShare = 0.01;
    double tailFactor = 3;
    double loadLagMs = 500;
};

// Switches of one server, set over HTTP while it runs.
struct ServerSwitches
{
    double straggle = 1;
    bool down = false;
    bool draining = false;
    bool shedding = false;
    double silentShare = 0;
    double loseAnswerShare = 0;
    double truncateShare = 0;
    double wrongQueryShare = 0;
    double coldMs = 0;
};

// What one server counted.
struct ServerCounters
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t shed = 0;
    std::uint64_t drained = 0;
    std::uint64_t expired = 0;
    std::uint64_t afterDrain = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t connectionsOpened = 0;
    int connectionsPeak = 0;
};

// Stand-in of one backend server with slots, a queue, a connection limit, zone delay and faults.
class ServerStandin
{
public:
    ServerStandin(asio::io_context &io, ServerShape shape, unsigned seed);

    // Opens or closes the listener and all connections.
    void setDown(bool down);

    // Makes a share of the open connections silent.
    void silence(double share);

    const ServerShape &shape() const { return m_shape; }
    unsigned short port() const { return m_port; }
    const ServerCounters &counters() const { return m_counters; }
    const std::map<std::string, int> &executions() const { return m_executions; }

    ServerSwitches switches;
    // Snapshots held, as "version.map", with the documents of this server's group.
    std::map<std::string, std::uint64_t> holds;
    std::int64_t startedAt = 0;
    std::chrono::steady_clock::time_point coldSince{};
    std::chrono::steady_clock::time_point drainedAt{};

private:
    struct Job
    {
        explicit Job(asio::io_context &io) : timer(io) { }
        std::string queryId;
        bool cancelled = false;
        bool granted = false;
        asio::steady_timer timer;
    };

    void open();
    asio::awaitable<Response> handle(const Request &request,
                                     std::shared_ptr<Connection> connection);
    asio::awaitable<Response> work(const Request &request, std::shared_ptr<Connection> connection,
                                   std::shared_ptr<Job> job);
    asio::awaitable<bool> waitForSlot(std::shared_ptr<Job> job,
                                      std::chrono::steady_clock::time_point deadline);
    void releaseSlot();
    Response searchAnswer(const Request &request, const std::string &snapshot,
                          std::uint64_t documents);
    Response executeAnswer(const Request &request);
    Response cancel(const Request &request);
    Response refusal(const Request &request, unsigned status, const char *reason);
    void describe(Response &response, const Request &request);
    std::chrono::microseconds serviceTime();
    bool chance(double share);
    std::chrono::milliseconds zoneDelay(const Request &request) const;

    asio::io_context &m_io;
    ServerShape m_shape;
    ServerCounters m_counters;
    std::map<std::string, int> m_executions;
    std::mt19937 m_random;
    unsigned short m_port = 0;
    int m_busy = 0;
    std::deque<std::shared_ptr<Job>> m_waiting;
    std::list<std::shared_ptr<Job>> m_jobs;
    std::map<std::uint64_t, std::shared_ptr<Connection>> m_connections;
    // Load as it was some time ago: the report lags.
    std::deque<std::pair<std::chrono::steady_clock::time_point, int>> m_loads;
    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
};

} // namespace standins
