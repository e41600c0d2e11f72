#include "checks.h"

#include "fault_proxy.h"

#include "adapters/curl/blocking.h"

#include <algorithm>
#include <cctype>
#include <random>

namespace soak {

using goldcrestline::adapters::curl::HttpClient;
using harness::json;
using harness::Transfer;
using harness::TransferOutcome;
using harness::TransferResult;

namespace {

constexpr int shardCount = 3;
constexpr std::size_t recordBytes = 16;
constexpr std::size_t topRecords = 4;
constexpr int callerTimeoutMs = 1500;

std::string headerOf(const TransferResult &result, const std::string &name)
{
    const auto it = result.headers.find(name);
    return it == result.headers.end() ? "" : it->second;
}

// Statuses by which a host promises that a request did not run and never will.
bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

void Violations::add(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_texts.push_back(text);
}

std::vector<std::string> Violations::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_texts;
}

CallerLoad::CallerLoad(std::string address, std::string name, unsigned seed,
                       const HostDisturbance &disturbance, Violations &violations)
    : m_address(std::move(address)), m_name(std::move(name)), m_disturbance(disturbance),
      m_violations(violations), m_thread([this, seed] { run(seed); })
{ }

void CallerLoad::finish()
{
    m_stop = true;
    if (m_thread.joinable())
        m_thread.join();
}

void CallerLoad::run(unsigned seed)
{
    std::mt19937 random(seed);
    HttpClient client;
    for (int n = 0; !m_stop; ++n) {
        if (m_disturbance.unlisted) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            continue;
        }
        const auto id = m_name + "-" + std::to_string(n);
        switch (random() % 4) {
        case 0:
            send(client, "/claim/" + id, id, true);
            break;
        case 1:
            send(client, "/one/" + id, id, false);
            break;
        case 2:
            send(client, "/split/" + id, id, false);
            break;
        default:
            send(client, "/all/" + id, id, false);
        }
    }
}

void CallerLoad::send(HttpClient &client, const std::string &path, const std::string &id,
                      bool claim)
{
    Transfer transfer;
    transfer.method = claim ? "POST" : "GET";
    transfer.url = "http://" + m_address + path;
    transfer.headers = {"Host: shop.example", "X-Request-Id: " + id,
                        "X-Deadline-Ms: " + std::to_string(callerTimeoutMs),
                        std::string("Authorization: Token ") + workspaceKey,
                        "X-Tenant: another-workspace"};
    if (claim)
        transfer.body = std::make_shared<const std::string>("body-" + id);
    transfer.timeout = std::chrono::milliseconds(callerTimeoutMs);
    // The client library repeats a request by itself when a kept connection turns out to be closed.
    transfer.freshConnection = claim;
    const auto faultsBefore = m_disturbance.count.load();
    const bool calm = m_disturbance.active == 0;
    const auto sentAt = std::chrono::steady_clock::now();
    const auto result = goldcrestline::adapters::curl::fetch(client, std::move(transfer));
    if (result.outcome == TransferOutcome::Answered && result.status == refusedStatus)
        return;
    const bool answered = result.outcome == TransferOutcome::Answered;
    if (claim)
        m_claims[id] = answered ? result.status : 0;
    if (answered) {
        ++m_answered;
        return check(result, path, id);
    }
    const bool undisturbed =
        calm && m_disturbance.active == 0 && m_disturbance.count == faultsBefore;
    if (undisturbed && result.outcome == TransferOutcome::Broken)
        m_violations.add(
            "cut without a fault of the host: " + path + " after "
            + std::to_string(
                std::chrono::duration<double>(std::chrono::steady_clock::now() - sentAt).count())
            + " s");
}

void CallerLoad::check(const TransferResult &result, const std::string &path, const std::string &id)
{
    constexpr int unauthorizedStatus = 401;
    if (result.status == unauthorizedStatus)
        m_violations.add("valid key refused for " + path);
    if (result.status != 200)
        return;
    if (path.starts_with("/all/"))
        return checkMerged(result, id);
    if (!result.body.starts_with(path + " "))
        m_violations.add("answer of another request for " + path + ": " + result.body);
    if (!headerOf(result, "x-server-stamp").ends_with("." + id))
        m_violations.add("stamp of another request for " + path);
}

