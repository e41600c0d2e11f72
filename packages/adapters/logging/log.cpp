#include "adapters/logging/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace goldcrestline::adapters::logging {

namespace {

Level lowestLevel = Level::Info;

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
