#include "server_standin.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <nlohmann/json.hpp>

namespace standins {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using boost::system::error_code;

ServerStandin::ServerStandin(asio::io_context &io, ServerParameters parameters, unsigned seed)
    : m_io(io), m_parameters(std::move(parameters)), m_random(seed)
{
    openListener();
}

void ServerStandin::openListener()
{
    ListenerHooks hooks;
    hooks.connectDelay = std::chrono::milliseconds(m_parameters.connectMs);
    hooks.handle = [this](const Request &request, std::shared_ptr<Connection> connection) {
        return handle(request, std::move(connection));
    };
    hooks.admit = [this](const std::shared_ptr<Connection> &connection) {
        if (static_cast<int>(m_connections.size()) >= m_parameters.connections) {
            ++m_counters.connectionsRefused;
            return false;
        }
        ++m_counters.connectionsOpened;
        m_connections[connection->id] = connection;
        m_counters.connectionsPeak =
            std::max(m_counters.connectionsPeak, static_cast<int>(m_connections.size()));
        return true;
    };
    hooks.onClosed = [this](const std::shared_ptr<Connection> &connection) {
        m_connections.erase(connection->id);
    };
    m_acceptor = listen(m_io, m_port, std::move(hooks));
    m_port = m_acceptor->local_endpoint().port();
}

void ServerStandin::setDown(bool down)
{
    if (down == faults.down)
        return;
    faults.down = down;
    error_code ec;
    if (!down)
        return openListener();
    m_acceptor->close(ec);
    for (auto &it : m_connections)
        it.second->stream.socket().close(ec);
    m_connections.clear();
}

void ServerStandin::silenceConnections(double share)
{
    for (auto &it : m_connections)
        it.second->silent = it.second->silent || bernoulli(share);
}

bool ServerStandin::bernoulli(double share)
{
    return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

std::chrono::milliseconds ServerStandin::zoneDelay(const Request &request) const
{
    const auto zone = headerOf(request, "X-Caller-Zone");
    const bool crosses = !zone.empty() && zone != m_parameters.zone;
    return std::chrono::milliseconds(crosses ? static_cast<int>(m_parameters.zoneDelayMs) : 0);
}

std::chrono::microseconds ServerStandin::serviceTime()
{
    constexpr double minFactor = 0.7;
    constexpr double factorRange = 0.6;
    constexpr double maxWarmUpSlowdown = 5;
    double ms = m_parameters.serviceMs
        * (minFactor + factorRange * std::uniform_real_distribution<>(0, 1)(m_random));
    if (bernoulli(m_parameters.tailShare))
        ms *= m_parameters.tailFactor;
    ms *= faults.slowdownFactor;
    const auto age =
        std::chrono::duration<double, std::milli>(SteadyClock::now() - warmUpStartedAt);
    if (faults.warmUpMs > 0 && age.count() < faults.warmUpMs)
        ms *= 1 + maxWarmUpSlowdown * (1 - age.count() / faults.warmUpMs);
    return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
}

void ServerStandin::addLoadHeaders(Response &response, const Request &request)
{
    const auto now = SteadyClock::now();
    m_loadHistory.emplace_back(now, m_busySlots + static_cast<int>(m_waitQueue.size()));
    const auto reportDelay =
        std::chrono::milliseconds(static_cast<int>(m_parameters.loadReportDelayMs));
    while (m_loadHistory.size() > 1 && now - m_loadHistory[1].first > reportDelay)
        m_loadHistory.pop_front();
    response.set("X-Query-Id", headerOf(request, "X-Query-Id"));
    response.set("X-Load", std::to_string(m_loadHistory.front().second));
    response.set("X-Slots", std::to_string(m_parameters.slots));
    std::string snapshotIds;
    for (const auto &it : snapshots)
        snapshotIds += (snapshotIds.empty() ? "" : ",") + it.first;
    response.set("X-Holds", snapshotIds);
}

Response ServerStandin::makeRejection(const Request &request, unsigned status, const char *reason)
{
    auto response = makeResponse(status, "");
    response.set("X-Refusal", reason);
    addLoadHeaders(response, request);
    return response;
}

asio::awaitable<Response> ServerStandin::handle(const Request &request,
                                                std::shared_ptr<Connection> connection)
{
    const auto delay = zoneDelay(request);
    if (delay.count() > 0)
        co_await sleepFor(delay);
    Response response;
    if (request.target() == "/load") {
        // The health report of a draining server still says ready: hosts must not rely on it to
        // detect draining.
        response = makeResponse(200, R"({"state":"ready"})");
        addLoadHeaders(response, request);
    } else if (request.target() == "/cancel") {
        response = cancel(request);
    } else {
        auto job = std::make_shared<Job>(m_io);
        job->queryId = headerOf(request, "X-Query-Id");
        m_jobs.push_back(job);
        response = co_await execute(request, connection, job);
        m_jobs.remove(job);
    }
    if (delay.count() > 0)
        co_await sleepFor(delay);
    if (bernoulli(faults.silentShare))
        connection->silent = true;
    co_return response;
}

asio::awaitable<Response> ServerStandin::execute(const Request &request,
                                                 std::shared_ptr<Connection> connection,
                                                 std::shared_ptr<Job> job)
{
    if (faults.draining) {
        ++m_counters.rejectedDraining;
        if (SteadyClock::now() - drainingSince > std::chrono::seconds(5))
            ++m_counters.rejectedLateInDrain;
        co_return makeRejection(request, 503, "draining");
    }
    const auto snapshot =
        headerOf(request, "X-Index-Version") + "." + headerOf(request, "X-Shard-Map");
    const bool search = request.target() == "/search";
    if (search && snapshots.count(snapshot) == 0)
        co_return makeRejection(request, 409, "snapshot-missing");
    const bool full = m_busySlots >= m_parameters.slots
        && static_cast<int>(m_waitQueue.size()) >= m_parameters.queue;
    if (faults.shedding || full) {
        ++m_counters.shed;
        co_return makeRejection(request, 429, "shed");
    }
    const auto text = headerOf(request, "X-Deadline-Ms");
    const auto deadline =
        SteadyClock::now() + std::chrono::milliseconds(text.empty() ? 60000 : std::stoll(text));
    if (!co_await waitForSlot(job, deadline)) {
        if (!job->cancelled)
            ++m_counters.expiredInQueue;
        co_return job->cancelled ? makeRejection(request, 499, "cancelled")
                                 : makeRejection(request, 429, "shed");
    }
    // The snapshot may have been dropped while the search was queued. It may also be dropped while
    // the search runs, so the number of documents is copied here.
    const auto heldSnapshot = snapshots.find(snapshot);
    if (search && heldSnapshot == snapshots.end()) {
        releaseSlot();
        co_return makeRejection(request, 409, "snapshot-missing");
    }
    const auto documents = search ? heldSnapshot->second : 0;
    ++m_counters.started;
    if (!search)
        ++m_executions[headerOf(request, "X-Key")];
    error_code ec;
    job->timer.expires_after(serviceTime());
    co_await job->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    releaseSlot();
    if (job->cancelled) {
        ++m_counters.cancelled;
        co_return makeRejection(request, 499, "cancelled");
    }
    ++m_counters.finished;
    if (bernoulli(faults.lostResponseShare))
        connection->dropped = true;
    connection->truncated = bernoulli(faults.truncateShare);
    co_return search ? searchResponse(request, snapshot, documents) : executionResponse(request);
}

asio::awaitable<bool> ServerStandin::waitForSlot(std::shared_ptr<Job> job,
                                                 SteadyClock::time_point deadline)
{
    if (m_busySlots < m_parameters.slots) {
        ++m_busySlots;
        co_return true;
    }
    m_waitQueue.push_back(job);
    error_code ec;
    job->timer.expires_at(deadline);
    co_await job->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (job->slotGranted && !job->cancelled)
        co_return true;
    if (job->slotGranted)
        releaseSlot();
    std::erase(m_waitQueue, job);
    co_return false;
}

void ServerStandin::releaseSlot()
{
    --m_busySlots;
    if (m_waitQueue.empty())
        return;
    auto job = m_waitQueue.front();
    m_waitQueue.pop_front();
    job->slotGranted = true;
    ++m_busySlots;
    job->timer.cancel();
}

Response ServerStandin::searchResponse(const Request &request, const std::string &snapshot,
                                       std::uint64_t documents)
{
    const json body{{"server", m_parameters.id},
                    {"group", m_parameters.group},
                    {"snapshot", snapshot},
                    {"echo", std::to_string(std::hash<std::string>()(request.body()))}};
    auto response = makeResponse(200, body.dump());
    addLoadHeaders(response, request);
    if (bernoulli(faults.wrongQueryShare))
        response.set("X-Query-Id", "foreign");
    response.set("X-Group", std::to_string(m_parameters.group));
    response.set("X-Index-Version", headerOf(request, "X-Index-Version"));
    response.set("X-Shard-Map", headerOf(request, "X-Shard-Map"));
    response.set("X-Documents", std::to_string(documents));
    return response;
}

Response ServerStandin::executionResponse(const Request &request)
{
    const auto key = headerOf(request, "X-Key");
    const json body{{"server", m_parameters.id},
                    {"key", key},
                    {"execution", m_executions[key]},
                    {"echo", std::to_string(std::hash<std::string>()(request.body()))}};
    return makeResponse(200, body.dump());
}

Response ServerStandin::cancel(const Request &request)
{
    const auto id = headerOf(request, "X-Query-Id");
    for (const auto &it : m_jobs) {
        if (it->queryId != id)
            continue;
        it->cancelled = true;
        it->timer.cancel();
    }
    return makeResponse(200);
}

} // namespace standins
