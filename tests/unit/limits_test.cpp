#include "policy/limits/lending.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <rapidcheck/catch.h>

using namespace goldcrestline;
using namespace goldcrestline::policy::limits;
using namespace std::chrono_literals;
using core::TimePoint;

namespace {

// Simulation of nine hosts that borrow the tokens of one plan, in simulated time.
struct Fleet
{
    static constexpr std::size_t hosts = 9;
    LendingTimings times;
    TimePoint now = TimePoint{} + 1h;
    std::vector<Lender> lenders;
    std::vector<Borrower> borrowers;
    std::vector<std::size_t> lenderOf = std::vector<std::size_t>(hosts, 0);
    // Requests admitted within the last ten seconds.
    std::deque<TimePoint> admitted;
    // Largest number of requests admitted within any ten seconds.
    std::size_t peak = 0;
    std::size_t total = 0;
    bool lenderReachable = true;

    Fleet()
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            lenders.emplace_back(times);
            borrowers.emplace_back(times, now);
        }
    }

    void request(std::size_t host, double rate)
    {
        auto &borrower = borrowers[host];
        auto admission = borrower.admit(now);
        if (admission == Admission::AskLender) {
            const int wanted = borrower.tokensToRequest(1);
            if (lenderReachable)
                borrower.onLoan(lenders[lenderOf[host]].lend("p", rate, wanted, now), wanted, now);
            else
                borrower.onLenderTimeout();
            admission = borrower.admitHeld(rate, hosts, now);
        }
        if (admission != Admission::Admitted)
            return;
        ++total;
        admitted.push_back(now);
        while (now - admitted.front() > 10s)
            admitted.pop_front();
        peak = std::max(peak, admitted.size());
    }

    // Sends `demand` requests per second, in a Poisson process, to random hosts.
    void run(core::Duration length, double rate, double demand, std::mt19937 &random)
    {
        const auto end = now + length;
        std::exponential_distribution<double> interval(demand);
        while (now < end) {
            request(random() % hosts, rate);
            now += std::chrono::duration_cast<core::Duration>(
                std::chrono::duration<double>(interval(random)));
        }
    }
};

} // namespace

TEST_CASE("the fleet-wide rate of a plan stays within the limit and uses it", "[limits]")
{
    rc::prop("at most 110 percent of the limit are admitted in any ten seconds", [] {
        std::mt19937 random(*rc::gen::inRange(1U, 100000U));
        const double rate = *rc::gen::element(20, 100, 500);
        const double load = *rc::gen::element(1.5, 3.0, 10.0);
        Fleet fleet;
        fleet.run(30s, rate, rate * load, random);
        RC_ASSERT(static_cast<double>(fleet.peak) <= 11 * rate);
        RC_ASSERT(static_cast<double>(fleet.total) >= 0.9 * 30 * rate);
    });
}

TEST_CASE("a plan within its limit is not refused", "[limits]")
{
    std::mt19937 random(3);
    Fleet fleet;
    fleet.run(20s, 200, 100, random);
    CHECK(fleet.total > 1800);
}

TEST_CASE("hosts that cannot reach the lender admit from local shares of the limit", "[limits]")
{
    std::mt19937 random(4);
    Fleet fleet;
    fleet.lenderReachable = false;
    fleet.run(30s, 100, 1000, random);
    CHECK(fleet.peak <= 1100);
    CHECK(fleet.total > 2500);
}

TEST_CASE("two lenders admit at most twice the limit while hosts disagree on the lender",
          "[limits]")
{
    std::mt19937 random(5);
    Fleet fleet;
    for (std::size_t i = 0; i < Fleet::hosts; i += 2)
        fleet.lenderOf[i] = 1;
    fleet.run(30s, 100, 1000, random);
    CHECK(fleet.peak <= 2 * 1100);
    CHECK(fleet.peak > 1100);
    // The limit holds again once the hosts agree on the lender.
    fleet.lenderOf.assign(Fleet::hosts, 0);
    fleet.run(11s, 100, 1000, random);
    fleet.peak = 0;
    fleet.run(20s, 100, 1000, random);
    CHECK(fleet.peak <= 1100);
}
