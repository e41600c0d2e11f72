#include "adapters/logging/log.h"

#include "adapters/logging/line_budget.h"

#include <easylogging++.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace goldcrestline::adapters::logging {

namespace {

// A host writes about one line for each request that was not answered in full; more than this says
// nothing new and would cost the requests processor time.
constexpr double linesPerSecond = 200;
constexpr double linesAtOnce = 1000;
// A pipe that has room takes this much without blocking (POSIX: PIPE_BUF).
constexpr std::size_t bytesAtOnce = 4096;

Level lowestLevel = Level::Info;

// Writes lines to standard output without waiting for its reader. Thread-safe.
class Output
{
public:
    void write(std::string line)
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_budget.take(core::Clock::now()))
            return;
        if (!hasRoom())
            return m_budget.leaveOut();
        if (const auto n = m_budget.takeLeftOut(); n > 0)
            line += "log: left out lines=" + std::to_string(n) + "\n";
        if (line.size() > bytesAtOnce) {
            line.resize(bytesAtOnce - 1);
            line += '\n';
        }
        // A reader that is gone gets no further lines; there is nobody to tell.
        if (::write(STDOUT_FILENO, line.data(), line.size()) < 0)
            m_budget.leaveOut();
    }

    std::uint64_t leftOut()
    {
        const std::scoped_lock lock(m_mutex);
        return m_budget.leftOut();
    }

private:
    static bool hasRoom()
    {
        pollfd it{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&it, 1, 0) == 1 && it.revents == POLLOUT;
    }

    std::mutex m_mutex;
    LineBudget m_budget{linesPerSecond, linesAtOnce};
};

Output &output()
{
    static Output it;
    return it;
}

class Dispatch : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) noexcept override
    {
        const auto *message = data->logMessage();
        output().write(message->logger()->logBuilder()->build(message, true));
    }
};

} // namespace

void configure(Level level)
{
    lowestLevel = level;
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

std::uint64_t linesLeftOut()
{
    return output().leftOut();
}

void LogChannel::write(Level level, std::string_view text) const
{
    if (level < lowestLevel)
        return;
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
