#include "cli/command.h"
#include "cli/options.h"

#include "adapters/curl/blocking.h"
#include "core/result.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace goldcrestline::cli {

using adapters::curl::HttpClient;
using adapters::curl::Transfer;
using adapters::curl::TransferOutcome;
using adapters::curl::TransferResult;
using nlohmann::json;

namespace {

// Time beyond the deadline in which the host's response to a request that timed out can arrive.
constexpr core::Millis responseMargin{1000};

void addCallerOptions(cxxopts::Options &options)
{
    options.add_options()("host", "address for callers", cxxopts::value<std::string>())(
        "customer", "customer id", cxxopts::value<std::string>())(
        "deadline-ms", "deadline", cxxopts::value<int>()->default_value("1000"))(
        "body", "request body, or @FILE to read it from a file",
        cxxopts::value<std::string>()->default_value("{}"))(
        "json", "print the response body unchanged")("service", "service",
                                                     cxxopts::value<std::string>());
    options.parse_positional({"service"});
    options.positional_help("SERVICE");
}

int reportUnreachable(const std::string &host)
{
    std::cerr << core::Error{core::ResultCode::HostUnreachable, host}.text() << '\n';
    return ExitRefused;
}

int exitCodeOf(const json &answer)
{
    const auto resultClass = answer.value("class", "outcome unknown");
    if (resultClass == "done")
        return ExitDone;
    return resultClass == "refused, not run" ? ExitRefused : ExitUnknown;
}

void printAnswer(const json &answer, double elapsedMs)
{
    std::cout << answer.value("code", 0) << ' ' << answer.value("result", "") << " ("
              << answer.value("class", "") << ") in " << elapsedMs << " ms\n";
    if (answer.contains("snapshot")) {
        const auto &coverage = answer.at("coverage");
        std::cout << "snapshot " << answer.at("snapshot").at("index_version") << '.'
                  << answer.at("snapshot").at("shard_map") << ", coverage "
                  << coverage.at("answered") << " of " << coverage.at("total")
                  << " documents, missing groups " << answer.at("missing_groups").dump() << '\n';
    }
    if (answer.contains("answer"))
        std::cout << answer.at("answer").dump() << '\n';
    if (answer.contains("detail"))
        std::cout << answer.value("detail", "") << '\n';
    if (answer.contains("retry_after_ms"))
        std::cout << "retry after " << answer.at("retry_after_ms") << " ms\n";
}

int send(const cxxopts::ParseResult &parsed, const std::string &path, const std::string &key)
{
    for (const auto *it : {"host", "customer", "service"}) {
        if (parsed.count(it) == 0)
            return usageError(std::string("--") + it + " is missing");
    }
    auto body = parsed["body"].as<std::string>();
    if (body.starts_with("@")) {
        const auto text = readFile(body.substr(1));
        if (!text)
            return usageError("cannot read " + body.substr(1));
        body = *text;
    }
    const auto host = parsed["host"].as<std::string>();
    const int deadlineMs = parsed["deadline-ms"].as<int>();
    Transfer transfer;
    transfer.method = "POST";
    transfer.url = "http://" + host + path + parsed["service"].as<std::string>();
    transfer.headers = {"X-Customer: " + parsed["customer"].as<std::string>(),
                        "X-Deadline-Ms: " + std::to_string(deadlineMs)};
    if (!key.empty())
        transfer.headers.push_back("Idempotency-Key: " + key);
    transfer.body = std::make_shared<const std::string>(std::move(body));
    transfer.timeout = core::Millis(deadlineMs) + responseMargin;
    transfer.freshConnection = true;
    HttpClient client;
    const auto startedAt = core::Clock::now();
    const auto result = fetch(client, std::move(transfer));
    const double elapsedMs = core::toMillis(core::Clock::now() - startedAt);
    if (result.outcome == TransferOutcome::NotReached)
        return reportUnreachable(host);
    const auto answer = json::parse(result.body, nullptr, false);
    if (result.outcome != TransferOutcome::Answered || answer.is_discarded()) {
        std::cerr
            << core::Error{core::ResultCode::OutcomeUnknown, "no valid response received"}.text()
            << '\n';
        return ExitUnknown;
    }
    if (parsed.count("json") != 0) {
        std::cout << result.body << '\n';
    } else {
        printAnswer(answer, elapsedMs);
    }
    return exitCodeOf(answer);
}

// Sends a GET request to a control address and prints the elements of the response's array `list`,
// or the whole response body with `asJson` or if there is no such array.
int printList(const std::string &host, const std::string &target, const std::string &list,
              bool asJson)
{
    HttpClient client;
    Transfer transfer;
    transfer.url = "http://" + host + target;
    const auto result = fetch(client, std::move(transfer));
    if (result.outcome != TransferOutcome::Answered)
        return reportUnreachable(host);
    const auto answer = json::parse(result.body, nullptr, false);
    if (asJson || answer.is_discarded() || !answer.contains(list)) {
        std::cout << result.body << '\n';
        return result.status == 200 ? ExitDone : ExitRefused;
    }
    for (const auto &it : answer.at(list)) {
        if (it.is_string()) {
            std::cout << it.get<std::string>() << '\n';
        } else {
            std::cout << it.value("callers", "") << "  zone " << it.value("zone", "") << "  host "
                      << it.value("host", "") << '\n';
        }
    }
    if (answer.contains("keep_ms"))
        std::cout << "valid for " << answer.at("keep_ms") << " ms\n";
    return ExitDone;
}

} // namespace

