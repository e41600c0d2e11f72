#include "adapters/logging/log.h"
#include "adapters/settings/settings.h"
#include "core/hash.h"
#include "daemon/engine/engine.h"
#include "daemon/forward/forward_host.h"

#include <cxxopts.hpp>
#include <iostream>

namespace goldcrestline::daemon {

namespace {

constexpr adapters::logging::LogChannel log("daemon:");

constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;
// Length of the secret for the MACs of idempotency keys.
constexpr int keySecretBytes = 32;

struct Arguments
{
    std::string config;
    bool check = false;
    bool help = false;
    std::string helpText;
};

core::Result<Arguments> readArguments(int argc, char **argv)
{
    cxxopts::Options options("goldcrestlined", "Entry host of the goldcrestline query tier.");
    options.add_options()("config", "settings file in TOML", cxxopts::value<std::string>())(
        "check", "check the settings and exit")("help", "print this text");
    try {
        const auto parsed = options.parse(argc, argv);
        Arguments arguments;
        arguments.help = parsed.count("help") != 0;
        arguments.helpText = options.help();
        arguments.check = parsed.count("check") != 0;
        if (parsed.count("config") != 0) {
            arguments.config = parsed["config"].as<std::string>();
        } else if (!arguments.help) {
            return core::Error{core::ResultCode::CommandLine, "--config FILE is missing"};
        }
        return arguments;
    } catch (const std::exception &e) {
        return core::Error{core::ResultCode::CommandLine, e.what()};
    }
}

int serve(const std::shared_ptr<const adapters::settings::Settings> &settings)
{
    const auto keys = std::make_shared<const policy::idempotency::KeyIssuer>(
        settings->host.name.value, static_cast<std::uint64_t>(core::wallNow()),
        core::randomHex(keySecretBytes));
    engine::Engine engine(settings, keys);
    log.info("ready callers=" + settings->listen.callers.value
             + " control=" + settings->listen.control.value);
    engine.run();
    log.info("stopped");
    return 0;
}

int run(int argc, char **argv)
{
    const auto arguments = readArguments(argc, argv);
    if (!arguments.has_value()) {
        std::cerr << arguments.error().text() << '\n';
        return exitBadSettings;
    }
    if (arguments.value().help) {
        std::cout << arguments.value().helpText;
        return 0;
    }
    const auto settings = adapters::settings::loadSettings(arguments.value().config);
    if (!settings.has_value()) {
        std::cerr << settings.error().text() << '\n';
        return exitBadSettings;
    }
    if (arguments.value().check) {
        std::cout << "settings are valid\n";
        return 0;
    }
    // loadSettings() validated the level, so the lookup succeeds.
    adapters::logging::configure(
        *core::valueIn(adapters::logging::levelNames, settings.value()->log.level.value));
    try {
        if (settings.value()->host.serves.value == "routes") {
            forward::runHost(settings.value(), arguments.value().config);
            return 0;
        }
        return serve(settings.value());
    } catch (const std::exception &e) {
        log.error(std::string("cannot start: ") + e.what());
        return exitCannotStart;
    }
}

} // namespace

} // namespace goldcrestline::daemon

int main(int argc, char **argv)
{
    return goldcrestline::daemon::run(argc, argv);
}
