#include "adapters/loop/loop_server_channel.h"

#include <algorithm>
#include <charconv>

namespace goldcrestline::adapters::loop {

using policy::routing::AttemptOutcome;
using ports::ExchangeOutcome;
using ports::Headers;

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusCancelled = 499;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;
constexpr core::Millis controlTimeout{500};

std::string textOf(const Headers &headers, const char *name)
{
    const auto *value = ports::findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

template <typename Number>
Number numberOf(const Headers &headers, const char *name, Number fallback)
{
    const auto text = textOf(headers, name);
    Number n = fallback;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), n);
    return result.ec == std::errc() ? n : fallback;
}

// Reads "version.map,version.map".
std::vector<core::SnapshotId> snapshotsOf(const std::string &text)
{
    std::vector<core::SnapshotId> out;
    const char *it = text.data();
    const char *end = it + text.size();
    while (it < end) {
        core::SnapshotId id;
        const auto version = std::from_chars(it, end, id.indexVersion);
        if (version.ec != std::errc() || version.ptr == end || *version.ptr != '.')
            return out;
        const auto map = std::from_chars(version.ptr + 1, end, id.shardMap);
        if (map.ec != std::errc())
            return out;
        out.push_back(id);
        it = map.ptr + 1;
    }
    return out;
}

AttemptOutcome endOf(const ports::ExchangeResult &result)
{
    switch (result.outcome) {
    case ExchangeOutcome::NotReached:
        return AttemptOutcome::NotReached;
    case ExchangeOutcome::TimedOut:
        return AttemptOutcome::TimedOut;
    case ExchangeOutcome::Broken:
        return AttemptOutcome::Broken;
    case ExchangeOutcome::Answered:
        break;
    }
    const auto refusal = textOf(result.headers, "x-refusal");
    if (refusal == "draining")
        return AttemptOutcome::Draining;
    if (refusal == "shed" || result.status == statusTooMany)
        return AttemptOutcome::Shed;
    if (result.status == statusCancelled)
        return AttemptOutcome::Cancelled;
    if (result.status == statusOk || result.status == statusConflict)
        return AttemptOutcome::Answered;
    return AttemptOutcome::Broken;
}

ports::ServerResult readResult(const ports::ExchangeResult &from)
{
    ports::ServerResult to;
    to.outcome = endOf(from);
    to.snapshotMissing = from.status == statusConflict;
    to.sent = from.outcome != ExchangeOutcome::NotReached;
    to.status = from.status;
    to.queryId = textOf(from.headers, "x-query-id");
    to.group = numberOf(from.headers, "x-group", -1);
    to.snapshot.indexVersion = numberOf(from.headers, "x-index-version", std::uint64_t{0});
    to.snapshot.shardMap = numberOf(from.headers, "x-shard-map", std::uint32_t{0});
    to.documents = numberOf(from.headers, "x-documents", std::uint64_t{0});
    to.snapshots = snapshotsOf(textOf(from.headers, "x-holds"));
    to.load = numberOf(from.headers, "x-load", -1);
    to.slots = numberOf(from.headers, "x-slots", 1);
    to.body = from.body;
    return to;
}

core::Millis timeLeft(core::TimePoint deadline)
{
    const auto left = std::chrono::ceil<core::Millis>(deadline - core::Clock::now());
    return std::max(core::Millis(1), left);
}

// Makes a request from its lines.
ports::ExchangeRequest makeRequest(const std::string &line, const std::string &headers,
                                   std::shared_ptr<const std::string> body)
{
    ports::ExchangeRequest request;
    std::string text = line + " HTTP/1.1\r\nHost: server\r\n" + headers;
    if (body)
        text += "Content-Length: " + std::to_string(body->size()) + "\r\n";
    request.commonHead = std::make_shared<const std::string>(std::move(text));
    request.body = std::move(body);
    return request;
}

} // namespace

LoopServerChannel::LoopServerChannel(ExchangeClient &client, ChannelLimits limits)
    : m_client(client), m_limits(std::move(limits))
{ }

ports::CallId LoopServerChannel::begin(const std::string &serverId, const std::string &address,
                                       ports::ExchangeRequest request, ports::ServerHandler done)
{
    const auto id = ++m_lastCall;
    auto &state = m_calls[id];
    state.serverId = serverId;
    state.address = address;
    state.done = std::move(done);
    ++m_servers[serverId].open;
    state.exchange =
        m_client.send(address, std::move(request), core::Clock::now(),
                      [this, id](const ports::ExchangeResult &result) { onEnd(id, result); });
    return id;
}