int runQuery(const Arguments &arguments)
{
    cxxopts::Options options("goldcrestline query", "Sends a query to a sharded service.");
    addCallerOptions(options);
    int exitCode = 0;
    const auto parsed = parse(options, arguments, exitCode);
    return parsed ? send(*parsed, "/v1/query/", "") : exitCode;
}

int runRequest(const Arguments &arguments)
{
    cxxopts::Options options("goldcrestline request",
                             "Sends a request that is executed at most once.");
    addCallerOptions(options);
    options.add_options()("key", "idempotency key",
                          cxxopts::value<std::string>()->default_value(""));
    int exitCode = 0;
    const auto parsed = parse(options, arguments, exitCode);
    return parsed ? send(*parsed, "/v1/request/", (*parsed)["key"].as<std::string>()) : exitCode;
}

int runEntryPoints(const Arguments &arguments)
{
    cxxopts::Options options("goldcrestline entry-points",
                             "Shows the hosts that a caller should use.");
    options.add_options()("host", "control address", cxxopts::value<std::string>())(
        "zone", "the caller's zone",
        cxxopts::value<std::string>()->default_value(""))("json", "print JSON");
    int exitCode = 0;
    const auto parsed = parse(options, arguments, exitCode);
    if (!parsed)
        return exitCode;
    if (parsed->count("host") == 0)
        return usageError("--host is missing");
    return printList((*parsed)["host"].as<std::string>(),
                     "/v1/entry-points?zone=" + (*parsed)["zone"].as<std::string>(), "entry_points",
                     parsed->count("json") != 0);
}

int runKeys(const Arguments &arguments)
{
    cxxopts::Options options("goldcrestline keys", "Gets idempotency keys from a host.");
    options.add_options()("host", "control address", cxxopts::value<std::string>())(
        "customer", "customer id", cxxopts::value<std::string>())(
        "count", "number of keys", cxxopts::value<int>()->default_value("1"))("json", "print JSON");
    int exitCode = 0;
    const auto parsed = parse(options, arguments, exitCode);
    if (!parsed)
        return exitCode;
    if (parsed->count("host") == 0 || parsed->count("customer") == 0)
        return usageError("--host and --customer are required");
    return printList((*parsed)["host"].as<std::string>(),
                     "/v1/keys?customer=" + (*parsed)["customer"].as<std::string>()
                         + "&count=" + std::to_string((*parsed)["count"].as<int>()),
                     "keys", parsed->count("json") != 0);
}

} // namespace goldcrestline::cli
