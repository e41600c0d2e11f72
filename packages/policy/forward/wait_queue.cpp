#include "policy/forward/wait_queue.h"

#include <algorithm>
#include <iterator>

namespace goldcrestline::policy::forward {

namespace {

// One of this many freed slots goes to an overdue call of a lower priority.
constexpr int overdueTurn = 5;

} // namespace

void WaitQueue::update(std::uint64_t id, const Call &call)
{
    const bool waits = call.hasWaitingParts();
    if (!waits && m_calls.count(id) == 0)
        return;
    const auto &services = call.services();
    const auto &times = call.times();
    const auto overdueAt = times.startedAt + (times.refuseAt - times.startedAt) / 2;
    for (std::size_t part = 0; part < services.size(); ++part) {
        const Entry entry{call.rank(), id, part, overdueAt};
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
        m_queues[services[part]].erase({call.rank(), id, part, {}});
}

bool WaitQueue::hasAhead(const std::string &service, CallRank rank) const
{
    if (m_preferred != 0 && rank.sequence == m_preferred && service == m_preferredService)
        return false;
    const auto it = m_queues.find(service);
    return it != m_queues.end() && !it->second.empty() && it->second.begin()->rank < rank;
}

std::size_t WaitQueue::countAhead(const std::string &service, CallRank rank) const
{
    const auto it = m_queues.find(service);
    if (it == m_queues.end())
        return 0;
    const auto end = it->second.lower_bound({rank, 0, 0, {}});
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

std::vector<WaitQueue::Entry> WaitQueue::dispatchOrder(const std::string &service,
                                                       core::TimePoint now)
{
    m_preferred = 0;
    auto out = entries(service);
    if (out.empty())
        return out;
    const int first = out.front().rank.priority;
    auto oldest = out.end();
    for (auto it = out.begin(); it != out.end(); ++it) {
        if (it->rank.priority == first || now < it->overdueAt)
            continue;
        if (oldest == out.end() || it->rank.sequence < oldest->rank.sequence)
            oldest = it;
    }
    if (oldest == out.end())
        return out;
    auto &passedOver = m_passedOver[service];
    if (++passedOver < overdueTurn)
        return out;
    passedOver = 0;
    m_preferred = oldest->rank.sequence;
    m_preferredService = service;
    std::rotate(out.begin(), oldest, std::next(oldest));
    return out;
}

} // namespace goldcrestline::policy::forward
