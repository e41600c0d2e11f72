#pragma once

#include "store.h"

#include <functional>
#include <thread>

namespace review {

// Executions of requests at all servers. Thread-safe.
class Executions
{
public:
    struct Run
    {
        std::string server;
        std::string service;
        std::int64_t atMs = 0;
    };

    void add(const std::string &requestId, Run run);
    std::map<std::string, std::vector<Run>> all() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<Run>> m_runs;
};

struct ServerParameters
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int slots = 2;
    int queue = 8;
    int workMs = 60;
};

// Stand-in of a backend server. It registers in the store, writes its entry again with each
// heartbeat, checks X-Expected-Instance, keeps to its slots, echoes X-Request-Id and stamps what
// it ran. It drops a request whose connection closes. Thread-safe.
class Server
{
public:
    Server(ServerParameters parameters, Store &store, Executions &executions);
    ~Server();

    const ServerParameters &parameters() const { return m_parameters; }
    const std::string &address() const { return m_listener->address(); }
    // Returns the entry that the server writes now, with the next sequence.
    json nextEntry();
    // Writes the entry to the store.
    void publish();

    // Reports the state `draining`; the server goes on serving.
    void drain();
    // Ends the process: removes the entry from the store and closes all connections.
    void exit();

    // Called before a request is handled, on the thread of its connection.
    std::function<void(Connection &)> beforeRequest;
    // Called for each request that has run, with its connection, before its answer is sent.
    std::function<void(Connection &)> afterRun;
    // Returns the body of a success.
    std::function<std::string(const Request &)> makeBody;

private:
    std::optional<std::string> handle(const Request &request, Connection &connection);
    Response run(const Request &request, Connection &connection, bool &dropped);
    bool acquireSlot();
    void releaseSlot();

    ServerParameters m_parameters;
    Store &m_store;
    Executions &m_executions;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_running = 0;
    int m_waiting = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_born = 0;
    std::string m_state = "ready";
    bool m_exited = false;
    std::unique_ptr<Listener> m_listener;
    std::thread m_heartbeats;
};

} // namespace review
