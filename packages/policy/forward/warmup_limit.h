#pragma once

#include "core/clock.h"
#include "policy/forward/request_limit.h"
#include "policy/forward/warmup_share.h"

#include <functional>
#include <optional>

namespace goldcrestline::policy::forward {

// Limits one host's requests to a server while that is cold. Without coordination the requests of
// many hosts to one server are nearly a Poisson process, so that the rate leaves room for its
// variation below the tolerances. Not thread-safe.
class WarmupLimit
{
public:
    // Sets for how long the server stays cold, 0 if it is not, and the requests per second that it
    // stands meanwhile, 0 for no limit. `random` returns a uniform number in [0, 1).
    void set(core::Millis left, double perSecond, const WarmupShare &share,
             const std::function<double()> &random, core::TimePoint now);

    // Records that the server itself told its state, which its entry must not override for a time.
    void onReport(core::TimePoint now) { m_reportedAt = now; }
    bool reportedRecently(core::TimePoint now) const;

    // Returns for how long the server stays cold; 0 if it is not cold.
    core::Millis left(core::TimePoint now) const;

    // Sets this host's share. Call at each change.
    void setShare(const WarmupShare &share, core::TimePoint now);

    // Returns whether a request may be sent.
    bool allows(core::TimePoint now) const;
    // Returns the time, in ms, until a request may be sent.
    double waitMs(core::TimePoint now) const;
    // Returns this host's requests per second; nothing while there is no limit.
    std::optional<double> perSecond(core::TimePoint now) const;

    // Records a request that was sent, and that one which was sent did not count.
    void onSent(core::TimePoint now);
    void onNotCounted();

private:
    bool limits(core::TimePoint now) const { return m_limit && now < m_coldUntil; }

    core::TimePoint m_coldUntil{};
    std::optional<core::TimePoint> m_reportedAt;
    double m_perSecond = 0;
    double m_share = 1;
    std::optional<RequestLimit> m_limit;
};

} // namespace goldcrestline::policy::forward
