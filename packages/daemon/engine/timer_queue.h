#pragma once

#include "core/clock.h"

#include <functional>
#include <map>

namespace goldcrestline::daemon::engine {

// Callbacks ordered by the time at which they are due. Not thread-safe.
class TimerQueue
{
public:
    // Sets a hook that is called whenever a callback is scheduled that is due before all others.
    void setOnEarlierDeadline(std::function<void()> onEarlierDeadline)
    {
        m_onEarlierDeadline = std::move(onEarlierDeadline);
    }

    // Schedules `callback` for the first runDue() at or after `due`.
    void schedule(core::TimePoint due, std::function<void(core::TimePoint now)> callback)
    {
        const bool earlier = due < nextDue();
        m_entries.emplace(due, std::move(callback));
        if (earlier && m_onEarlierDeadline)
            m_onEarlierDeadline();
    }

    // Runs all callbacks that are due at `now`.
    void runDue(core::TimePoint now)
    {
        while (!m_entries.empty() && m_entries.begin()->first <= now) {
            auto callback = std::move(m_entries.begin()->second);
            m_entries.erase(m_entries.begin());
            callback(now);
        }
    }

    // Returns the earliest due time, or TimePoint::max() if nothing is scheduled.
    core::TimePoint nextDue() const
    {
        return m_entries.empty() ? core::TimePoint::max() : m_entries.begin()->first;
    }

private:
    std::function<void()> m_onEarlierDeadline;
    std::multimap<core::TimePoint, std::function<void(core::TimePoint)>> m_entries;
};

} // namespace goldcrestline::daemon::engine
