#include "adapters/logging/line_budget.h"
#include "adapters/logging/log.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <unistd.h>

using namespace goldcrestline;
using namespace goldcrestline::adapters::logging;
using namespace std::chrono_literals;

TEST_CASE("log lines are bounded, and those left out are counted once")
{
    LineBudget budget(100, 50);
    auto now = core::TimePoint{} + 1h;
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += budget.take(now) ? 1 : 0;
    CHECK(written == 50);
    CHECK(budget.takeLeftOut() == 950);
    CHECK(budget.takeLeftOut() == 0);
    for (int i = 0; i < 1000; ++i) {
        now += 1ms;
        written += budget.take(now) ? 1 : 0;
    }
    CHECK(written <= 150);
    CHECK(written >= 148);
    CHECK(budget.leftOut() >= 950 + 900);
}

TEST_CASE("a reader of the log that stops reading does not stop the host")
{
    std::array<int, 2> pipe{};
    REQUIRE(::pipe(pipe.data()) == 0);
    const int before = ::dup(STDOUT_FILENO);
    REQUIRE(::dup2(pipe[1], STDOUT_FILENO) == STDOUT_FILENO);
    configure(Level::Info);
    const auto leftOutBefore = linesLeftOut();
    auto writing = std::async(std::launch::async, [] {
        constexpr LogChannel log("test:");
        for (int i = 0; i < 900; ++i)
            log.info(std::string(200, 'x'));
    });
    const bool ended = writing.wait_for(10s) == std::future_status::ready;
    REQUIRE(::dup2(before, STDOUT_FILENO) == STDOUT_FILENO);
    ::close(before);
    // Without its reader a writer that waits goes on, so that the test ends either way.
    const auto handler = std::signal(SIGPIPE, SIG_IGN);
    ::close(pipe[0]);
    writing.wait();
    ::close(pipe[1]);
    std::signal(SIGPIPE, handler);
    const auto leftOut = linesLeftOut() - leftOutBefore;
    CHECK(ended);
    CHECK(leftOut > 400);
}
