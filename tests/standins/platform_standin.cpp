#include "platform_standin.h"

#include <nlohmann/json.hpp>

namespace standins {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds watchStep{3};
constexpr std::size_t largestValue = 1U << 20;
constexpr std::string_view objectPrefix = "/v1/objects/";

std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

PlatformStandin::PlatformStandin(asio::io_context &io, unsigned short port)
{
    ListenerHooks hooks;
    hooks.handle = [this](const Request &request, std::shared_ptr<Connection> connection) {
        return handle(request, std::move(connection));
    };
    m_acceptor = listen(io, port, std::move(hooks));
}

asio::awaitable<Response> PlatformStandin::handle(const Request &request,
                                                  std::shared_ptr<Connection> connection)
{
    const std::string target(request.target());
    if (target.starts_with("/admin/"))
        co_return admin(request);
    if (m_mode == "refuse")
        co_return makeResponse(503);
    if (m_mode == "hang") {
        connection->silent = true;
        co_return makeResponse(503);
    }
    if (m_slowMs > 0)
        co_await pause(std::chrono::milliseconds(m_slowMs));
    if (!target.starts_with(objectPrefix))
        co_return makeResponse(404);
    const auto path = target.substr(0, target.find('?'));
    const auto name = path.substr(objectPrefix.size());
    if (request.method() == http::verb::get)
        co_return co_await read(request, name);
    if (request.method() == http::verb::put)
        co_return write(request, name, connection);
    co_return makeResponse(405);
}

bool PlatformStandin::limited(Rate &rate, int limit)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            std::chrono::steady_clock::now().time_since_epoch())
                            .count();
    if (rate.second != second)
        rate = {second, 0};
    if (++rate.calls <= limit)
        return false;
    ++m_counters.limited;
    return true;
}

Response PlatformStandin::found(const Object &object) const
{
    auto response = makeResponse(200, object.text);
    response.set("X-Version", std::to_string(object.version));
    return response;
}

asio::awaitable<Response> PlatformStandin::read(const Request &request, const std::string &name)
{
    const auto waitMs = numberOf(parameterOf(request, "wait_ms"));
    const auto above = numberOf(parameterOf(request, "above"));
    if (waitMs > 0)
        ++m_counters.watches;
    else
        ++m_counters.reads;
    if (limited(m_readRate, m_readsPerSecond))
        co_return makeResponse(429);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    while (true) {
        if (m_mode == "refuse")
            co_return makeResponse(503);
        const auto it = m_objects.find(name);
        if (it != m_objects.end() && it->second.version > above)
            co_return found(it->second);
        if (std::chrono::steady_clock::now() >= until)
            co_return makeResponse(it == m_objects.end() ? 404 : 304, "");
        co_await pause(watchStep);
    }
}

Response PlatformStandin::write(const Request &request, const std::string &name,
                                const std::shared_ptr<Connection> &connection)
{
    ++m_counters.writes;
    if (limited(m_writeRate, m_writesPerSecond))
        return makeResponse(429);
    if (request.body().size() > largestValue)
        return makeResponse(413);
    const auto expected = headerOf(request, "X-Expected-Version");
    auto &object = m_objects[name];
    const bool conflict = !expected.empty() && numberOf(expected) != object.version;
    if (!conflict) {
        object.version = ++m_lastVersion;
        object.text = request.body();
    }
    if (std::uniform_real_distribution<>(0, 1)(m_random) < m_loseShare) {
        ++m_counters.lost;
        connection->dropped = true;
    }
    auto response = makeResponse(conflict ? 412 : 200);
    response.set("X-Version", std::to_string(object.version));
    return response;
}

Response PlatformStandin::admin(const Request &request)
{
    if (request.target() == "/admin/counters") {
        return makeResponse(200,
                            json{{"reads", m_counters.reads},
                                 {"watches", m_counters.watches},
                                 {"writes", m_counters.writes},
                                 {"limited", m_counters.limited},
                                 {"lost", m_counters.lost}}
                                .dump());
    }
    const auto body = json::parse(request.body(), nullptr, false);
    if (body.is_discarded())
        return makeResponse(400);
    m_mode = body.value("mode", m_mode);
    m_slowMs = body.value("slow_ms", m_slowMs);
    m_loseShare = body.value("lose_share", m_loseShare);
    m_readsPerSecond = body.value("reads_per_s", m_readsPerSecond);
    m_writesPerSecond = body.value("writes_per_s", m_writesPerSecond);
    return makeResponse(200);
}

} // namespace standins
