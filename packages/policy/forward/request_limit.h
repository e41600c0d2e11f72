#pragma once

#include "core/clock.h"

namespace goldcrestline::policy::forward {

// How a host divides its share of a rate into tokens.
struct RequestLimitParameters
{
    // Fraction of the limit that the hosts divide among themselves. The remainder covers hosts that
    // do not know of the limit yet, such as restarted ones.
    double usableFraction = 0.95;
    // Lowest rate, over all hosts, at which a server gets requests: its answers tell when its limit
    // ends.
    double minPerSecond = 0.5;
    // Requests that a host may send at once after a pause, as a time at its rate; at least one.
    double burstSeconds = 0.25;
    // A token that is not used within `burstSeconds` is lost, also if it is the host's only one, so
    // that many hosts with small shares do not all hold a token when their demand rises.
    bool tokensExpire = false;
    // Tokens at the start. Below 1, so that the first tokens of many hosts come one after the other
    // if their numbers differ.
    double initialTokens = 0;
};

// One host's share of the request rate that a server accepts from all hosts together, as a token
// bucket. `share` is this host's fraction of the rate, above 0 and at most 1. Not thread-safe.
class RequestLimit
{
public:
    // The bucket begins empty, since this host has just sent requests without a limit.
    // Precondition: the rate, in requests per second, is finite and not negative.
    RequestLimit(double fleetPerSecond, core::TimePoint now,
                 RequestLimitParameters parameters = {});

    // Changes the rate that the server accepts from all hosts, in requests per second.
    // Precondition: as above.
    void setRate(double fleetPerSecond, double share, core::TimePoint now);

    // Returns whether a request may be sent.
    bool allows(double share, core::TimePoint now) const { return tokens(share, now) >= 1; }

    // Records a request that was sent.
    void onSent(double share, core::TimePoint now);

    // Records that a request which was sent does not count.
    void onNotCounted() { m_tokens += 1; }

    // Sets the time at its rate for which a host keeps tokens.
    void setBurst(double seconds) { m_parameters.burstSeconds = seconds; }

    // Returns this host's requests per second.
    double perSecond(double share) const { return m_fleetPerSecond * share; }

    // Returns the time, in ms, until a further request may be sent.
    double waitMs(double share, core::TimePoint now) const;

private:
    double tokens(double share, core::TimePoint now) const;
    double usableRate(double fleetPerSecond) const;

    RequestLimitParameters m_parameters;
    double m_fleetPerSecond;
    double m_tokens;
    core::TimePoint m_refilledAt;
};

} // namespace goldcrestline::policy::forward
