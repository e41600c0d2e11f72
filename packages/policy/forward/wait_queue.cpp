#include "policy/forward/wait_queue.h"

#include <iterator>

namespace goldcrestline::policy::forward {

void WaitQueue::update(std::uint64_t id, const Call &call)
{
    const bool waits = call.hasWaitingParts();
    if (!waits && m_calls.count(id) == 0)
        return;
    const auto &services = call.services();
    for (std::size_t part = 0; part < services.size(); ++part) {
        const Entry entry{call.rank(), id, part};
        if (call.isQueued(part)) {
            m_queues[services[part]].insert(entry);
        } else {
            m_queues[services[part]].erase(entry);
        }
    }
    if (waits) {
        m_calls.insert(id);
    } else {
        m_calls.erase(id);
    }
}

void WaitQueue::remove(std::uint64_t id, const Call &call)
{
    if (m_calls.erase(id) == 0)
        return;
    const auto &services = call.services();
    for (std::size_t part = 0; part < services.size(); ++part)
        m_queues[services[part]].erase({call.rank(), id, part});
}

bool WaitQueue::hasAhead(const std::string &service, CallRank rank) const
{
    const auto it = m_queues.find(service);
    return it != m_queues.end() && !it->second.empty() && it->second.begin()->rank < rank;
}

std::size_t WaitQueue::countAhead(const std::string &service, CallRank rank) const
{
    const auto it = m_queues.find(service);
    if (it == m_queues.end())
        return 0;
    const auto end = it->second.lower_bound({rank, 0, 0});
    return static_cast<std::size_t>(std::distance(it->second.begin(), end));
}

std::vector<std::string> WaitQueue::services() const
{
    std::vector<std::string> out;
    if (m_calls.empty())
        return out;
    for (const auto &it : m_queues) {
        if (!it.second.empty())
            out.push_back(it.first);
    }
    return out;
}

std::vector<WaitQueue::Entry> WaitQueue::entries(const std::string &service) const
{
    const auto it = m_queues.find(service);
    if (it == m_queues.end())
        return {};
    return {it->second.begin(), it->second.end()};
}

} // namespace goldcrestline::policy::forward
