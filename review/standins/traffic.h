#pragma once

#include "deployment.h"

#include <atomic>
#include <thread>

namespace review {

// One attempt of a consumer and its outcome.
struct Attempt
{
    std::string id;
    std::string route;
    std::size_t host = 0;
    std::int64_t sentMs = 0;
    std::int64_t endedMs = 0;
    // Status of the answer; 0 if the connection ended or no answer came in time.
    int status = 0;
    std::string body;
};

// Consumers that send requests of one route at a steady rate, each on a kept connection to a host
// that is drawn for each new connection. Thread-safe.
class Traffic
{
public:
    struct Parameters
    {
        std::string name;
        std::string method = "GET";
        std::string prefix;
        std::size_t bodyBytes = 0;
        int perSecond = 45;
        int consumers = 15;
        int deadlineMs = 4000;
        // Key of the consumers' tenant; empty for none.
        std::string key;
    };

    Traffic(const Deployment &deployment, Parameters parameters);
    ~Traffic() { stop(); }

    // Ends after the requests in progress.
    void stop();
    // Sends to the first `n` hosts only, on new connections.
    void setHosts(std::size_t n) { m_hosts = n; }
    std::vector<Attempt> attempts() const;

private:
    void run(std::size_t consumer);

    const Deployment &m_deployment;
    Parameters m_parameters;
    std::atomic<std::size_t> m_hosts;
    std::atomic<bool> m_stopped = false;
    mutable std::mutex m_mutex;
    std::vector<Attempt> m_attempts;
    std::vector<std::thread> m_threads;
};

} // namespace review
