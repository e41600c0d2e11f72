#include "platform_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace standins {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds watchPollInterval{3};
constexpr std::chrono::milliseconds maxWatchTime{30000};
constexpr std::size_t maxBodyBytes = 1U << 20;
constexpr std::string_view objectPrefix = "/objects/";

std::uint64_t parseNumber(const std::string &text)
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

std::optional<PlatformStandin::ObjectPath> PlatformStandin::parse(const std::string &target)
{
    auto rest = target.substr(0, target.find('?'));
    if (!rest.starts_with(objectPrefix))
        return std::nullopt;
    rest = rest.substr(objectPrefix.size());
    ObjectPath path;
    const auto slash = rest.find('/');
    path.kind = rest.substr(0, slash);
    if (slash != std::string::npos)
        path.name = rest.substr(slash + 1);
    constexpr std::string_view statusSuffix = "/status";
    if (path.name.ends_with(statusSuffix)) {
        path.status = true;
        path.name.resize(path.name.size() - statusSuffix.size());
    }
    return path;
}

asio::awaitable<Response> PlatformStandin::handle(const Request &request,
                                                  std::shared_ptr<Connection> connection)
{
    auto response = co_await handleCall(request, std::move(connection));
    response.set("Store-Era", std::to_string(m_era));
    co_return response;
}

asio::awaitable<Response> PlatformStandin::handleCall(const Request &request,
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
    if (m_responseDelayMs > 0)
        co_await sleepFor(std::chrono::milliseconds(m_responseDelayMs));
    const auto path = parse(target);
    if (!path)
        co_return makeResponse(404);
    if (request.method() != http::verb::get)
        co_return co_await write(request, *path, std::move(connection));
    const bool isWatch = !parameterOf(request, "watch").empty();
    ++(isWatch ? m_counters.watches : m_counters.reads);
    if (m_mode == "endless") {
        setEndless(*connection, isWatch);
        co_return makeResponse(200);
    }
    if (isRateLimited(m_readRate, m_readsPerSecond))
        co_return makeResponse(429);
    if (isWatch)
        co_return co_await watch(request, path->kind, std::move(connection));
    if (isRejected(parameterOf(request, "after")))
        co_return makeResponse(400);
    co_return path->name.empty() ? list(request, path->kind) : get(*path);
}

void PlatformStandin::setEndless(Connection &connection, bool isWatch)
{
    constexpr int objects = 1000;
    connection.raw =
        std::string("HTTP/1.1 200 OK\r\n\r\n{\"") + (isWatch ? "events" : "items") + "\":[";
    const std::string object = R"({"meta":{"name":"n"},"spec":{"text":"x"}})";
    for (int i = 0; i < objects; ++i) {
        connection.repeated +=
            (isWatch ? "{\"object\":" + object + ",\"deleted\":false}" : object) + ",";
    }
}

bool PlatformStandin::isRejected(const std::string &after) const
{
    return !m_rejectedText.empty() && after.find(m_rejectedText) != std::string::npos;
}

bool PlatformStandin::isRateLimited(RateWindow &rate, int limit)
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

