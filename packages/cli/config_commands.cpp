#include "cli/blocking_store.h"
#include "cli/command.h"
#include "cli/fleet_status.h"
#include "cli/options.h"

#include "core/hash.h"
#include "policy/config/change_writer.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace goldcrestline::cli {

using adapters::curl::HttpClient;
using core::Error;
using core::ResultCode;
namespace config = policy::config;

namespace {

constexpr core::Millis retryInterval{100};
constexpr const char *listsObjectName = "config/lists";

config::WriteResult writeLists(BlockingStore &store, const config::WriteLists &request)
{
    switch (store.write(listsObjectName, request.expected, request.text)) {
    case ports::WriteOutcome::Written:
        return config::WriteResult::Written;
    case ports::WriteOutcome::Conflict:
        return config::WriteResult::Conflict;
    case ports::WriteOutcome::Refused:
        return config::WriteResult::Refused;
    case ports::WriteOutcome::Unknown:
        break;
    }
    return config::WriteResult::Unknown;
}

int reportError(const Error &error)
{
    std::cerr << error.text() << '\n';
    const bool unknown = core::infoOf(error.code).resultClass == core::ResultClass::OutcomeUnknown;
    return unknown ? ExitUnknown : ExitRefused;
}

core::Result<config::Lists> readLists(const std::string &platform)
{
    BlockingStore store(platform);
    const auto object = store.read(listsObjectName);
    if (!object.has_value())
        return object.error();
    if (!object.value().exists())
        return config::Lists{};
    return config::parseLists(object.value().text);
}

core::Result<core::Version> applyChange(BlockingStore &store, config::ChangeWriter &writer,
                                        core::TimePoint deadline)
{
    config::WriterStep next = config::ReadLists{};
    while (true) {
        if (const auto *accepted = std::get_if<config::Accepted>(&next))
            return accepted->version;
        if (const auto *refused = std::get_if<config::NotApplied>(&next))
            return refused->error;
        if (core::Clock::now() >= deadline) {
            const auto code =
                writer.inDoubt() ? ResultCode::ListsNotConfirmed : ResultCode::PlatformUnreachable;
            return Error{code, "timed out; run the command again with the same --change-id"};
        }
        if (const auto *request = std::get_if<config::WriteLists>(&next)) {
            next = writer.onWritten(writeLists(store, *request));
            continue;
        }
        const auto object = store.read(listsObjectName);
        if (object.has_value()) {
            next = writer.onRead(object.value().version, object.value().text, core::wallNow());
        } else {
            std::this_thread::sleep_for(retryInterval);
        }
    }
}

// Waits until every host reports the version or a later one, and prints the number of hosts that
// do whenever it changes.
int waitUntilInForce(const std::string &control, core::Version version, core::TimePoint deadline)
{
    HttpClient client;
    std::size_t lastPrinted = SIZE_MAX;
    while (true) {
        const auto reports = readFleetStatus(client, control);
        const auto inForce = static_cast<std::size_t>(
            std::count_if(reports.begin(), reports.end(), [&](const HostReport &it) {
                return !it.status.is_null()
                    && core::Version{it.status.value("lists_era", std::uint64_t{0}),
                                     it.status.value("lists_revision", std::uint64_t{0})}
                    >= version;
            }));
        if (inForce != lastPrinted)
            std::cout << "in force on " << inForce << " of " << reports.size() << " hosts\n";
        lastPrinted = inForce;
        if (!reports.empty() && inForce == reports.size())
            return ExitDone;
        if (core::Clock::now() >= deadline)
            return ExitUnknown;
        std::this_thread::sleep_for(retryInterval);
    }
}

int applyLists(const cxxopts::ParseResult &parsed, const std::string &platform)
{
    const auto file = parsed["file"].as<std::string>();
    const auto text = readFile(file);
    if (!text)
        return usageError("cannot read " + file);
    auto edit = config::parseLists(*text);
    if (!edit.has_value())
        return reportError(edit.error());
    std::optional<std::uint64_t> base;
    if (parsed.count("base") != 0) {
        base = parsed["base"].as<std::uint64_t>();
    } else if (parsed.count("on-newest") == 0) {
        return usageError("--base REVISION (see config get) or --on-newest is required");
    }
    auto changeId = parsed["change-id"].as<std::string>();
    constexpr int changeIdBytes = 16;
    if (changeId.empty())
        changeId = core::randomHex(changeIdBytes);
    const auto deadline = core::Clock::now() + std::chrono::seconds(parsed["wait-s"].as<int>());
    BlockingStore store(platform);
    config::ChangeWriter writer(std::move(edit.value()), base, changeId,
                                parsed["author"].as<std::string>());
    const auto version = applyChange(store, writer, deadline);
    if (!version.has_value()) {
        std::cerr << "change " << changeId << '\n';
        return reportError(version.error());
    }
    std::cout << "accepted as revision " << version.value().revision << " change " << changeId
              << '\n';
    if (parsed.count("host") == 0)
        return ExitDone;
    return waitUntilInForce(parsed["host"].as<std::string>(), version.value(), deadline);
}

int printHistory(const config::Lists &lists, bool asJson)
{
    if (asJson) {
        std::cout << config::serializeLists(lists) << '\n';
        return ExitDone;
    }
    for (const auto &it : lists.history) {
        std::cout << it.revision << "  " << it.acceptedAt << "  " << it.author << "  "
                  << it.changeId << '\n';
    }
    return ExitDone;
}

} // namespace

