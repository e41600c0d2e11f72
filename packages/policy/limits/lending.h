#pragma once

#include "core/clock.h"
#include "policy/limits/token_bucket.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

// Fleet-wide rate limits of the plans and quotas of the workspaces. For each of them one host, the
// lender, owns the token bucket; the other hosts borrow tokens from it in small batches with a
// short lifetime. docs/design/quotas.md describes the quotas.
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
    // Shortest period over which the rate of demand is measured.
    core::Duration demandWindow = std::chrono::milliseconds(200);
    // Time without requests ahead of demand after the start, and after the lender was exhausted:
    // its bucket is not full and other hosts need its tokens more.
    core::Duration nothingAheadPeriod = std::chrono::seconds(2);
};

// Timings of the workspaces' quotas.
LendingTimings quotaTimings();

// Terms on which a host lends tokens of a workspace's quota.
struct QuotaTerms
{
    // Quota of the workspace over all hosts.
    double ratePerSecond = 0;
    double burst = 0;
    // Tokens that a lender may lend in addition to what earlier lenders have lent.
    double initialTokens = 0;
    // Share of the fleet that the lender sees, 0 to 1.
    double visibleShare = 1;
    // Place of this host among the hosts that may lend: 0 is the lender, 1 its deputy.
    std::size_t rank = 0;
};

// Response of a lender.
struct QuotaLoan
{
    int tokens = 0;
    // Time until a further token is due, if there were fewer than wanted.
    core::Duration wait{0};
};

// The lending side of one host, with the buckets of all plans or workspaces. Not thread-safe.
class Lender
{
public:
    explicit Lender(LendingTimings times) : m_times(times) { }

    // Lends up to `wanted` tokens of `plan` and returns how many. A new bucket starts full, so a
    // change of lender admits at most one additional burst.
    int lend(const std::string &plan, double ratePerSecond, int wanted, core::TimePoint now);

    // Takes back `returned` tokens of a workspace's quota and lends up to `wanted`. A new bucket
    // starts with the terms' initial tokens, since the previous lender may just have lent a burst.
    QuotaLoan lendQuota(const std::string &workspace, const QuotaTerms &terms, int wanted,
                        int returned, core::TimePoint now);

    // Reduces the buckets of all workspaces, after a time in which other hosts may have lent in
    // place of this one.
    void restart(core::TimePoint now);

    // Drops the buckets of the workspaces for which `known` returns false.
    void forgetUnknown(const std::function<bool(const std::string &)> &known);

private:
    struct QuotaBucket
    {
        TokenBucket tokens;
        double initialTokens = 0;
        // Largest visible share for which initial tokens were added.
        double initialShare = 0;
    };

    LendingTimings m_times;
    std::map<std::string, TokenBucket> m_buckets;
    std::unordered_map<std::string, QuotaBucket> m_quotas;
    std::optional<core::TimePoint> m_restartedAt;
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
        : m_times(times), m_windowStart(now), m_nothingAheadUntil(now + times.nothingAheadPeriod)
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

    // The following are for quotas.

    // Returns the number of tokens to request for `held` requests and for those that are likely to
    // follow within the lifetime of a loan; 0 if none are needed. `burst` of the workspace: a small
    // one leaves nothing to hold ahead of requests.
    int tokensToBorrow(std::size_t held, double burst, core::TimePoint now);

    // Records the response to a request for `wanted` tokens. The tokens are used until `expiresAt`.
    void onQuotaLoan(const QuotaLoan &loan, int wanted, core::TimePoint expiresAt,
                     core::TimePoint now);

    // Records tokens that arrived after the request was given up, or whose request was not
    // executed.
    void addTokens(int tokens, core::TimePoint expiresAt);

    // Consumes a borrowed token for a held request; returns whether there was one.
    bool admitBorrowed(core::TimePoint now) { return consumeLoan(now); }

    // Returns whether the last loan was smaller than requested.
    bool lenderExhausted() const { return m_lenderExhausted; }

    // Returns whether this host holds borrowed tokens.
    bool holdsTokens() const { return !m_loans.empty(); }

    // Removes and returns the tokens that expired unused, which the lender gets back.
    int takeUnused(core::TimePoint now);

    // Drops all borrowed tokens, since the quota was lowered.
    void dropTokens() { m_loans.clear(); }

    // Returns when a refused caller of the workspace should retry: once a token is due according to
    // the lender, spread over the time in which those refused recently get theirs; at most 5 s.
    // `random` is uniform in [0, 1).
    core::Millis quotaRetryAfter(double ratePerSecond, double random, core::TimePoint now);

private:
    struct Loan
    {
        int tokens;
        core::TimePoint expiresAt;
    };

    bool consumeLoan(core::TimePoint now);
    void discardExpired(core::TimePoint now);
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
    // Until then no tokens are requested ahead of requests, since the lender was exhausted.
    core::TimePoint m_nothingAheadUntil;
    // Tokens that expired unused and are not returned yet.
    int m_unused = 0;
    // Requests refused in the current period, and its start.
    int m_refused = 0;
    core::TimePoint m_refusedSince{};
};

} // namespace goldcrestline::policy::limits
