#include "adapters/logging/log.h"

#include "adapters/logging/line_rate_limiter.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <easylogging++.h>
#include <iterator>
#include <mutex>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace goldcrestline::adapters::logging {

namespace {

// A host logs about one line for each request without a complete response. Lines beyond this rate
// add no information and would take processor time from the requests.
constexpr double maxLinesPerSecond = 200;
constexpr double maxBurstLines = 1000;
// Part of the burst for warnings and errors, which would be lost among the lines of a burst of
// refused requests.
constexpr double reservedLines = 100;
// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t maxLineBytes = 4096;

Level minimumLevel = Level::Info;

// Writes lines to standard output without blocking on a slow reader. Thread-safe.
class Output
{
public:
    void write(std::string line, bool important)
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_limiter.tryAcquire(core::Clock::now(), important))
            return;
        if (!isWritable())
            return m_limiter.countDropped();
        if (const auto n = m_limiter.takeDropped(); n > 0)
            line += "log: left out lines=" + std::to_string(n) + "\n";
        if (line.size() > maxLineBytes) {
            line.resize(maxLineBytes - 1);
            line += '\n';
        }
        // The reader closed the pipe; there is no other place to report the error.
        if (::write(STDOUT_FILENO, line.data(), line.size()) < 0)
            m_limiter.countDropped();
    }

    std::uint64_t dropped()
    {
        const std::scoped_lock lock(m_mutex);
        return m_limiter.dropped();
    }

private:
    static bool isWritable()
    {
        pollfd it{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&it, 1, 0) == 1 && it.revents == POLLOUT;
    }

    std::mutex m_mutex;
    LineRateLimiter m_limiter{maxLinesPerSecond, maxBurstLines, reservedLines};
};

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte < ' ' || byte == 0x7f;
}

// Returns the text with control characters as \xNN, so that a name chosen by another writer cannot
// look like a further line.
std::string singleLine(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (isControl(c)) {
            out += "\\x";
            boost::algorithm::hex_lower(std::string_view(&c, 1), std::back_inserter(out));
        } else {
            out += c;
        }
    }
    return out;
}

Output &output()
{
    static Output it;
    return it;
}

// Passes the lines of easylogging++ to output().
class Dispatch : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) noexcept override
    {
        const auto *message = data->logMessage();
        const bool important =
            message->level() == el::Level::Warning || message->level() == el::Level::Error;
        output().write(message->logger()->logBuilder()->build(message, true), important);
    }
};

} // namespace

void configure(Level level)
{
    minimumLevel = level;
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    conf.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    conf.set(el::Level::Debug, el::ConfigurationType::Format,
             "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(conf);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<Dispatch>("Output");
}

std::uint64_t droppedLines()
{
    return output().dropped();
}

void LogChannel::write(Level level, std::string_view text) const
{
    if (level < minimumLevel)
        return;
    std::string escaped;
    if (std::any_of(text.begin(), text.end(), isControl)) {
        escaped = singleLine(text);
        text = escaped;
    }
    switch (level) {
    case Level::Debug:
        LOG(DEBUG) << m_prefix << ' ' << text;
        return;
    case Level::Info:
        LOG(INFO) << m_prefix << ' ' << text;
        return;
    case Level::Warning:
        LOG(WARNING) << m_prefix << ' ' << text;
        return;
    case Level::Error:
        LOG(ERROR) << m_prefix << ' ' << text;
        return;
    }
}

} // namespace goldcrestline::adapters::logging
