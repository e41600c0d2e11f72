#pragma once

#include "core/clock.h"
#include "policy/limits/token_bucket.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

// Fleet-wide rate limits of the plans. For each plan one host, the lender, owns the token bucket;
// the other hosts borrow tokens from it in small batches with a short lifetime.
namespace goldcrestline::policy::limits {

// Sizes of buckets and loans, expressed as durations, and time limits.
struct LendingTimings
{
    // Time after which the unused tokens of a loan expire.
    core::Duration loanLifetime = std::chrono::milliseconds(400);
    // Length of the period whose expected demand one loan covers.
    core::Duration loanCoverage = std::chrono::milliseconds(200);
    // Burst size of a bucket, as the time in which it fills at the plan's rate.
    core::Duration bucketFillTime = std::chrono::milliseconds(300);
    // Time to wait for the lender's response, after which the host admits from its local share of
    // the limit.
    core::Duration lenderTimeout = std::chrono::milliseconds(100);
};

// The lending side of one host, with the buckets of all plans. Not thread-safe.
class Lender
{
public:
    explicit Lender(LendingTimings times) : m_times(times) { }

    // Lends up to `wanted` tokens of `plan` and returns how many. A new bucket starts full, so a
    // change of lender admits at most one additional burst.
    int lend(const std::string &plan, double ratePerSecond, int wanted, core::TimePoint now);

private:
    LendingTimings m_times;
    std::map<std::string, TokenBucket> m_buckets;
};

// Admission decision on one request.
enum class Admission {
    Admitted,
    Refused,
    // No token is available locally: tokens have to be requested from the lender first.
    AskLender,
};

// The borrowing side of one host and plan. Not thread-safe.
class Borrower
{
public:
    explicit Borrower(LendingTimings times, core::TimePoint now)
        : m_times(times), m_windowStart(now)
    { }

    // Counts the request as demand and consumes a borrowed token if there is one. On AskLender the
    // caller holds the request until onLoan() or onLenderTimeout(), then calls admitHeld().
    Admission admit(core::TimePoint now);

    // Decides on a held request. Consumes a borrowed token or, if the lender did not respond, one
    // of this host's local share, which is the rate divided by `liveHosts`. AskLender: more
    // requests were held than the last loan had tokens for.
    Admission admitHeld(double ratePerSecond, std::size_t liveHosts, core::TimePoint now);

    // Returns the number of tokens to request from the lender, or 0 while a request is in flight.
    // `held` is the number of held requests.
    int tokensToRequest(std::size_t held);

    // Records a loan of `tokens` in response to a request for `wanted` tokens.
    void onLoan(int tokens, int wanted, core::TimePoint now);

    // Records that the lender did not respond in time, could not be reached or does not know the
    // plan.
    void onLenderTimeout();

    // Returns the time after which a refused caller should retry.
    core::Millis retryAfter() const;

private:
    struct Loan
    {
        int tokens;
        core::TimePoint expiresAt;
    };

    bool consumeLoan(core::TimePoint now);
    void countDemand(core::TimePoint now);

    LendingTimings m_times;
    std::deque<Loan> m_loans;
    // The host's local share of the limit, used while the lender does not respond.
    std::optional<TokenBucket> m_localBucket;
    core::TimePoint m_windowStart;
    // Requests in the current demand window.
    int m_windowDemand = 0;
    double m_demandPerSecond = 0;
    bool m_requestInFlight = false;
    bool m_lenderTimedOut = false;
    // The last loan had fewer tokens than were requested.
    bool m_lenderExhausted = false;
    // Until then no tokens are requested, since the last loan had none.
    core::TimePoint m_refuseUntil{};
};

} // namespace goldcrestline::policy::limits
