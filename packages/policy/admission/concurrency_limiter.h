#pragma once

#include "core/clock.h"
#include "policy/config/lists.h"

#include <cstdint>

// Admission control: rejects queries early when the servers of a service are overloaded.
namespace goldcrestline::policy::admission {

// Adaptive limit of one service's concurrent queries at this host: additive increase,
// multiplicative decrease (AIMD). Not thread-safe.
class ConcurrencyLimiter
{
public:
    // `initial` and `maximum` are numbers of concurrent queries. Precondition:
    // 1 <= initial <= maximum.
    ConcurrencyLimiter(double initial, double maximum);

    // Returns whether a query is admitted; lower priorities may use only a share of the limit. Each
    // admitted query must be followed by finished().
    bool admit(config::Priority priority);

    // Records the end of an admitted query. `overloaded`: the answer was late or incomplete, as
    // when servers shed its attempts.
    void finished(bool overloaded, core::TimePoint now);

    // Returns the time after which a rejected caller should retry.
    core::Millis retryAfter(core::TimePoint now) const;

    int inFlight() const { return m_inFlight; }
    double limit() const { return m_limit; }

private:
    double m_limit;
    double m_maximum;
    int m_inFlight = 0;
    core::TimePoint m_decreasedAt{};
};

} // namespace goldcrestline::policy::admission
