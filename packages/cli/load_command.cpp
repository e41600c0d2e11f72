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
using adapters::curl::TransferEnd;
using adapters::curl::TransferResult;
using core::Clock;
using core::TimePoint;
using nlohmann::json;

namespace {

constexpr core::Millis shortestStep{1};
constexpr core::Millis spareTime{500};

// What to send.
struct LoadPlan
{
    std::vector<std::string> hosts;
    std::string service;
    std::string customer;
    double ratePerSecond = 0;
    core::Duration length{};
    int deadlineMs = 0;
    unsigned seed = 0;
    // Number of different bodies; 1 makes all queries alike.
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

// Sends queries at random times that do not wait for answers (open loop).
class LoadRun
{
public:
    explicit LoadRun(LoadPlan plan) : m_plan(std::move(plan)), m_random(m_plan.seed) { }

    json run(const std::function<void(LoadRun &)> &sendOne)
    {
        const auto startedAt = Clock::now();
        const auto endAt = startedAt + m_plan.length;
        auto nextAt = startedAt;
        std::exponential_distribution<double> gap(m_plan.ratePerSecond);
        while (true) {
            const auto now = Clock::now();
            while (nextAt <= now && nextAt < endAt) {
                m_dueAt = nextAt;
                sendOne(*this);
                nextAt += std::chrono::duration_cast<core::Duration>(
                    std::chrono::duration<double>(gap(m_random)));
            }
            if (nextAt >= endAt && m_open == 0)
                break;
            const auto wait = std::chrono::floor<core::Millis>(nextAt - Clock::now());
            m_client.run(std::clamp(wait, core::Millis(0), shortestStep));
        }
        const double seconds = core::toMillis(m_plan.length) / 1000;
        return m_recorder.report(seconds, m_plan.ratePerSecond);
    }

    // Sends one query to the next host.
    void sendQuery()
    {
        const auto body = nextBody();
        Transfer transfer;
        transfer.method = "POST";
        transfer.url = "http://" + m_plan.hosts[m_sent++ % m_plan.hosts.size()] + "/v1/query/"
            + m_plan.service;
        transfer.headers = {"X-Customer: " + m_plan.customer,
                            "X-Deadline-Ms: " + std::to_string(m_plan.deadlineMs)};
        transfer.body = body;
        transfer.timeout = core::Millis(m_plan.deadlineMs) + spareTime;
        ++m_open;
        m_client.start(std::move(transfer),
                       [this, body, dueAt = m_dueAt](const TransferResult &result) {
                           --m_open;
                           m_recorder.add(judge(result, *body, Clock::now() - dueAt));
                       });
    }

