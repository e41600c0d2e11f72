#pragma once

#include "core/clock.h"
#include "policy/config/lists.h"

#include <cstdint>

// Refuses queries at once when a service's servers cannot take more.
namespace goldcrestline::policy::admission {

// Adaptive limit on one service's concurrent queries at this host. Not thread-safe.
class ConcurrencyLimiter
{
public:
    // `initial` and `maximum` count concurrent queries. Precondition: 1 <= initial <= maximum.
    ConcurrencyLimiter(double initial, double maximum);

    // Admits a query or refuses it; lower priorities may fill only a part of the limit.
    bool admit(config::Priority priority);

    // Takes the end of an admitted query. `strained`: a server shed or the answer was late.
    void finished(bool strained, core::TimePoint now);

    // Returns when a refused caller should come back.
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
