#include "traffic.h"

#include "record.h"

#include <random>

namespace review {

namespace {

constexpr int connectTimeoutMs = 1000;
// Time beyond its deadline for which a consumer waits for an answer that is on its way.
constexpr int extraWaitMs = 500;
// Requests that a consumer sends on a connection before it opens another one.
constexpr int requestsPerConnection = 40;

} // namespace

Traffic::Traffic(const Deployment &deployment, Parameters parameters)
    : m_deployment(deployment), m_parameters(std::move(parameters)),
      m_hosts(deployment.hosts().size())
{
    for (int i = 0; i < m_parameters.consumers; ++i)
        m_threads.emplace_back([this, i] { run(static_cast<std::size_t>(i)); });
}

void Traffic::stop()
{
    m_stopped = true;
    for (auto &it : m_threads) {
        if (it.joinable())
            it.join();
    }
}

std::vector<Attempt> Traffic::attempts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_attempts;
}

void Traffic::run(std::size_t consumer)
{
    std::mt19937_64 random(std::random_device{}());
    const double pauseMs = 1000.0 * m_parameters.consumers / m_parameters.perSecond;
    double nextMs = static_cast<double>(nowMs())
        + pauseMs * static_cast<double>(consumer) / m_parameters.consumers;
    std::unique_ptr<Connection> connection;
    int sent = 0;
    while (!m_stopped) {
        nextMs += pauseMs;
        const auto wait = static_cast<std::int64_t>(nextMs) - nowMs();
        if (wait > 0)
            sleepMs(wait);
        if (m_stopped)
            return;
        Attempt attempt;
        attempt.id = makeRequestId();
        attempt.route = m_parameters.name;
        if (!connection || connection->ended() || sent >= requestsPerConnection) {
            attempt.host = random() % m_hosts;
            connection = connectTo(m_deployment.callers(attempt.host), connectTimeoutMs);
            sent = 0;
            if (!connection)
                continue;
        }
        ++sent;
        Request request{m_parameters.method,
                        m_parameters.prefix + std::to_string(random() % 100000),
                        {{"Host", "soglia.example"},
                         {"X-Request-Id", attempt.id},
                         {"X-Deadline-Ms", std::to_string(m_parameters.deadlineMs)}},
                        std::string(m_parameters.bodyBytes, 'c')};
        if (!m_parameters.key.empty())
            request.headers.emplace_back("Authorization", "Token " + m_parameters.key);
        attempt.sentMs = nowMs();
        record("send " + attempt.id + " " + request.method + " " + request.target);
        std::optional<Response> response;
        if (connection->write(encode(request)))
            response = connection->readResponse(m_parameters.deadlineMs + extraWaitMs);
        attempt.endedMs = nowMs();
        if (response) {
            attempt.status = response->status;
            attempt.body = response->body;
        }
        record("answer " + attempt.id + " " + std::to_string(attempt.status));
        if (!response || response->header("Connection") == "close")
            connection.reset();
        const std::scoped_lock lock(m_mutex);
        m_attempts.push_back(std::move(attempt));
    }
}

} // namespace review