ports::CallId LoopServerChannel::search(ports::SearchCall call, ports::ServerHandler done)
{
    const auto left = timeLeft(call.deadline);
    const auto headers = "X-Query-Id: " + call.queryId
        + "\r\nX-Group: " + std::to_string(call.group)
        + "\r\nX-Index-Version: " + std::to_string(call.snapshot.indexVersion)
        + "\r\nX-Shard-Map: " + std::to_string(call.snapshot.shardMap) + "\r\nX-Deadline-Ms: "
        + std::to_string(left.count()) + "\r\nX-Caller-Zone: " + m_limits.zone + "\r\n";
    auto request = makeRequest("POST /search", headers, std::move(call.body));
    // A call outlives the query by the grace in which a cancelled one is answered.
    request.deadline = core::Clock::now() + left + 2 * m_limits.cancelGrace;
    request.accept = [queryId = call.queryId, group = call.group,
                      snapshot = call.snapshot](int status, const Headers &answer) {
        if (textOf(answer, "x-query-id") != queryId)
            return false;
        if (status != statusOk)
            return true;
        return numberOf(answer, "x-group", -1) == group
            && numberOf(answer, "x-index-version", std::uint64_t{0}) == snapshot.indexVersion
            && numberOf(answer, "x-shard-map", std::uint32_t{0}) == snapshot.shardMap;
    };
    const auto id = begin(call.serverId, call.address, std::move(request), std::move(done));
    auto &state = m_calls[id];
    state.queryId = call.queryId;
    state.group = call.group;
    return id;
}

ports::CallId LoopServerChannel::execute(ports::ExecuteCall call, ports::ServerHandler done)
{
    const auto left = timeLeft(call.deadline);
    const auto headers = "X-Key: " + call.key + "\r\nX-Deadline-Ms: " + std::to_string(left.count())
        + "\r\nX-Caller-Zone: " + m_limits.zone + "\r\n";
    auto request = makeRequest("POST /execute", headers,
                               std::make_shared<const std::string>(std::move(call.body)));
    request.deadline = core::Clock::now() + left;
    // A kept connection that the server just closed would leave the outcome unknown.
    request.freshConnection = true;
    return begin(call.serverId, call.address, std::move(request), std::move(done));
}

void LoopServerChannel::onEnd(ports::CallId id, const ports::ExchangeResult &result)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    const auto call = std::move(it->second);
    m_calls.erase(it);
    if (result.outcome == ExchangeOutcome::TimedOut)
        ++m_silent;
    release(call.serverId, call.address);
    auto answer = readResult(result);
    if (call.cancelled && answer.outcome == AttemptOutcome::Answered)
        answer.outcome = AttemptOutcome::Cancelled;
    call.done(std::move(answer));
}

void LoopServerChannel::cancel(ports::CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.cancelled)
        return;
    auto &call = it->second;
    call.cancelled = true;
    call.closeAt = core::Clock::now() + m_limits.cancelGrace;
    auto &server = m_servers[call.serverId];
    const auto share =
        static_cast<std::size_t>(std::max(1, m_limits.connectionLimit(call.serverId)));
    if (static_cast<std::size_t>(server.open) < share) {
        sendCancel(call.serverId, call.address, call.queryId);
    } else if (server.waitingCancels.size() < share) {
        server.waitingCancels.push_back(call.queryId);
    }
}

void LoopServerChannel::sendCancel(const std::string &serverId, const std::string &address,
                                   const std::string &queryId)
{
    auto request = makeRequest(
        "POST /cancel", "X-Query-Id: " + queryId + "\r\nX-Caller-Zone: " + m_limits.zone + "\r\n",
        std::make_shared<const std::string>());
    request.deadline = core::Clock::now() + controlTimeout;
    ++m_servers[serverId].open;
    m_client.send(
        address, std::move(request), core::Clock::now(),
        [this, serverId, address](const ports::ExchangeResult &) { release(serverId, address); });
}

void LoopServerChannel::release(const std::string &serverId, const std::string &address)
{
    auto &server = m_servers[serverId];
    --server.open;
    if (server.waitingCancels.empty())
        return;
    const auto queryId = server.waitingCancels.front();
    server.waitingCancels.pop_front();
    sendCancel(serverId, address, queryId);
}

void LoopServerChannel::poll(const std::string &serverId, const std::string &address,
                             ports::ServerHandler done)
{
    // A poll must not take a connection that a query needs.
    auto &server = m_servers[serverId];
    if (server.open >= std::max(1, m_limits.connectionLimit(serverId)))
        return;
    auto request = makeRequest("GET /load", "X-Caller-Zone: " + m_limits.zone + "\r\n", nullptr);
    request.deadline = core::Clock::now() + controlTimeout;
    ++server.open;
    m_client.send(
        address, std::move(request), core::Clock::now(),
        [this, serverId, address, done = std::move(done)](const ports::ExchangeResult &result) {
            release(serverId, address);
            done(readResult(result));
        });
}

void LoopServerChannel::tick(core::TimePoint now)
{
    std::vector<ports::CallId> silent;
    for (const auto &it : m_calls) {
        if (now >= it.second.closeAt)
            silent.push_back(it.first);
    }
    for (const auto id : silent) {
        m_client.abort(m_calls.at(id).exchange);
        ports::ExchangeResult result;
        result.outcome = ExchangeOutcome::TimedOut;
        onEnd(id, result);
    }
}

} // namespace goldcrestline::adapters::loop
