#include "daemon/forward/workspace_counters.h"

#include "core/metric_label.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace goldcrestline::daemon::forward {

using core::TimePoint;

namespace {

constexpr core::Duration halfLife = std::chrono::minutes(1);
// Bounds the number of labels for whoever reads the metrics.
constexpr std::size_t maxNamed = 20;
constexpr std::size_t minSweepSize = 1024;
constexpr double negligibleRequests = 0.01;

// Name and label of each event's counter.
struct EventName
{
    std::string_view counter;
    std::string_view cause;
};
constexpr std::array<EventName, workspaceEventCount> eventNames{{
    {"workspace_requests_total", ""},
    {"workspace_answered_total", ""},
    {"workspace_refused_total", "unknown_key"},
    {"workspace_refused_total", "unproven"},
    {"workspace_refused_total", "over_quota"},
    {"workspace_refused_total", "no_capacity"},
}};

void addTo(WorkspaceCounts &sum, const WorkspaceCounts &counts)
{
    for (std::size_t i = 0; i < counts.size(); ++i)
        sum[i] += counts[i];
}

} // namespace

double WorkspaceCounters::Entry::recentAt(TimePoint now) const
{
    return recent
        * std::exp2(-std::max(0.0, core::toMillis(now - updatedAt)) / core::toMillis(halfLife));
}

void WorkspaceCounters::add(const std::string &workspace, WorkspaceEvent event, TimePoint now)
{
    auto &entry = m_workspaces[workspace];
    ++entry.counts.at(static_cast<std::size_t>(event));
    if (event != WorkspaceEvent::Request)
        return;
    entry.recent = entry.recentAt(now) + 1;
    entry.updatedAt = now;
    if (m_workspaces.size() >= std::max(m_sweepAt, minSweepSize))
        removeIdle(now);
}

void WorkspaceCounters::removeIdle(TimePoint now)
{
    std::erase_if(m_workspaces, [&](const auto &it) {
        if (it.second.recentAt(now) >= negligibleRequests)
            return false;
        addTo(m_removed, it.second.counts);
        return true;
    });
    m_sweepAt = 2 * m_workspaces.size();
}

std::vector<std::pair<std::string, WorkspaceCounts>> WorkspaceCounters::busiest(std::size_t limit,
                                                                                TimePoint now) const
{
    std::vector<std::pair<double, const std::string *>> order;
    order.reserve(m_workspaces.size());
    for (const auto &it : m_workspaces)
        order.emplace_back(it.second.recentAt(now), &it.first);
    std::sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
    });
    std::vector<std::pair<std::string, WorkspaceCounts>> out;
    auto others = m_removed;
    for (const auto &it : order) {
        const auto &counts = m_workspaces.at(*it.second).counts;
        if (out.size() < limit) {
            out.emplace_back(*it.second, counts);
        } else {
            addTo(others, counts);
        }
    }
    out.emplace_back("other", others);
    return out;
}

std::string WorkspaceCounters::format(TimePoint now) const
{
    std::string out;
    if (m_workspaces.empty())
        return out;
    for (const auto &[name, counts] : busiest(maxNamed, now)) {
        for (std::size_t i = 0; i < counts.size(); ++i) {
            const auto &event = eventNames[i];
            out += "goldcrestline_" + std::string(event.counter) + "{workspace=\""
                + core::escapeLabel(name) + "\"";
            if (!event.cause.empty())
                out += ",cause=\"" + std::string(event.cause) + "\"";
            out += "} " + std::to_string(counts[i]) + "\n";
        }
    }
    return out;
}

} // namespace goldcrestline::daemon::forward
