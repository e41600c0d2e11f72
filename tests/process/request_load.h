#pragma once

#include "routed_cluster.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace harness {

// Sends requests to one host from a thread until finish() is called, and counts the responses.
class RequestLoad
{
public:
    RequestLoad(const RoutedCluster &cluster, std::size_t host, std::string path)
        : m_thread([this, &cluster, host, path = std::move(path)] {
              for (int i = 0; !m_stop; ++i) {
                  const auto id = "h" + std::to_string(host) + "-" + std::to_string(i);
                  const auto result = cluster.sendRequest(host, path, id);
                  const std::lock_guard lock(m_mutex);
                  if (result.outcome != TransferOutcome::Answered)
                      ++(result.outcome == TransferOutcome::NotReached ? m_notReached
                                                                       : m_interrupted);
                  else
                      ++m_statuses[result.status];
              }
          })
    { }
    ~RequestLoad() { finish(); }

    // Requests that were sent and got no complete response. Call after finish().
    int interrupted() const { return m_interrupted; }

    // Stops the thread and returns the number of responses by HTTP status.
    std::map<int, int> finish()
    {
        m_stop = true;
        if (m_thread.joinable())
            m_thread.join();
        return m_statuses;
    }

    // Requests without a response of status 200 so far.
    int notServed()
    {
        const std::lock_guard lock(m_mutex);
        int n = m_notReached + m_interrupted;
        for (const auto &it : m_statuses)
            n += it.first == 200 ? 0 : it.second;
        return n;
    }

    // Responses with status 200 so far.
    int answered()
    {
        const std::lock_guard lock(m_mutex);
        return m_statuses[200];
    }

private:
    std::atomic<bool> m_stop{false};
    std::mutex m_mutex;
    std::map<int, int> m_statuses;
    int m_notReached = 0;
    int m_interrupted = 0;
    std::thread m_thread;
};

} // namespace harness
