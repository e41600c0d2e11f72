#include "store.h"

#include <algorithm>
#include <chrono>

namespace review {

namespace {

constexpr std::size_t pageObjects = 500;
constexpr std::size_t pageBytes = 1000 * 1000;
constexpr std::int64_t maxWaitMs = 30000;

Response jsonResponse(int status, const json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace

Store::Store(const std::string &address)
    : m_listener(std::make_unique<Listener>(
        address, [this](const Request &request, Connection &) { return answer(request); }))
{ }

std::optional<std::string> Store::answer(const Request &request)
{
    if (m_away)
        return std::nullopt;
    auto response = handle(request);
    if (m_away)
        return std::nullopt;
    const std::scoped_lock lock(m_mutex);
    response.headers.emplace_back("Store-Era", std::to_string(m_era));
    return encode(response);
}

void Store::copy()
{
    const std::scoped_lock lock(m_mutex);
    m_copiedKinds = m_kinds;
    m_copiedRevision = m_revision;
}

void Store::setAway(bool away)
{
    m_away = away;
    if (away)
        m_listener->closeConnections();
    m_changed.notify_all();
}

void Store::restore()
{
    const std::scoped_lock lock(m_mutex);
    m_kinds = m_copiedKinds;
    m_revision = m_copiedRevision;
    m_oldestRevision = m_copiedRevision;
    m_events.clear();
    ++m_era;
}

json Store::toJson(const std::string &name, const Object &object)
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

void Store::addEvent(const std::string &kind, const std::string &name, const Object &object,
                     bool deleted)
{
    m_events.push_back(
        {m_revision, kind, {{"object", toJson(name, object)}, {"deleted", deleted}}});
    m_changed.notify_all();
}

std::uint64_t Store::put(const std::string &kind, const std::string &name, const json &spec)
{
    const std::scoped_lock lock(m_mutex);
    auto &object = m_kinds[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return object.revision;
    object.revision = ++m_revision;
    if (object.created == 0)
        object.created = m_revision;
    object.spec = spec;
    addEvent(kind, name, object, false);
    return m_revision;
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    auto &objects = m_kinds[kind];
    const auto it = objects.find(name);
    if (it == objects.end())
        return;
    auto object = it->second;
    objects.erase(it);
    object.revision = ++m_revision;
    addEvent(kind, name, object, true);
}

Response Store::handle(const Request &request)
{
    const std::string prefix = "/objects/";
    const auto path = request.path();
    if (!path.starts_with(prefix))
        return jsonResponse(404, json::object());
    const auto rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (request.method != "GET")
        return write(request, kind, name);
    if (request.parameter("watch"))
        return watch(request, kind);
    if (name.empty())
        return list(kind, request.parameter("after").value_or(""));
    const std::scoped_lock lock(m_mutex);
    const auto it = m_kinds[kind].find(name);
    if (it == m_kinds[kind].end())
        return jsonResponse(404, json::object());
    return jsonResponse(200, toJson(name, it->second));
}

Response Store::list(const std::string &kind, const std::string &after)
{
    const std::scoped_lock lock(m_mutex);
    const auto &objects = m_kinds[kind];
    json items = json::array();
    std::size_t bytes = 0;
    auto it = objects.upper_bound(after);
    for (; it != objects.end(); ++it) {
        auto item = toJson(it->first, it->second);
        const auto size = item.dump().size();
        if (items.size() == pageObjects || (!items.empty() && bytes + size > pageBytes))
            break;
        bytes += size;
        items.push_back(std::move(item));
    }
    return jsonResponse(
        200, {{"items", items}, {"more", it != objects.end()}, {"store_revision", m_revision}});
}

Response Store::watch(const Request &request, const std::string &kind)
{
    const auto from = std::stoull(*request.parameter("watch"));
    const auto wait =
        std::min<std::int64_t>(maxWaitMs, std::stoll(request.parameter("wait_ms").value_or("0")));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    std::unique_lock lock(m_mutex);
    if (from > m_revision || from < m_oldestRevision)
        return jsonResponse(410, json::object());
    json events = json::array();
    m_changed.wait_until(lock, until, [&] {
        for (const auto &it : m_events) {
            if (it.kind == kind && it.revision > from)
                events.push_back(it.event);
        }
        return !events.empty() || m_away;
    });
    return jsonResponse(200, {{"events", events}, {"store_revision", m_revision}});
}

Response Store::write(const Request &request, const std::string &kind, const std::string &name)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("meta"))
        return jsonResponse(400, json::object());
    const auto &meta = body.at("meta");
    const auto spec = body.value("spec", json());
    const std::scoped_lock lock(m_mutex);
    auto &objects = m_kinds[kind];
    const auto target = request.method == "POST" ? meta.value("name", "") : name;
    const auto it = objects.find(target);
    if (request.method == "POST" && it != objects.end())
        return jsonResponse(409, toJson(target, it->second));
    if (request.method == "PUT" && it == objects.end())
        return jsonResponse(404, json::object());
    auto &object = objects[target];
    const auto expected = meta.value("revision", std::uint64_t{0});
    if (request.method == "PUT" && expected != 0 && expected != object.revision)
        return jsonResponse(409, toJson(target, object));
    if (object.revision == 0 || object.spec != spec) {
        object.revision = ++m_revision;
        if (object.created == 0)
            object.created = m_revision;
        object.spec = spec;
        addEvent(kind, target, object, false);
    }
    return jsonResponse(200, toJson(target, object));
}

} // namespace review
