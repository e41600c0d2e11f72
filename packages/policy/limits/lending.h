#pragma once

#include "core/clock.h"
#include "policy/limits/token_bucket.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

// Plan limits over the whole fleet: one host lends each plan's tokens in short batches.
namespace goldcrestline::policy::limits {

// How loans are sized and how long they are good for.
struct LendingTimings
{
    // Longest time over which an unused token may still be spent.
    core::Duration loanLife = std::chrono::milliseconds(400);
    // Demand that one loan covers.
    core::Duration batch = std::chrono::milliseconds(200);
    // Time's worth of rate that the lender's bucket keeps.
    core::Duration burst = std::chrono::milliseconds(300);
    // Wait for the lender's answer, after which the host's own share is used.
    core::Duration lenderTimeout = std::chrono::milliseconds(100);
};

// The lending side of one host. Not thread-safe.
class Lender
{
public:
    explicit Lender(LendingTimings times) : m_times(times) { }

    // Lends up to `wanted` tokens of `plan`. A bucket that is new here starts full, so a change of
    // lender admits at most one more burst.
    int lend(const std::string &plan, double ratePerSecond, int wanted, core::TimePoint now);

private:
    LendingTimings m_times;
    std::map<std::string, TokenBucket> m_buckets;
};

// What the borrowing side answers for one request.
enum class Admission { Admitted, Refused, AskLender };

// The borrowing side of one host and plan. Not thread-safe.
class Borrower
{
public:
    explicit Borrower(LendingTimings times, core::TimePoint now) : m_times(times), m_windowAt(now)
    { }

    // Counts the request as demand and takes a token if one is here. AskLender: hold the request
    // until the lender answered, then call retry().
    Admission admit(core::TimePoint now);

    // Takes a token for a held request, from loans or, if the lender is silent, from the share.
    // AskLender: more requests were held than the last loan was for.
    Admission retry(double ratePerSecond, std::size_t liveHosts, core::TimePoint now);

    // Returns how many tokens to ask for, or zero if an answer is awaited.
    int ask(std::size_t held);

    // Takes the lender's answer to a request for `wanted` tokens.
    void onLoan(int tokens, int wanted, core::TimePoint now);

    // Notes that the lender did not answer.
    void onLenderTimeout();

    // Returns when a refused caller should come back.
    core::Millis retryAfter() const;

private:
    struct Loan
    {
        int tokens;
        core::TimePoint endsAt;
    };

    bool takeLoan(core::TimePoint now);
    void countDemand(core::TimePoint now);

    LendingTimings m_times;
    std::deque<Loan> m_loans;
    // The host's own share of the limit, used while the lender is silent.
    std::optional<TokenBucket> m_own;
    core::TimePoint m_windowAt;
    int m_windowDemand = 0;
    double m_demandPerSecond = 0;
    bool m_asked = false;
    bool m_lenderSilent = false;
    bool m_lenderEmpty = false;
    core::TimePoint m_emptyUntil{};
};

} // namespace goldcrestline::policy::limits
