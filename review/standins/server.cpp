#include "server.h"

#include "record.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::chrono::milliseconds heartbeatPeriod{1200};
constexpr int pollMs = 5;

} // namespace

void Executions::add(const std::string &requestId, Run run)
{
    const std::scoped_lock lock(m_mutex);
    m_runs[requestId].push_back(std::move(run));
}

std::map<std::string, std::vector<Executions::Run>> Executions::all() const
{
    const std::scoped_lock lock(m_mutex);
    return m_runs;
}

Server::Server(ServerParameters parameters, Store &store, Executions &executions)
    : m_parameters(std::move(parameters)), m_store(store), m_executions(executions)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    makeBody = [this](const Request &request) {
        return "answer of " + m_parameters.service + " to " + request.target + "\n";
    };
    m_listener = std::make_unique<Listener>(m_parameters.address,
                                            [this](const Request &request, Connection &connection) {
                                                return handle(request, connection);
                                            });
    publish();
    m_heartbeats = std::thread([this] {
        std::unique_lock lock(m_mutex);
        while (!m_changed.wait_for(lock, heartbeatPeriod, [this] { return m_exited; })) {
            lock.unlock();
            publish();
            lock.lock();
        }
    });
}

Server::~Server()
{
    exit();
    m_heartbeats.join();
}

json Server::nextEntry()
{
    const std::scoped_lock lock(m_mutex);
    return {{"service", m_parameters.service},
            {"address", m_listener->address()},
            {"zone", m_parameters.zone},
            {"version", "1.4.2"},
            {"capacity", m_parameters.slots},
            {"state", m_state},
            {"warmup_left_ms", 0},
            {"sequence", ++m_sequence},
            {"born", m_born}};
}

void Server::publish()
{
    m_store.put("servers", m_parameters.id, nextEntry());
}

void Server::drain()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_state = "draining";
    }
    publish();
    record("server " + m_parameters.id + " reports draining, the store has accepted it");
}

void Server::exit()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (std::exchange(m_exited, true))
            return;
    }
    m_changed.notify_all();
    m_listener->stop();
    m_store.remove("servers", m_parameters.id);
}

bool Server::acquireSlot()
{
    std::unique_lock lock(m_mutex);
    if (m_running >= m_parameters.slots && m_waiting >= m_parameters.queue)
        return false;
    ++m_waiting;
    m_changed.wait(lock, [this] { return m_exited || m_running < m_parameters.slots; });
    --m_waiting;
    ++m_running;
    return true;
}

void Server::releaseSlot()
{
    {
        const std::scoped_lock lock(m_mutex);
        --m_running;
    }
    m_changed.notify_all();
}

std::optional<std::string> Server::handle(const Request &request, Connection &connection)
{
    if (beforeRequest)
        beforeRequest(connection);
    Response response;
    bool dropped = false;
    if (request.header("X-Expected-Instance") != m_parameters.id) {
        response = {421, {{"X-Not-Executed", "1"}}, ""};
    } else if (!acquireSlot()) {
        response = {503, {{"X-Not-Executed", "1"}}, ""};
    } else {
        response = run(request, connection, dropped);
        releaseSlot();
    }
    if (dropped)
        return std::nullopt;
    response.headers.emplace_back("X-Request-Id", request.header("X-Request-Id"));
    {
        const std::scoped_lock lock(m_mutex);
        response.headers.emplace_back("X-Server-Load",
                                      std::to_string(m_running) + "," + std::to_string(m_waiting)
                                          + "," + std::to_string(m_parameters.slots));
    }
    return encode(response);
}

Response Server::run(const Request &request, Connection &connection, bool &dropped)
{
    const auto id = request.header("X-Request-Id");
    m_executions.add(id, {m_parameters.id, m_parameters.service, nowMs()});
    record("run " + id + " " + request.method + " " + request.target + " at " + m_parameters.id
           + " of " + m_parameters.service);
    const auto deadline = request.header("X-Deadline-Ms");
    const int allowed = deadline.empty() ? m_parameters.workMs : std::stoi(deadline);
    const auto until = nowMs() + std::min(m_parameters.workMs, allowed);
    while (nowMs() < until) {
        sleepMs(std::min<std::int64_t>(pollMs, until - nowMs()));
        if (connection.ended()) {
            record("drop " + id + " at " + m_parameters.id + ", its connection closed");
            dropped = true;
            return {};
        }
    }
    if (afterRun)
        afterRun(connection);
    const bool inTime = allowed > m_parameters.workMs;
    return {inTime ? 200 : 504,
            {{"X-Server-Stamp", m_parameters.id + "." + id}},
            inTime ? makeBody(request) : ""};
}

} // namespace review
