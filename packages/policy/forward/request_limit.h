#pragma once

#include "core/clock.h"

namespace goldcrestline::policy::forward {

// One host's share of the request rate that a server accepts from all hosts together, as a token
// bucket. `share` is this host's fraction of the rate, above 0 and at most 1. Not thread-safe.
class RequestLimit
{
public:
    // The bucket begins empty, since this host has just sent requests without a limit.
    // Precondition: the rate, in requests per second, is finite and not negative.
    RequestLimit(double fleetPerSecond, core::TimePoint now);

    // Changes the rate that the server accepts from all hosts, in requests per second.
    // Precondition: as above.
    void setRate(double fleetPerSecond, double share, core::TimePoint now);

    // Returns whether a request may be sent.
    bool allows(double share, core::TimePoint now) const { return tokens(share, now) >= 1; }

    // Records a request that was sent.
    void onSent(double share, core::TimePoint now);

    // Returns this host's requests per second.
    double perSecond(double share) const { return m_fleetPerSecond * share; }

    // Returns the time, in ms, until a further request may be sent.
    double waitMs(double share, core::TimePoint now) const;

private:
    double tokens(double share, core::TimePoint now) const;

    double m_fleetPerSecond;
    double m_tokens = 0;
    core::TimePoint m_refilledAt;
};

} // namespace goldcrestline::policy::forward