json PlatformStandin::toJson(const std::string &name, const Object &object)
{
    return {{"meta",
             {{"name", name},
              {"revision", object.revision},
              {"created", object.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
}

Response PlatformStandin::list(const Request &request, const std::string &kind) const
{
    const auto after = parameterOf(request, "after");
    json items = json::array();
    bool more = false;
    const auto found = m_kinds.find(kind);
    if (found != m_kinds.end()) {
        for (auto it = found->second.upper_bound(after); it != found->second.end(); ++it) {
            if (items.size() == m_pageSize) {
                more = true;
                break;
            }
            items.push_back(toJson(it->first, it->second));
        }
    }
    return makeResponse(
        200, json{{"items", items}, {"more", more}, {"store_revision", m_revision}}.dump());
}

Response PlatformStandin::get(const ObjectPath &path) const
{
    const auto kind = m_kinds.find(path.kind);
    if (kind == m_kinds.end())
        return makeResponse(404);
    const auto it = kind->second.find(path.name);
    if (it == kind->second.end())
        return makeResponse(404);
    return makeResponse(200, toJson(it->first, it->second).dump());
}

asio::awaitable<Response> PlatformStandin::watch(const Request &request, const std::string &kind,
                                                 std::shared_ptr<Connection> connection)
{
    const auto from = parseNumber(parameterOf(request, "watch"));
    const auto wait = std::min(
        maxWatchTime, std::chrono::milliseconds(parseNumber(parameterOf(request, "wait_ms"))));
    const auto until = std::chrono::steady_clock::now() + wait;
    while (true) {
        if (m_mode == "refuse")
            co_return makeResponse(503);
        if (m_mode == "hang") {
            connection->silent = true;
            co_return makeResponse(503);
        }
        if (from < m_compactedRevision || from > m_revision)
            co_return makeResponse(410);
        json events = json::array();
        for (const auto &it : m_history) {
            if (it.kind == kind && it.revision > from)
                events.push_back(it.event);
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until) {
            co_return makeResponse(200,
                                   json{{"events", events}, {"store_revision", m_revision}}.dump());
        }
        co_await sleepFor(watchPollInterval);
    }
}

asio::awaitable<Response> PlatformStandin::write(const Request &request, const ObjectPath &path,
                                                 std::shared_ptr<Connection> connection)
{
    ++m_counters.writes;
    if (isRateLimited(m_writeRate, m_writesPerSecond))
        co_return makeResponse(429);
    if (request.body().size() > maxBodyBytes)
        co_return makeResponse(413);
    const bool lost = std::uniform_real_distribution<>(0, 1)(m_random) < m_lostResponseShare;
    if (lost) {
        ++m_counters.lost;
        connection->dropped = true;
    }
    if (lost && m_lateWriteDelayMs > 0) {
        // The write is applied after the delay, if its revision condition still holds then.
        asio::co_spawn(
            m_acceptor->get_executor(),
            [](PlatformStandin *self, Request lateRequest,
               ObjectPath latePath) -> asio::awaitable<void> {
                co_await sleepFor(std::chrono::milliseconds(self->m_lateWriteDelayMs));
                self->apply(lateRequest, latePath);
            }(this, request, path),
            asio::detached);
        co_return makeResponse(503);
    }
    co_return apply(request, path);
}

Response PlatformStandin::apply(const Request &request, const ObjectPath &path)
{
    if (request.method() == http::verb::delete_)
        return remove(path, parseNumber(parameterOf(request, "revision")));
    const auto body = json::parse(request.body(), nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return makeResponse(400);
    if (request.method() == http::verb::post)
        return create(path.kind, body);
    if (request.method() == http::verb::put)
        return replace(path, body);
    return makeResponse(405);
}

Response PlatformStandin::create(const std::string &kind, const json &body)
{
    const auto name = body.value("meta", json::object()).value("name", "");
    if (name.empty())
        return makeResponse(400);
    auto &objects = m_kinds[kind];
    const auto it = objects.find(name);
    if (it != objects.end())
        return makeResponse(409, toJson(name, it->second).dump());
    Object object;
    object.revision = object.created = ++m_revision;
    object.spec = body.value("spec", json());
    objects[name] = object;
    record(kind, name, object, false);
    return makeResponse(200, toJson(name, object).dump());
}

Response PlatformStandin::replace(const ObjectPath &path, const json &body)
{
    auto &objects = m_kinds[path.kind];
    const auto it = objects.find(path.name);
    if (it == objects.end())
        return makeResponse(404);
    auto &object = it->second;
    const auto expected = body.value("meta", json::object()).value("revision", std::uint64_t{0});
    if (expected != 0 && expected != object.revision)
        return makeResponse(409, toJson(path.name, object).dump());
    auto &part = path.status ? object.status : object.spec;
    auto newValue = body.value(path.status ? "status" : "spec", json());
    if (part != newValue) {
        part = std::move(newValue);
        object.revision = ++m_revision;
        record(path.kind, path.name, object, false);
    }
    return makeResponse(200, toJson(path.name, object).dump());
}

Response PlatformStandin::remove(const ObjectPath &path, std::uint64_t revision)
{
    auto &objects = m_kinds[path.kind];
    const auto it = objects.find(path.name);
    if (it == objects.end())
        return makeResponse(404);
    if (revision != 0 && revision != it->second.revision)
        return makeResponse(409, toJson(path.name, it->second).dump());
    auto object = it->second;
    objects.erase(it);
    object.revision = ++m_revision;
    record(path.kind, path.name, object, true);
    return makeResponse(200, toJson(path.name, object).dump());
}

void PlatformStandin::record(const std::string &kind, const std::string &name, const Object &object,
                             bool deleted)
{
    const auto now = std::chrono::steady_clock::now();
    m_history.push_back(
        {object.revision, kind, {{"deleted", deleted}, {"object", toJson(name, object)}}, now});
    while (!m_history.empty() && now - m_history.front().at > m_historyRetention) {
        m_compactedRevision = m_history.front().revision;
        m_history.pop_front();
    }
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
    m_responseDelayMs = body.value("slow_ms", m_responseDelayMs);
    m_lostResponseShare = body.value("lose_share", m_lostResponseShare);
    m_lateWriteDelayMs = body.value("late_ms", m_lateWriteDelayMs);
    m_readsPerSecond = body.value("reads_per_s", m_readsPerSecond);
    m_writesPerSecond = body.value("writes_per_s", m_writesPerSecond);
    m_pageSize = body.value("page_size", m_pageSize);
    m_rejectedText = body.value("reject_after", m_rejectedText);
    if (body.value("copy", false)) {
        m_copiedKinds = m_kinds;
        m_copiedRevision = m_revision;
    }
    if (body.value("restore", false))
        restore(body.value("further_revisions", std::uint64_t{0}));
    if (body.value("forget", false)) {
        m_history.clear();
        m_compactedRevision = m_revision;
    }
    return makeResponse(200);
}

void PlatformStandin::restore(std::uint64_t furtherRevisions)
{
    m_kinds = m_copiedKinds;
    m_revision = m_copiedRevision + furtherRevisions;
    m_history.clear();
    m_compactedRevision = 0;
    ++m_era;
}

} // namespace standins
