#include "cli/blocking_store.h"
#include "cli/command.h"
#include "cli/load_recorder.h"
#include "cli/options.h"

#include "adapters/curl/blocking.h"
#include "core/result_code.h"
#include "policy/routing/fleet.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace goldcrestline::cli {

using adapters::curl::HttpClient;
using adapters::curl::Transfer;
using adapters::curl::TransferOutcome;
using adapters::curl::TransferResult;
using core::Clock;
using core::TimePoint;
using nlohmann::json;

namespace {

// Longest wait for socket activity in one step.
constexpr core::Millis maxPollTime{1};
// Time beyond the deadline in which the host's response to a query that timed out can arrive.
constexpr core::Millis responseMargin{500};

// Parameters of the generated load.
struct LoadOptions
{
    std::vector<std::string> hosts;
    std::string service;
    std::string customer;
    double ratePerSecond = 0;
    core::Duration length{};
    int deadlineMs = 0;
    unsigned seed = 0;
    // Number of different bodies: 1 sends identical queries, 0 makes all queries different.
    unsigned bodies = 0;
    std::size_t bodyBytes = 0;
};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

// Open-loop load generator: sends queries as a Poisson process, independently of the responses.
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadOptions options)
        : m_options(std::move(options)), m_random(m_options.seed)
    { }

    // Generates the load by calling `sendNext` for each query, waits for all responses and returns
    // the report.
    json run(const std::function<void(LoadGenerator &)> &sendNext)
    {
        const auto startedAt = Clock::now();
        const auto endAt = startedAt + m_options.length;
        auto nextAt = startedAt;
        std::exponential_distribution<double> interArrivalSeconds(m_options.ratePerSecond);
        while (true) {
            const auto now = Clock::now();
            while (nextAt <= now && nextAt < endAt) {
                m_dueAt = nextAt;
                sendNext(*this);
                nextAt += std::chrono::duration_cast<core::Duration>(
                    std::chrono::duration<double>(interArrivalSeconds(m_random)));
            }
            if (nextAt >= endAt && m_inFlight == 0)
                break;
            const auto wait = std::chrono::floor<core::Millis>(nextAt - Clock::now());
            m_client.run(std::clamp(wait, core::Millis(0), maxPollTime));
        }
        const double seconds = core::toMillis(m_options.length) / 1000;
        return m_recorder.report(seconds, m_options.ratePerSecond);
    }

    // Sends one query to the next host in turn.
    void sendQuery()
    {
        const auto body = nextBody();
        Transfer transfer;
        transfer.method = "POST";
        transfer.url = "http://" + m_options.hosts[m_sent++ % m_options.hosts.size()] + "/v1/query/"
            + m_options.service;
        transfer.headers = {"X-Customer: " + m_options.customer,
                            "X-Deadline-Ms: " + std::to_string(m_options.deadlineMs)};
        transfer.body = body;
        transfer.timeout = core::Millis(m_options.deadlineMs) + responseMargin;
        ++m_inFlight;
        m_client.start(std::move(transfer),
                       [this, body, dueAt = m_dueAt](const TransferResult &result) {
                           --m_inFlight;
                           m_recorder.add(evaluate(result, *body, Clock::now() - dueAt));
                       });
    }

    // Sends one query directly to the servers, one of each group chosen at random. The query ends
    // with the last response.
    void sendDirect(const policy::routing::ServiceRecord &service)
    {
        struct Pending
        {
            std::size_t remainingGroups;
            LoadSample sample;
        };
        const auto &snapshot = service.snapshots.back();
        auto pending = std::make_shared<Pending>();
        pending->remainingGroups = snapshot.documentsByGroup.size();
        pending->sample.answered = true;
        pending->sample.allDocuments = snapshot.documents();
        ++m_inFlight;
        ++m_sent;
        for (const auto &group : snapshot.documentsByGroup) {
            std::vector<const policy::routing::ServerRecord *> servers;
            for (const auto &it : service.servers) {
                if (it.group == group.first)
                    servers.push_back(&it);
            }
            const auto *server = servers[m_random() % servers.size()];
            Transfer transfer;
            transfer.method = "POST";
            transfer.url = "http://" + server->address + "/search";
            transfer.headers = {"X-Query-Id: direct-" + std::to_string(m_sent),
                                "X-Group: " + std::to_string(group.first),
                                "X-Index-Version: " + std::to_string(snapshot.id.indexVersion),
                                "X-Shard-Map: " + std::to_string(snapshot.id.shardMap),
                                "X-Deadline-Ms: " + std::to_string(m_options.deadlineMs),
                                "X-Caller-Zone: a"};
            transfer.body = std::make_shared<const std::string>("{}");
            transfer.timeout = core::Millis(m_options.deadlineMs);
            m_client.start(
                std::move(transfer),
                [this, pending, documents = group.second,
                 dueAt = m_dueAt](const TransferResult &result) {
                    if (result.outcome == TransferOutcome::Answered && result.status == 200)
                        pending->sample.answeredDocuments += documents;
                    if (--pending->remainingGroups > 0)
                        return;
                    --m_inFlight;
                    auto &sample = pending->sample;
                    sample.latency = Clock::now() - dueAt;
                    sample.code = static_cast<int>(sample.answeredDocuments == sample.allDocuments
                                                       ? core::ResultCode::Ok
                                                       : core::ResultCode::PartialCoverage);
                    m_recorder.add(sample);
                });
        }
    }