    // Asks one server of every group, chosen at random; the query ends with the last answer.
    void sendDirect(const policy::routing::ServiceRecord &service)
    {
        struct Pending
        {
            std::size_t left;
            LoadSample sample;
        };
        const auto &snapshot = service.snapshots.back();
        auto pending = std::make_shared<Pending>();
        pending->left = snapshot.documentsByGroup.size();
        pending->sample.answered = true;
        pending->sample.allDocuments = snapshot.documents();
        ++m_open;
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
                                "X-Deadline-Ms: " + std::to_string(m_plan.deadlineMs),
                                "X-Caller-Zone: a"};
            transfer.body = std::make_shared<const std::string>("{}");
            transfer.timeout = core::Millis(m_plan.deadlineMs);
            m_client.start(std::move(transfer),
                           [this, pending, documents = group.second,
                            dueAt = m_dueAt](const TransferResult &result) {
                               if (result.end == TransferEnd::Answered && result.status == 200)
                                   pending->sample.answeredDocuments += documents;
                               if (--pending->left > 0)
                                   return;
                               --m_open;
                               auto &sample = pending->sample;
                               sample.took = Clock::now() - dueAt;
                               sample.code =
                                   static_cast<int>(sample.answeredDocuments == sample.allDocuments
                                                        ? core::ResultCode::Ok
                                                        : core::ResultCode::PartialCoverage);
                               m_recorder.add(sample);
                           });
        }
    }

private:
    std::shared_ptr<const std::string> nextBody()
    {
        const auto number = m_plan.bodies == 0 ? m_sent : m_random() % m_plan.bodies;
        std::string text = R"({"serial":")" + std::to_string(number) + R"(","pad":")";
        if (text.size() < m_plan.bodyBytes)
            text.append(m_plan.bodyBytes - text.size(), 'x');
        return std::make_shared<const std::string>(text + "\"}");
    }

    static LoadSample judge(const TransferResult &result, const std::string &body,
                            core::Duration took)
    {
        LoadSample sample;
        sample.took = took;
        sample.answered = result.end == TransferEnd::Answered;
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
        // The stand-in servers echo a hash of the body and the snapshot that they searched.
        const auto echo = std::to_string(std::hash<std::string>()(body));
        for (const auto &it : answer.at("parts")) {
            const auto &part = it.at("answer");
            if (part.contains("echo"))
                sample.wrong |= part.at("echo") != echo || part.value("snapshot", "") != snapshot;
        }
        return sample;
    }

    LoadPlan m_plan;
    std::mt19937 m_random;
    HttpClient m_client;
    LoadRecorder m_recorder;
    TimePoint m_dueAt{};
    std::size_t m_open = 0;
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
    cxxopts::Options options("goldcrestline load", "Sends queries at random times and measures.");
    options.add_options()("hosts", "callers' addresses, separated by commas",
                          cxxopts::value<std::string>()->default_value(""))(
        "platform", "ask the servers directly, listed by this platform",
        cxxopts::value<std::string>()->default_value(""))("service", "service",
                                                          cxxopts::value<std::string>())(
        "customer", "customer id", cxxopts::value<std::string>()->default_value("load"))(
        "rate", "queries a second", cxxopts::value<double>()->default_value("50"))(
        "seconds", "length", cxxopts::value<double>()->default_value("10"))(
        "deadline-ms", "deadline", cxxopts::value<int>()->default_value("150"))(
        "seed", "seed of times and bodies", cxxopts::value<unsigned>()->default_value("1"))(
        "bodies", "number of different bodies, 0 for all different",
        cxxopts::value<unsigned>()->default_value("0"))(
        "body-bytes", "size of a body",
        cxxopts::value<std::size_t>()->default_value("200"))("json", "print JSON");
    int exitCode = 0;
    const auto parsed = parse(options, arguments, exitCode);
    if (!parsed)
        return exitCode;
    const auto platform = (*parsed)["platform"].as<std::string>();
    LoadPlan plan;
    plan.hosts = split((*parsed)["hosts"].as<std::string>());
    if (parsed->count("service") == 0 || (plan.hosts.empty() && platform.empty()))
        return usageError("--service and one of --hosts and --platform are needed");
    plan.service = (*parsed)["service"].as<std::string>();
    plan.customer = (*parsed)["customer"].as<std::string>();
    plan.ratePerSecond = (*parsed)["rate"].as<double>();
    plan.length = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>((*parsed)["seconds"].as<double>()));
    plan.deadlineMs = (*parsed)["deadline-ms"].as<int>();
    plan.seed = (*parsed)["seed"].as<unsigned>();
    plan.bodies = (*parsed)["bodies"].as<unsigned>();
    plan.bodyBytes = (*parsed)["body-bytes"].as<std::size_t>();
    if (!(plan.ratePerSecond > 0) || plan.length <= core::Duration::zero())
        return usageError("--rate and --seconds must be positive");
    json report;
    LoadRun run(plan);
    if (platform.empty()) {
        report = run.run([](LoadRun &it) { it.sendQuery(); });
    } else {
        const auto service = readService(platform, plan.service);
        if (!service.has_value()) {
            std::cerr << service.error().text() << '\n';
            return ExitRefused;
        }
        report = run.run([&](LoadRun &it) { it.sendDirect(service.value()); });
    }
    if (parsed->count("json") != 0) {
        std::cout << report.dump() << '\n';
    } else {
        print(report);
    }
    return ExitDone;
}

} // namespace goldcrestline::cli
