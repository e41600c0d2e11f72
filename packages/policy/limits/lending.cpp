#include "policy/limits/lending.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrestline::policy::limits {

using core::TimePoint;

namespace {

// Time for which requests are refused without another request to a lender that had no tokens.
constexpr core::Duration exhaustedRefusalPeriod = std::chrono::milliseconds(20);
constexpr core::Millis callerRetryDelay{250};

// Share of the rate that the deputy lends while the lender does not answer it. The lender may still
// answer others until the hosts have noticed a partition.
constexpr double deputyShare = 0.3;
// Time after a pause, and share of the rate that a lender lends then: the host that lent meanwhile
// does so until it sees that this one has returned.
constexpr core::Duration returnedPeriod = std::chrono::seconds(1);
constexpr double returnedShare = 0.5;
// Share of the rate that other hosts lend, which are asked only because the views of the members
// differ.
constexpr double otherLenderShare = 0.1;
// Bounds of the time for which requests are refused without another request to the lender.
constexpr core::Duration minExhaustedPeriod = std::chrono::milliseconds(5);
constexpr core::Duration maxExhaustedPeriod = std::chrono::seconds(1);
// Fraction of a burst that one host may hold ahead of its requests.
constexpr double maxAheadOfBurst = 0.25;
// Upper bound on the tokens that one host returns at once.
constexpr int maxUnused = 100000;
// Longest wait that a lender states.
constexpr core::Duration maxWait = std::chrono::seconds(5);
constexpr double minRetryMs = 60;
constexpr double maxRetryMs = 5000;
// Latest start of the range of retry times, so that the range stays below its upper bound.
constexpr double maxRetryStartMs = 3000;
constexpr double relativeRetrySpread = 4.0 / 3;
// Period over which refused requests are counted.
constexpr core::Duration refusedPeriod = std::chrono::seconds(2);

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

LendingTimings quotaTimings()
{
    LendingTimings times;
    // A borrowed token is used up to this long after it was lent, which adds to the requests of a
    // window: 0.2 s of the 0.5 s by which they may exceed the quota.
    times.loanLifetime = std::chrono::milliseconds(200);
    times.loanCoverage = std::chrono::milliseconds(150);
    times.demandWindow = std::chrono::seconds(1);
    return times;
}

QuotaLoan Lender::lendQuota(const std::string &workspace, const QuotaTerms &terms, int wanted,
                            int returned, TimePoint now)
{
    const double fullBurst = std::max(1.0, terms.burst);
    const double initial = std::min(fullBurst, terms.initialTokens);
    auto it = m_quotas.find(workspace);
    if (it == m_quotas.end()) {
        const QuotaBucket bucket{TokenBucket(0, fullBurst, 0, now), 0, 0};
        it = m_quotas.emplace(workspace, bucket).first;
    }
    auto &bucket = it->second;
    bucket.initialTokens = initial;
    double share = terms.visibleShare;
    if (m_restartedAt && now - *m_restartedAt < returnedPeriod)
        share *= returnedShare;
    if (terms.rank != 0)
        share *= terms.rank == 1 ? deputyShare : otherLenderShare;
    bucket.tokens.setRate(terms.ratePerSecond * share,
                          terms.rank == 0 ? fullBurst : std::max(1.0, initial / 2), now);
    // Several hosts may take themselves for the lender while hosts that started together learn of
    // each other. Each gets the part of the initial tokens that belongs to the hosts it sees.
    if (terms.visibleShare > bucket.initialShare) {
        bucket.tokens.add(initial * (terms.visibleShare - bucket.initialShare));
        bucket.initialShare = terms.visibleShare;
    }
    bucket.tokens.add(std::max(0, returned));
    QuotaLoan loan;
    loan.tokens = bucket.tokens.take(std::max(0, wanted), now);
    if (loan.tokens < wanted)
        loan.wait = bucket.tokens.untilToken(maxWait);
    return loan;
}

void Lender::restart(TimePoint now)
{
    m_restartedAt = now;
    for (auto &it : m_quotas) {
        auto &bucket = it.second;
        bucket.tokens.discardAbove(bucket.initialTokens / 2 * bucket.initialShare, now);
    }
}

void Lender::forgetUnknown(const std::function<bool(const std::string &)> &known)
{
    std::erase_if(m_quotas, [&](const auto &it) { return !known(it.first); });
}

void Borrower::countDemand(TimePoint now)
{
    ++m_windowDemand;
    const auto age = now - m_windowStart;
    if (age < m_times.demandWindow)
        return;
    m_demandPerSecond = m_windowDemand / seconds(age);
    m_windowDemand = 0;
    m_windowStart = now;
}

void Borrower::discardExpired(TimePoint now)
{
    std::erase_if(m_loans, [&](const Loan &it) {
        if (it.tokens > 0 && now < it.expiresAt)
            return false;
        m_unused = std::min(maxUnused, m_unused + it.tokens);
        return true;
    });
}

bool Borrower::consumeLoan(TimePoint now)
{
    discardExpired(now);
    if (m_loans.empty())
        return false;
    if (--m_loans.front().tokens == 0)
        m_loans.pop_front();
    return true;
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

int Borrower::tokensToBorrow(std::size_t held, double burst, TimePoint now)
{
    discardExpired(now);
    double ahead = 0;
    const bool likelyUsed = m_demandPerSecond * seconds(m_times.loanLifetime) >= 1;
    if (likelyUsed && now >= m_nothingAheadUntil) {
        ahead = std::min(std::ceil(m_demandPerSecond * seconds(m_times.loanCoverage)),
                         std::floor(maxAheadOfBurst * burst));
    }
    int available = 0;
    for (const auto &it : m_loans)
        available += it.tokens;
    // Requests are held only if there is no token.
    return static_cast<int>(held) + (available == 0 ? static_cast<int>(ahead) : 0);
}

void Borrower::onQuotaLoan(const QuotaLoan &loan, int wanted, TimePoint expiresAt, TimePoint now)
{
    m_lenderExhausted = loan.tokens < wanted;
    addTokens(loan.tokens, expiresAt);
    if (!m_lenderExhausted)
        return;
    m_refuseUntil = now + std::clamp(loan.wait, minExhaustedPeriod, maxExhaustedPeriod);
    m_nothingAheadUntil = now + m_times.nothingAheadPeriod;
}

void Borrower::addTokens(int tokens, TimePoint expiresAt)
{
    if (tokens > 0)
        m_loans.push_back({tokens, expiresAt});
}

int Borrower::takeUnused(TimePoint now)
{
    discardExpired(now);
    return std::exchange(m_unused, 0);
}

core::Millis Borrower::quotaRetryAfter(double ratePerSecond, double random, TimePoint now)
{
    if (now - m_refusedSince >= refusedPeriod) {
        m_refusedSince = now;
        m_refused = 0;
    }
    ++m_refused;
    const double due = std::clamp(core::toMillis(m_refuseUntil - now), minRetryMs, maxRetryStartMs);
    constexpr double millisPerSecond = 1000;
    const double queueMs = millisPerSecond * m_refused / std::max(ratePerSecond, 1e-3);
    const double spread = std::min(std::max(queueMs, due * relativeRetrySpread), maxRetryMs - due);
    return core::Millis(static_cast<std::int64_t>(due + spread * random));
}

} // namespace goldcrestline::policy::limits
