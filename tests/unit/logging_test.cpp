#include "adapters/logging/line_rate_limiter.h"
#include "adapters/logging/log.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <unistd.h>

using namespace goldcrestline;
using namespace goldcrestline::adapters::logging;
using namespace std::chrono_literals;

TEST_CASE("log lines are rate limited and dropped lines are counted once")
{
    LineRateLimiter limiter(100, 50);
    auto now = core::TimePoint{} + 1h;
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += limiter.tryAcquire(now) ? 1 : 0;
    CHECK(written == 50);
    CHECK(limiter.takeDropped() == 950);
    CHECK(limiter.takeDropped() == 0);
    for (int i = 0; i < 1000; ++i) {
        now += 1ms;
        written += limiter.tryAcquire(now) ? 1 : 0;
    }
    CHECK(written <= 150);
    CHECK(written >= 148);
    CHECK(limiter.dropped() >= 950 + 900);
}

// Guards against warnings that are lost among the lines of refused requests.
TEST_CASE("warnings are written during a flood of other lines")
{
    LineRateLimiter limiter(100, 50, 10);
    auto now = core::TimePoint{} + 1h;
    int warnings = 0;
    for (int i = 0; i < 1000; ++i) {
        now += 1ms;
        for (int line = 0; line < 5; ++line)
            limiter.tryAcquire(now);
        if (i % 50 == 0)
            warnings += limiter.tryAcquire(now, true) ? 1 : 0;
    }
    CHECK(warnings == 20);
}

TEST_CASE("a log reader that stops reading does not block the writer")
{
    std::array<int, 2> pipe{};
    REQUIRE(::pipe(pipe.data()) == 0);
    const int savedStdout = ::dup(STDOUT_FILENO);
    REQUIRE(::dup2(pipe[1], STDOUT_FILENO) == STDOUT_FILENO);
    configure(Level::Info);
    const auto droppedBefore = droppedLines();
    auto writing = std::async(std::launch::async, [] {
        constexpr LogChannel log("test:");
        for (int i = 0; i < 900; ++i)
            log.info(std::string(200, 'x'));
    });
    const bool ended = writing.wait_for(10s) == std::future_status::ready;
    REQUIRE(::dup2(savedStdout, STDOUT_FILENO) == STDOUT_FILENO);
    ::close(savedStdout);
    // Closing the read end fails a blocked write with EPIPE, so that the test ends in either case.
    const auto handler = std::signal(SIGPIPE, SIG_IGN);
    ::close(pipe[0]);
    writing.wait();
    ::close(pipe[1]);
    std::signal(SIGPIPE, handler);
    const auto dropped = droppedLines() - droppedBefore;
    CHECK(ended);
    CHECK(dropped > 400);
}

// Guards against names chosen by others that look like lines of the log.
TEST_CASE("a log line stays one line, whatever the names in it")
{
    std::array<int, 2> pipe{};
    REQUIRE(::pipe(pipe.data()) == 0);
    const int savedStdout = ::dup(STDOUT_FILENO);
    REQUIRE(::dup2(pipe[1], STDOUT_FILENO) == STDOUT_FILENO);
    configure(Level::Info);
    constexpr LogChannel log("test:");
    log.warning("id=a\nb\r\x1b[0m\x7f\tc \xc3\xbc\\n" + std::string("\0d", 2));
    REQUIRE(::dup2(savedStdout, STDOUT_FILENO) == STDOUT_FILENO);
    ::close(savedStdout);
    ::close(pipe[1]);
    std::string text(4096, '\0');
    text.resize(static_cast<std::size_t>(::read(pipe[0], text.data(), text.size())));
    ::close(pipe[0]);
    CAPTURE(text);
    // A line about the lines dropped in other tests may follow.
    CHECK(text.substr(0, text.find('\n'))
              .ends_with("test: id=a\\x0ab\\x0d\\x1b[0m\\x7f\\x09c \xc3\xbc\\n\\x00d"));
}
