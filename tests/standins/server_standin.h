#pragma once

#include "http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standins {

// Parameters of one backend server. Times are in milliseconds.
struct ServerParameters
{
    std::string id;
    std::string service;
    std::string zone;
    int group = 0;
    bool sharded = true;
    // Requests processed at the same time, requests that may wait for a slot, and connections.
    int slots = 2;
    int queue = 2;
    int connections = 25;
    int connectMs = 6;
    // Mean processing time of a request.
    double serviceMs = 8;
    // One-way network delay of requests from another zone.
    double zoneDelayMs = 4;
    // Share of requests whose processing time is multiplied by `tailFactor`.
    double tailShare = 0.01;
    double tailFactor = 3;
    // Age of the load in the load report.
    double loadReportDelayMs = 500;
};

// Injected faults of one server, set over HTTP while it runs. A share is a probability for each
// request.
struct ServerFaults
{
    // Multiplies the processing time.
    double slowdownFactor = 1;
    bool down = false;
    bool draining = false;
    bool shedding = false;
    // The connection becomes silent: it stays open, but gets no further responses.
    double silentShare = 0;
    // The connection is closed without a response, after the request was executed.
    double lostResponseShare = 0;
    double truncateShare = 0;
    // The response carries another query id.
    double wrongQueryShare = 0;
    // Time after a cold start during which processing is slower.
    double warmUpMs = 0;
};

// Counters of one server.
struct ServerCounters
{
    // Requests that got a slot.
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t shed = 0;
    // Requests rejected because the server drains.
    std::uint64_t rejectedDraining = 0;
    // Requests whose deadline passed in the queue.
    std::uint64_t expiredInQueue = 0;
    // Of `rejectedDraining`, those that came more than 5 s after draining began.
    std::uint64_t rejectedLateInDrain = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t connectionsOpened = 0;
    int connectionsPeak = 0;
};

// Stand-in of one backend server with slots, a queue, a connection limit, a delay between zones and
// injected faults. Not thread-safe: runs on the event loop of `io`.
class ServerStandin
{
public:
    ServerStandin(asio::io_context &io, ServerParameters parameters, unsigned seed);

    // Closes the listener and all connections, or opens the listener again on the same port.
    void setDown(bool down);

    // Makes each open connection silent with probability `share`.
    void silenceConnections(double share);

    const ServerParameters &parameters() const { return m_parameters; }
    unsigned short port() const { return m_port; }
    const ServerCounters &counters() const { return m_counters; }
    const std::map<std::string, int> &executions() const { return m_executions; }

    ServerFaults faults;
    // Snapshots that the server holds: "INDEX_VERSION.SHARD_MAP" and the number of documents of
    // this server's group.
    std::map<std::string, std::uint64_t> snapshots;
    // Start time that the fleet list publishes, in milliseconds since the Unix epoch.
    std::int64_t startedAt = 0;
    std::chrono::steady_clock::time_point warmUpStartedAt{};
    std::chrono::steady_clock::time_point drainingSince{};

private:
    // A request that waits for a slot or is processed.
    struct Job
    {
        explicit Job(asio::io_context &io) : timer(io) { }
        std::string queryId;
        bool cancelled = false;
        bool slotGranted = false;
        asio::steady_timer timer;
    };

    void openListener();
    asio::awaitable<Response> handle(const Request &request,
                                     std::shared_ptr<Connection> connection);
    asio::awaitable<Response> execute(const Request &request,
                                      std::shared_ptr<Connection> connection,
                                      std::shared_ptr<Job> job);
    asio::awaitable<bool> waitForSlot(std::shared_ptr<Job> job,
                                      std::chrono::steady_clock::time_point deadline);
    void releaseSlot();
    Response searchResponse(const Request &request, const std::string &snapshot,
                            std::uint64_t documents);
    Response executionResponse(const Request &request);
    Response cancel(const Request &request);
    Response makeRejection(const Request &request, unsigned status, const char *reason);
    void addLoadHeaders(Response &response, const Request &request);
    std::chrono::microseconds serviceTime();
    bool bernoulli(double share);
    std::chrono::milliseconds zoneDelay(const Request &request) const;

    asio::io_context &m_io;
    ServerParameters m_parameters;
    ServerCounters m_counters;
    std::map<std::string, int> m_executions;
    std::mt19937 m_random;
    unsigned short m_port = 0;
    int m_busySlots = 0;
    std::deque<std::shared_ptr<Job>> m_waitQueue;
    std::list<std::shared_ptr<Job>> m_jobs;
    std::map<std::uint64_t, std::shared_ptr<Connection>> m_connections;
    // Recent load values; the load report shows the value of `loadReportDelayMs` ago.
    std::deque<std::pair<std::chrono::steady_clock::time_point, int>> m_loadHistory;
    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
};

} // namespace standins
