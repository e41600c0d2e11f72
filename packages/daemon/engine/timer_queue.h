#pragma once

#include "core/clock.h"

#include <functional>
#include <map>

namespace goldcrestline::daemon::engine {

// Work to do at set times. Owned by one task.
class TimerQueue
{
public:
    // Sets a hook that is called whenever work becomes due earlier than all other work.
    void setOnEarlier(std::function<void()> onEarlier) { m_onEarlier = std::move(onEarlier); }

    // Runs `work` at `at` or as soon as possible after it.
    void at(core::TimePoint at, std::function<void(core::TimePoint now)> work)
    {
        const bool earlier = at < next();
        m_entries.emplace(at, std::move(work));
        if (earlier && m_onEarlier)
            m_onEarlier();
    }

    // Runs all work that is due.
    void runDue(core::TimePoint now)
    {
        while (!m_entries.empty() && m_entries.begin()->first <= now) {
            auto work = std::move(m_entries.begin()->second);
            m_entries.erase(m_entries.begin());
            work(now);
        }
    }

    // Returns when work is due next.
    core::TimePoint next() const
    {
        return m_entries.empty() ? core::TimePoint::max() : m_entries.begin()->first;
    }

private:
    std::function<void()> m_onEarlier;
    std::multimap<core::TimePoint, std::function<void(core::TimePoint)>> m_entries;
};

} // namespace goldcrestline::daemon::engine