private:
    std::shared_ptr<const std::string> nextBody()
    {
        const auto serial = m_options.bodies == 0 ? m_sent : m_random() % m_options.bodies;
        std::string text = R"({"serial":")" + std::to_string(serial) + R"(","pad":")";
        if (text.size() < m_options.bodyBytes)
            text.append(m_options.bodyBytes - text.size(), 'x');
        return std::make_shared<const std::string>(text + "\"}");
    }

    // Evaluates the response to a query.
    static LoadSample evaluate(const TransferResult &result, const std::string &body,
                               core::Duration latency)
    {
        LoadSample sample;
        sample.latency = latency;
        sample.answered = result.outcome == TransferOutcome::Answered;
        const auto answer = json::parse(result.body, nullptr, false);
        if (!sample.answered || answer.is_discarded())
            return sample;
        sample.code = answer.value("code", 0);
        if (!answer.contains("coverage"))
            return sample;
        sample.answeredDocuments = answer.at("coverage").at("answered").get<std::uint64_t>();
        sample.allDocuments = answer.at("coverage").at("total").get<std::uint64_t>();
        const auto &id = answer.at("snapshot");
        const auto snapshot = std::to_string(id.at("index_version").get<std::uint64_t>()) + "."
            + std::to_string(id.at("shard_map").get<std::uint64_t>());
        // The stand-in servers echo a hash of the request body and the snapshot that they searched.
        const auto echo = std::to_string(std::hash<std::string>()(body));
        for (const auto &it : answer.at("parts")) {
            const auto &part = it.at("answer");
            if (part.contains("echo"))
                sample.wrong |= part.at("echo") != echo || part.value("snapshot", "") != snapshot;
        }
        return sample;
    }

    LoadOptions m_options;
    std::mt19937 m_random;
    HttpClient m_client;
    LoadRecorder m_recorder;
    TimePoint m_dueAt{};
    std::size_t m_inFlight = 0;
    std::uint64_t m_sent = 0;
};

core::Result<policy::routing::ServiceRecord> readService(const std::string &platform,
                                                         const std::string &service)
{
    BlockingStore store(platform);
    const auto object = store.read("fleet/servers");
    if (!object.has_value())
        return object.error();
    auto fleet = policy::routing::parseFleet(object.value().text);
    if (!fleet.has_value())
        return fleet.error();
    const auto it = fleet.value().services.find(service);
    if (it == fleet.value().services.end())
        return core::Error{core::ResultCode::UnknownService, service};
    return it->second;
}

void print(const json &report)
{
    for (const auto &it : report.items())
        std::cout << it.key() << ' ' << it.value().dump() << '\n';
}

} // namespace

int runLoad(const Arguments &arguments)
{
    cxxopts::Options options("goldcrestline load",
                             "Sends queries at random times and reports latency and coverage.");
    options.add_options()("hosts", "caller addresses of the hosts, separated by commas",
                          cxxopts::value<std::string>()->default_value(""))(
        "platform", "platform address; queries the servers that it lists directly, without a host",
        cxxopts::value<std::string>()->default_value(""))("service", "service",
                                                          cxxopts::value<std::string>())(
        "customer", "customer id", cxxopts::value<std::string>()->default_value("load"))(
        "rate", "queries per second", cxxopts::value<double>()->default_value("50"))(
        "seconds", "length", cxxopts::value<double>()->default_value("10"))(
        "deadline-ms", "deadline", cxxopts::value<int>()->default_value("150"))(
        "seed", "random seed of times and bodies", cxxopts::value<unsigned>()->default_value("1"))(
        "bodies", "number of different bodies; 0 makes all different",
        cxxopts::value<unsigned>()->default_value("0"))(
        "body-bytes", "size of a body in bytes",
        cxxopts::value<std::size_t>()->default_value("200"))("json", "print JSON");
    int exitCode = 0;
    const auto parsed = parse(options, arguments, exitCode);
    if (!parsed)
        return exitCode;
    const auto platform = (*parsed)["platform"].as<std::string>();
    LoadOptions load;
    load.hosts = split((*parsed)["hosts"].as<std::string>());
    if (parsed->count("service") == 0 || (load.hosts.empty() && platform.empty()))
        return usageError("--service and one of --hosts and --platform are required");
    load.service = (*parsed)["service"].as<std::string>();
    load.customer = (*parsed)["customer"].as<std::string>();
    load.ratePerSecond = (*parsed)["rate"].as<double>();
    load.length = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>((*parsed)["seconds"].as<double>()));
    load.deadlineMs = (*parsed)["deadline-ms"].as<int>();
    load.seed = (*parsed)["seed"].as<unsigned>();
    load.bodies = (*parsed)["bodies"].as<unsigned>();
    load.bodyBytes = (*parsed)["body-bytes"].as<std::size_t>();
    if (!(load.ratePerSecond > 0) || load.length <= core::Duration::zero())
        return usageError("--rate and --seconds must be positive");
    json report;
    LoadGenerator generator(load);
    if (platform.empty()) {
        report = generator.run([](LoadGenerator &it) { it.sendQuery(); });
    } else {
        const auto service = readService(platform, load.service);
        if (!service.has_value()) {
            std::cerr << service.error().text() << '\n';
            return ExitRefused;
        }
        report = generator.run([&](LoadGenerator &it) { it.sendDirect(service.value()); });
    }
    if (parsed->count("json") != 0) {
        std::cout << report.dump() << '\n';
    } else {
        print(report);
    }
    return ExitDone;
}

} // namespace goldcrestline::cli
