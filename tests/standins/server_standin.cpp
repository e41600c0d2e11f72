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

ServerStandin::ServerStandin(asio::io_context &io, ServerShape shape, unsigned seed)
    : m_io(io), m_shape(std::move(shape)), m_random(seed)
{
    open();
}

void ServerStandin::open()
{
    ListenerHooks hooks;
    hooks.connectCost = std::chrono::milliseconds(m_shape.connectMs);
    hooks.handle = [this](const Request &request, std::shared_ptr<Connection> connection) {
        return handle(request, std::move(connection));
    };
    hooks.opened = [this](const std::shared_ptr<Connection> &connection) {
        if (static_cast<int>(m_connections.size()) >= m_shape.connections) {
            ++m_counters.connectionsRefused;
            return false;
        }
        ++m_counters.connectionsOpened;
        m_connections[connection->id] = connection;
        m_counters.connectionsPeak =
            std::max(m_counters.connectionsPeak, static_cast<int>(m_connections.size()));
        return true;
    };
    hooks.closed = [this](const std::shared_ptr<Connection> &connection) {
        m_connections.erase(connection->id);
    };
    m_acceptor = listen(m_io, m_port, std::move(hooks));
    m_port = m_acceptor->local_endpoint().port();
}

void ServerStandin::setDown(bool down)
{
    if (down == switches.down)
        return;
    switches.down = down;
    error_code ec;
    if (!down)
        return open();
    m_acceptor->close(ec);
    for (auto &it : m_connections)
        it.second->stream.socket().close(ec);
    m_connections.clear();
}

void ServerStandin::silence(double share)
{
    for (auto &it : m_connections)
        it.second->silent = it.second->silent || chance(share);
}

bool ServerStandin::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

std::chrono::milliseconds ServerStandin::zoneDelay(const Request &request) const
{
    const auto zone = headerOf(request, "X-Caller-Zone");
    const bool crosses = !zone.empty() && zone != m_shape.zone;
    return std::chrono::milliseconds(crosses ? static_cast<int>(m_shape.zoneDelayMs) : 0);
}

std::chrono::microseconds ServerStandin::serviceTime()
{
    constexpr double lowest = 0.7;
    constexpr double spread = 0.6;
    constexpr double coldFactor = 5;
    double ms =
        m_shape.serviceMs * (lowest + spread * std::uniform_real_distribution<>(0, 1)(m_random));
    if (chance(m_shape.tailShare))
        ms *= m_shape.tailFactor;
    ms *= switches.straggle;
    const auto age = std::chrono::duration<double, std::milli>(SteadyClock::now() - coldSince);
    if (switches.coldMs > 0 && age.count() < switches.coldMs)
        ms *= 1 + coldFactor * (1 - age.count() / switches.coldMs);
    return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
}

void ServerStandin::describe(Response &response, const Request &request)
{
    const auto now = SteadyClock::now();
    m_loads.emplace_back(now, m_busy + static_cast<int>(m_waiting.size()));
    const auto lag = std::chrono::milliseconds(static_cast<int>(m_shape.loadLagMs));
    while (m_loads.size() > 1 && now - m_loads[1].first > lag)
        m_loads.pop_front();
    response.set("X-Query-Id", headerOf(request, "X-Query-Id"));
    response.set("X-Load", std::to_string(m_loads.front().second));
    response.set("X-Slots", std::to_string(m_shape.slots));
    std::string held;
    for (const auto &it : holds)
        held += (held.empty() ? "" : ",") + it.first;
    response.set("X-Holds", held);
}

Response ServerStandin::refusal(const Request &request, unsigned status, const char *reason)
{
    auto response = makeResponse(status, "");
    response.set("X-Refusal", reason);
    describe(response, request);
    return response;
}

asio::awaitable<Response> ServerStandin::handle(const Request &request,
                                                std::shared_ptr<Connection> connection)
{
    const auto delay = zoneDelay(request);
    if (delay.count() > 0)
        co_await pause(delay);
    Response response;
    if (request.target() == "/load") {
        // The health report lies: a draining server still calls itself ready.
        response = makeResponse(200, R"({"state":"ready"})");
        describe(response, request);
    } else if (request.target() == "/cancel") {
        response = cancel(request);
    } else {
        auto job = std::make_shared<Job>(m_io);
        job->queryId = headerOf(request, "X-Query-Id");
        m_jobs.push_back(job);
        response = co_await work(request, connection, job);
        m_jobs.remove(job);
    }
    if (delay.count() > 0)
        co_await pause(delay);
    if (chance(switches.silentShare))
        connection->silent = true;
    co_return response;
}

