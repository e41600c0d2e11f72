#include "policy/limits/lending.h"

#include <cmath>

namespace goldcrestline::policy::limits {

using core::TimePoint;

namespace {

constexpr core::Duration demandWindow = std::chrono::milliseconds(200);
constexpr core::Duration emptyPause = std::chrono::milliseconds(20);
constexpr core::Millis comeBackAfter{250};

double seconds(core::Duration d)
{
    return core::toMillis(d) / 1000;
}

} // namespace

int Lender::lend(const std::string &plan, double ratePerSecond, int wanted, TimePoint now)
{
    const double burst = std::max(1.0, ratePerSecond * seconds(m_times.burst));
    auto it = m_buckets.find(plan);
    if (it == m_buckets.end())
        it = m_buckets.emplace(plan, TokenBucket(ratePerSecond, burst, now)).first;
    it->second.setRate(ratePerSecond, burst, now);
    return it->second.take(wanted, now);
}

void Borrower::countDemand(TimePoint now)
{
    ++m_windowDemand;
    const auto age = now - m_windowAt;
    if (age < demandWindow)
        return;
    m_demandPerSecond = m_windowDemand / seconds(age);
    m_windowDemand = 0;
    m_windowAt = now;
}

bool Borrower::takeLoan(TimePoint now)
{
    while (!m_loans.empty()) {
        auto &loan = m_loans.front();
        if (loan.tokens > 0 && now < loan.endsAt) {
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
    if (takeLoan(now))
        return Admission::Admitted;
    if (now < m_emptyUntil)
        return Admission::Refused;
    return Admission::AskLender;
}

Admission Borrower::retry(double ratePerSecond, std::size_t liveHosts, TimePoint now)
{
    if (takeLoan(now))
        return Admission::Admitted;
    if (!m_lenderSilent)
        return m_lenderEmpty ? Admission::Refused : Admission::AskLender;
    const double share = ratePerSecond / static_cast<double>(std::max<std::size_t>(1, liveHosts));
    const double burst = std::max(1.0, share * seconds(m_times.burst));
    if (!m_own)
        m_own.emplace(share, burst, now);
    m_own->setRate(share, burst, now);
    return m_own->take(1, now) == 1 ? Admission::Admitted : Admission::Refused;
}

int Borrower::ask(std::size_t held)
{
    if (m_asked)
        return 0;
    m_asked = true;
    const double demand = m_demandPerSecond * seconds(m_times.batch);
    return std::max(static_cast<int>(held), static_cast<int>(std::ceil(demand)));
}

void Borrower::onLoan(int tokens, int wanted, TimePoint now)
{
    m_asked = false;
    m_lenderSilent = false;
    m_lenderEmpty = tokens < wanted;
    if (tokens == 0) {
        m_emptyUntil = now + emptyPause;
    } else {
        m_loans.push_back({tokens, now + m_times.loanLife});
    }
}

void Borrower::onLenderTimeout()
{
    m_asked = false;
    m_lenderSilent = true;
}

core::Millis Borrower::retryAfter() const
{
    return comeBackAfter;
}

} // namespace goldcrestline::policy::limits