int runConfig(const Arguments &arguments)
{
    cxxopts::Options options("goldcrestline config", "Reads and changes the operators' two lists.");
    options.add_options()("action", "get, check, apply or history", cxxopts::value<std::string>())(
        "file", "file with the lists in JSON, or - for standard input",
        cxxopts::value<std::string>()->default_value("-"))(
        "platform", "address of the platform", cxxopts::value<std::string>()->default_value(""))(
        "base", "revision on which the change is based",
        cxxopts::value<std::uint64_t>())("on-newest", "apply to the newest revision")(
        "change-id", "id of the change, to retry an unconfirmed one",
        cxxopts::value<std::string>()->default_value(""))(
        "author", "author recorded in the history",
        cxxopts::value<std::string>()->default_value("operator"))(
        "host", "control address of a host; waits until the change is in force on all hosts",
        cxxopts::value<std::string>())("wait-s", "timeout in seconds",
                                       cxxopts::value<int>()->default_value("15"))("json",
                                                                                   "print JSON");
    options.parse_positional({"action", "file"});
    options.positional_help("get|check|apply|history [FILE]");
    int exitCode = 0;
    const auto parsed = parse(options, arguments, exitCode);
    if (!parsed)
        return exitCode;
    const auto action = parsed->count("action") != 0 ? (*parsed)["action"].as<std::string>() : "";
    const auto platform = (*parsed)["platform"].as<std::string>();
    if (action == "check") {
        const auto text = readFile((*parsed)["file"].as<std::string>());
        if (!text)
            return usageError("cannot read " + (*parsed)["file"].as<std::string>());
        const auto lists = config::parseLists(*text);
        if (!lists.has_value())
            return reportError(lists.error());
        std::cout << "the lists are valid\n";
        return ExitDone;
    }
    if (action != "get" && action != "apply" && action != "history")
        return usageError("the action must be get, check, apply or history");
    if (platform.empty())
        return usageError("--platform is missing");
    if (action == "apply")
        return applyLists(*parsed, platform);
    const auto lists = readLists(platform);
    if (!lists.has_value())
        return reportError(lists.error());
    if (action == "history")
        return printHistory(lists.value(), parsed->count("json") != 0);
    std::cerr << "revision " << lists.value().revision << '\n';
    std::cout << config::serializeEditableFields(lists.value()) << '\n';
    return ExitDone;
}

} // namespace goldcrestline::cli