asio::awaitable<Response> ServerStandin::work(const Request &request,
                                              std::shared_ptr<Connection> connection,
                                              std::shared_ptr<Job> job)
{
    if (switches.draining) {
        ++m_counters.drained;
        if (SteadyClock::now() - drainedAt > std::chrono::seconds(5))
            ++m_counters.afterDrain;
        co_return refusal(request, 503, "draining");
    }
    const auto snapshot =
        headerOf(request, "X-Index-Version") + "." + headerOf(request, "X-Shard-Map");
    const bool search = request.target() == "/search";
    if (search && holds.count(snapshot) == 0)
        co_return refusal(request, 409, "snapshot-missing");
    const bool full =
        m_busy >= m_shape.slots && static_cast<int>(m_waiting.size()) >= m_shape.queue;
    if (switches.shedding || full) {
        ++m_counters.shed;
        co_return refusal(request, 429, "shed");
    }
    const auto text = headerOf(request, "X-Deadline-Ms");
    const auto deadline =
        SteadyClock::now() + std::chrono::milliseconds(text.empty() ? 60000 : std::stoll(text));
    if (!co_await waitForSlot(job, deadline)) {
        if (!job->cancelled)
            ++m_counters.expired;
        co_return job->cancelled ? refusal(request, 499, "cancelled")
                                 : refusal(request, 429, "shed");
    }
    // The snapshot may have been dropped while the search waited, or be dropped while it runs.
    const auto held = holds.find(snapshot);
    if (search && held == holds.end()) {
        releaseSlot();
        co_return refusal(request, 409, "snapshot-missing");
    }
    const auto documents = search ? held->second : 0;
    ++m_counters.started;
    if (!search)
        ++m_executions[headerOf(request, "X-Key")];
    error_code ec;
    job->timer.expires_after(serviceTime());
    co_await job->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    releaseSlot();
    if (job->cancelled) {
        ++m_counters.cancelled;
        co_return refusal(request, 499, "cancelled");
    }
    ++m_counters.finished;
    if (chance(switches.loseAnswerShare))
        connection->dropped = true;
    connection->truncated = chance(switches.truncateShare);
    co_return search ? searchAnswer(request, snapshot, documents) : executeAnswer(request);
}

asio::awaitable<bool> ServerStandin::waitForSlot(std::shared_ptr<Job> job,
                                                 SteadyClock::time_point deadline)
{
    if (m_busy < m_shape.slots) {
        ++m_busy;
        co_return true;
    }
    m_waiting.push_back(job);
    error_code ec;
    job->timer.expires_at(deadline);
    co_await job->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (job->granted && !job->cancelled)
        co_return true;
    if (job->granted)
        releaseSlot();
    std::erase(m_waiting, job);
    co_return false;
}

void ServerStandin::releaseSlot()
{
    --m_busy;
    if (m_waiting.empty())
        return;
    auto job = m_waiting.front();
    m_waiting.pop_front();
    job->granted = true;
    ++m_busy;
    job->timer.cancel();
}

Response ServerStandin::searchAnswer(const Request &request, const std::string &snapshot,
                                     std::uint64_t documents)
{
    const json body{{"server", m_shape.id},
                    {"group", m_shape.group},
                    {"snapshot", snapshot},
                    {"echo", std::to_string(std::hash<std::string>()(request.body()))}};
    auto response = makeResponse(200, body.dump());
    describe(response, request);
    if (chance(switches.wrongQueryShare))
        response.set("X-Query-Id", "foreign");
    response.set("X-Group", std::to_string(m_shape.group));
    response.set("X-Index-Version", headerOf(request, "X-Index-Version"));
    response.set("X-Shard-Map", headerOf(request, "X-Shard-Map"));
    response.set("X-Documents", std::to_string(documents));
    return response;
}

Response ServerStandin::executeAnswer(const Request &request)
{
    const auto key = headerOf(request, "X-Key");
    const json body{{"server", m_shape.id},
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
