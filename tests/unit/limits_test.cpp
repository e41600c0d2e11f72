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

// Nine hosts that borrow one plan's tokens, in invented time.
struct Fleet
{
    static constexpr std::size_t hosts = 9;
    LendingTimings times;
    TimePoint now = TimePoint{} + 1h;
    std::vector<Lender> lenders;
    std::vector<Borrower> borrowers;
    std::vector<std::size_t> lenderOf = std::vector<std::size_t>(hosts, 0);
    std::deque<TimePoint> admitted;
    std::size_t worst = 0;
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
        worst = std::max(worst, admitted.size());
    }

    // Sends `demand` requests a second to random hosts.
    void run(core::Duration length, double rate, double demand, std::mt19937 &random)
    {
        const auto end = now + length;
        std::exponential_distribution<double> gap(demand);
        while (now < end) {
            request(random() % hosts, rate);
            now += std::chrono::duration_cast<core::Duration>(
                std::chrono::duration<double>(gap(random)));
        }
    }
};

} // namespace

TEST_CASE("a plan's rate over the fleet is within the limit and used", "[limits]")
{
    rc::prop("any ten seconds admit at most 110 percent", [] {
        std::mt19937 random(*rc::gen::inRange(1U, 100000U));
        const double rate = *rc::gen::element(20, 100, 500);
        const double load = *rc::gen::element(1.5, 3.0, 10.0);
        Fleet fleet;
        fleet.run(30s, rate, rate * load, random);
        RC_ASSERT(static_cast<double>(fleet.worst) <= 11 * rate);
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

TEST_CASE("hosts that cannot reach the lender share the limit", "[limits]")
{
    std::mt19937 random(4);
    Fleet fleet;
    fleet.lenderReachable = false;
    fleet.run(30s, 100, 1000, random);
    CHECK(fleet.worst <= 1100);
    CHECK(fleet.total > 2500);
}

TEST_CASE("two lenders admit at most twice the limit while hosts disagree", "[limits]")
{
    std::mt19937 random(5);
    Fleet fleet;
    for (std::size_t i = 0; i < Fleet::hosts; i += 2)
        fleet.lenderOf[i] = 1;
    fleet.run(30s, 100, 1000, random);
    CHECK(fleet.worst <= 2 * 1100);
    CHECK(fleet.worst > 1100);
    // After they agree again, the limit holds.
    fleet.lenderOf.assign(Fleet::hosts, 0);
    fleet.run(11s, 100, 1000, random);
    fleet.worst = 0;
    fleet.run(20s, 100, 1000, random);
    CHECK(fleet.worst <= 1100);
}
