#include "policy/limits/lending.h"

#include <cmath>

namespace goldcrestline::policy::limits {

using core::TimePoint;

namespace {

// Length of the window over which the rate of demand is measured.
constexpr core::Duration demandWindow = std::chrono::milliseconds(200);
// Time for which requests are refused without another request to a lender that had no tokens.
constexpr core::Duration exhaustedRefusalPeriod = std::chrono::milliseconds(20);
constexpr core::Millis callerRetryDelay{250};

double seconds(core::Duration d)
{
    return core::toMillis(d) / 1000;
}

} // namespace

int Lender::lend(const std::string &plan, double ratePerSecond, int wanted, TimePoint now)
{
    const double burst = std::max(1.0, ratePerSecond * seconds(m_times.bucketFillTime));
    auto it = m_buckets.find(plan);
    if (it == m_buckets.end())
        it = m_buckets.emplace(plan, TokenBucket(ratePerSecond, burst, now)).first;
    it->second.setRate(ratePerSecond, burst, now);
    return it->second.take(wanted, now);
}

void Borrower::countDemand(TimePoint now)
{
    ++m_windowDemand;
    const auto age = now - m_windowStart;
    if (age < demandWindow)
        return;
    m_demandPerSecond = m_windowDemand / seconds(age);
    m_windowDemand = 0;
    m_windowStart = now;
}

bool Borrower::consumeLoan(TimePoint now)
{
    while (!m_loans.empty()) {
        auto &loan = m_loans.front();
        if (loan.tokens > 0 && now < loan.expiresAt) {
            --loan.tokens;
            return true;
        }
        m_loans.pop_front();
    }
    return false;
}

Admission Borrower::admit(TimePoint now)
{
    countDemand(now);
    if (consumeLoan(now))
        return Admission::Admitted;
    if (now < m_refuseUntil)
        return Admission::Refused;
    return Admission::AskLender;
}

Admission Borrower::admitHeld(double ratePerSecond, std::size_t liveHosts, TimePoint now)
{
    if (consumeLoan(now))
        return Admission::Admitted;
    if (!m_lenderTimedOut)
        return m_lenderExhausted ? Admission::Refused : Admission::AskLender;
    const double share = ratePerSecond / static_cast<double>(std::max<std::size_t>(1, liveHosts));
    const double burst = std::max(1.0, share * seconds(m_times.bucketFillTime));
    if (!m_localBucket)
        m_localBucket.emplace(share, burst, now);
    m_localBucket->setRate(share, burst, now);
    return m_localBucket->take(1, now) == 1 ? Admission::Admitted : Admission::Refused;
}

int Borrower::tokensToRequest(std::size_t held)
{
    if (m_requestInFlight)
        return 0;
    m_requestInFlight = true;
    const double demand = m_demandPerSecond * seconds(m_times.loanCoverage);
    return std::max(static_cast<int>(held), static_cast<int>(std::ceil(demand)));
}

void Borrower::onLoan(int tokens, int wanted, TimePoint now)
{
    m_requestInFlight = false;
    m_lenderTimedOut = false;
    m_lenderExhausted = tokens < wanted;
    if (tokens == 0) {
        m_refuseUntil = now + exhaustedRefusalPeriod;
    } else {
        m_loans.push_back({tokens, now + m_times.loanLifetime});
    }
}

void Borrower::onLenderTimeout()
{
    m_requestInFlight = false;
    m_lenderTimedOut = true;
}

core::Millis Borrower::retryAfter() const
{
    return callerRetryDelay;
}

} // namespace goldcrestline::policy::limits