void CallerLoad::checkMerged(const TransferResult &result, const std::string &id)
{
    const auto stamps = headerOf(result, "x-part-stamps");
    std::vector<std::string> expected;
    int parts = 0;
    for (int shard = 0; shard < shardCount; ++shard) {
        const auto service = "shard" + std::to_string(shard);
        if (stamps.find("i-" + service) == std::string::npos)
            continue;
        ++parts;
        for (int i = 0; i < 6; ++i) {
            auto record = std::to_string(i) + "-" + service;
            record.resize(recordBytes, '.');
            expected.push_back(record);
        }
    }
    std::sort(expected.rbegin(), expected.rend());
    std::string body;
    for (std::size_t i = 0; i < std::min(topRecords, expected.size()); ++i)
        body += expected[i];
    const auto missing = headerOf(result, "x-missing-parts");
    if (missing != std::to_string(shardCount - parts) || parts < 2)
        m_violations.add("parts misstated for " + id + ": " + stamps + " missing " + missing);
    if (result.body != body)
        m_violations.add("records do not fit the parts for " + id + ": " + result.body);
    std::size_t ownStamps = 0;
    for (auto at = stamps.find("." + id); at != std::string::npos;
         at = stamps.find("." + id, at + 1))
        ++ownStamps;
    if (ownStamps < static_cast<std::size_t>(parts))
        m_violations.add("stamp of another request for " + id + ": " + stamps);
}

void checkWorkspace(const json &headersById, Violations &violations)
{
    if (headersById.empty())
        violations.add("no server saw a request");
    const auto expected = std::string("X-Tenant: ") + workspaceName;
    for (const auto &it : headersById.items()) {
        int names = 0;
        for (const auto &header : it.value()) {
            auto text = header.get<std::string>();
            const auto colon = text.find(':');
            std::transform(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(colon),
                           text.begin(), [](unsigned char c) { return std::tolower(c); });
            if (text.starts_with("authorization:"))
                violations.add("a server saw the key of " + it.key());
            if (text.starts_with("x-tenant:")) {
                ++names;
                if (header.get<std::string>() != expected)
                    violations.add("a server saw another workspace for " + it.key());
            }
        }
        if (names != 1)
            violations.add("a server saw " + std::to_string(names) + " workspaces for " + it.key());
    }
}

void checkClaims(const std::map<std::string, int> &claims, const json &runs, Violations &violations)
{
    std::map<std::string, int> executed;
    for (const auto &server : runs) {
        for (const auto &it : server.at("ids").items())
            executed[it.key()] += it.value().get<int>();
    }
    for (const auto &[id, status] : claims) {
        const int n = executed[id];
        if (n > 1)
            violations.add("ran " + std::to_string(n) + " times: " + id);
        if (promisesNotRun(status) && n > 0)
            violations.add("refused as not run with " + std::to_string(status)
                           + ", and ran: " + id);
        if (status == 200 && n == 0)
            violations.add("answered without a run: " + id);
    }
}

VersionMonitor::VersionMonitor(const harness::RoutedCluster &cluster,
                               const std::vector<HostDisturbance> &disturbances,
                               Violations &violations)
{
    m_thread = std::thread([this, &cluster, &disturbances, &violations] {
        std::vector<std::pair<std::uint64_t, double>> seen(cluster.size());
        for (std::size_t n = 0; !m_stop; n = (n + 1) % cluster.size()) {
            const auto lifetime = disturbances[n].lifetime.load();
            const double version = cluster.metric(n, "configuration_version");
            if (version < 0 || lifetime != disturbances[n].lifetime)
                continue;
            if (seen[n].first == lifetime && version < seen[n].second)
                violations.add("configuration of host " + std::to_string(n) + " went back");
            seen[n] = {lifetime, version};
        }
    });
}

VersionMonitor::~VersionMonitor()
{
    m_stop = true;
    m_thread.join();
}

} // namespace soak
