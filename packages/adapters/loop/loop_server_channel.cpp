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
constexpr int statusClientClosedRequest = 499;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
constexpr core::Millis controlTimeout{500};

std::string headerText(const Headers &headers, const char *name)
{
    const auto *value = ports::findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

template <typename Number>
Number headerNumber(const Headers &headers, const char *name, Number fallback)
{
    const auto text = headerText(headers, name);
    Number n = fallback;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), n);
    return result.ec == std::errc() ? n : fallback;
}

// Parses a list of snapshots in the form "VERSION.MAP,VERSION.MAP". Stops at the first malformed
// entry.
std::vector<core::SnapshotId> parseSnapshots(const std::string &text)
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

AttemptOutcome attemptOutcomeOf(const ports::ExchangeResult &result)
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
    const auto refusal = headerText(result.headers, "x-refusal");
    if (refusal == "draining")
        return AttemptOutcome::Draining;
    if (refusal == "shed" || result.status == statusTooManyRequests)
        return AttemptOutcome::Shed;
    if (result.status == statusClientClosedRequest)
        return AttemptOutcome::Cancelled;
    if (result.status == statusOk || result.status == statusConflict)
        return AttemptOutcome::Answered;
    return AttemptOutcome::Broken;
}

ports::ServerResult toServerResult(const ports::ExchangeResult &from)
{
    ports::ServerResult to;
    to.outcome = attemptOutcomeOf(from);
    to.snapshotMissing = from.status == statusConflict;
    to.sent = from.outcome != ExchangeOutcome::NotReached;
    to.status = from.status;
    to.queryId = headerText(from.headers, "x-query-id");
    to.group = headerNumber(from.headers, "x-group", -1);
    to.snapshot.indexVersion = headerNumber(from.headers, "x-index-version", std::uint64_t{0});
    to.snapshot.shardMap = headerNumber(from.headers, "x-shard-map", std::uint32_t{0});
    to.documents = headerNumber(from.headers, "x-documents", std::uint64_t{0});
    to.snapshots = parseSnapshots(headerText(from.headers, "x-holds"));
    to.load = headerNumber(from.headers, "x-load", -1);
    to.slots = headerNumber(from.headers, "x-slots", 1);
    to.body = from.body;
    return to;
}

core::Millis remainingTime(core::TimePoint deadline)
{
    const auto remaining = std::chrono::ceil<core::Millis>(deadline - core::Clock::now());
    return std::max(core::Millis(1), remaining);
}

// Builds a request. `headers`: header lines, each with its line end; Host and Content-Length are
// added.
ports::ExchangeRequest makeRequest(const std::string &requestLine, const std::string &headers,
                                   std::shared_ptr<const std::string> body)
{
    ports::ExchangeRequest request;
    std::string text = requestLine + " HTTP/1.1\r\nHost: server\r\n" + headers;
    if (body)
        text += "Content-Length: " + std::to_string(body->size()) + "\r\n";
    request.commonHead = std::make_shared<const std::string>(std::move(text));
    request.body = std::move(body);
    return request;
}

} // namespace

LoopServerChannel::LoopServerChannel(ExchangeClient &client, ServerChannelOptions options)
    : m_client(client), m_options(std::move(options))
{ }

ports::CallId LoopServerChannel::startCall(const std::string &serverId, const std::string &address,
                                           ports::ExchangeRequest request,
                                           ports::ServerHandler done)
{
    const auto id = ++m_lastCallId;
    auto &state = m_calls[id];
    state.serverId = serverId;
    state.address = address;
    state.done = std::move(done);
    ++m_servers[serverId].openConnections;
    state.exchange = m_client.send(
        address, std::move(request), core::Clock::now(),
        [this, id](const ports::ExchangeResult &result) { onExchangeEnd(id, result); });
    return id;
}

ports::CallId LoopServerChannel::search(ports::SearchCall call, ports::ServerHandler done)
{
    const auto remaining = remainingTime(call.deadline);
    const auto headers = "X-Query-Id: " + call.queryId
        + "\r\nX-Group: " + std::to_string(call.group)
        + "\r\nX-Index-Version: " + std::to_string(call.snapshot.indexVersion)
        + "\r\nX-Shard-Map: " + std::to_string(call.snapshot.shardMap) + "\r\nX-Deadline-Ms: "
        + std::to_string(remaining.count()) + "\r\nX-Caller-Zone: " + m_options.zone + "\r\n";
    auto request = makeRequest("POST /search", headers, std::move(call.body));
    // The call stays open beyond the deadline so that the response to a cancelled call can arrive.
    request.deadline = core::Clock::now() + remaining + 2 * m_options.cancelGracePeriod;
    request.accept = [queryId = call.queryId, group = call.group,
                      snapshot = call.snapshot](int status, const Headers &answer) {
        if (headerText(answer, "x-query-id") != queryId)
            return false;
        if (status != statusOk)
            return true;
        return headerNumber(answer, "x-group", -1) == group
            && headerNumber(answer, "x-index-version", std::uint64_t{0}) == snapshot.indexVersion
            && headerNumber(answer, "x-shard-map", std::uint32_t{0}) == snapshot.shardMap;
    };
    const auto id = startCall(call.serverId, call.address, std::move(request), std::move(done));
    auto &state = m_calls[id];
    state.queryId = call.queryId;
    state.group = call.group;
    return id;
}

ports::CallId LoopServerChannel::execute(ports::ExecuteCall call, ports::ServerHandler done)
{
    const auto remaining = remainingTime(call.deadline);
    const auto headers = "X-Key: " + call.key + "\r\nX-Deadline-Ms: "
        + std::to_string(remaining.count()) + "\r\nX-Caller-Zone: " + m_options.zone + "\r\n";
    auto request = makeRequest("POST /execute", headers,
                               std::make_shared<const std::string>(std::move(call.body)));
    request.deadline = core::Clock::now() + remaining;
    // On a reused connection that the server is just closing, the outcome would be unknown.
    request.freshConnection = true;
    return startCall(call.serverId, call.address, std::move(request), std::move(done));
}

void LoopServerChannel::onExchangeEnd(ports::CallId id, const ports::ExchangeResult &result)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    const auto call = std::move(it->second);
    m_calls.erase(it);
    if (result.outcome == ExchangeOutcome::TimedOut)
        ++m_silentConnections;
    releaseConnection(call.serverId, call.address);
    auto answer = toServerResult(result);
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
    call.closeAt = core::Clock::now() + m_options.cancelGracePeriod;
    auto &server = m_servers[call.serverId];
    const auto limit =
        static_cast<std::size_t>(std::max(1, m_options.connectionLimit(call.serverId)));
    if (static_cast<std::size_t>(server.openConnections) < limit) {
        sendCancel(call.serverId, call.address, call.queryId);
    } else if (server.pendingCancels.size() < limit) {
        server.pendingCancels.push_back(call.queryId);
    }
}

void LoopServerChannel::sendCancel(const std::string &serverId, const std::string &address,
                                   const std::string &queryId)
{
    auto request = makeRequest(
        "POST /cancel", "X-Query-Id: " + queryId + "\r\nX-Caller-Zone: " + m_options.zone + "\r\n",
        std::make_shared<const std::string>());
    request.deadline = core::Clock::now() + controlTimeout;
    ++m_servers[serverId].openConnections;
    m_client.send(address, std::move(request), core::Clock::now(),
                  [this, serverId, address](const ports::ExchangeResult &) {
                      releaseConnection(serverId, address);
                  });
}

void LoopServerChannel::releaseConnection(const std::string &serverId, const std::string &address)
{
    auto &server = m_servers[serverId];
    --server.openConnections;
    if (server.pendingCancels.empty())
        return;
    const auto queryId = server.pendingCancels.front();
    server.pendingCancels.pop_front();
    sendCancel(serverId, address, queryId);
}

void LoopServerChannel::poll(const std::string &serverId, const std::string &address,
                             ports::ServerHandler done)
{
    // Polls are skipped at the connection limit, so that they take no connection from queries.
    auto &server = m_servers[serverId];
    if (server.openConnections >= std::max(1, m_options.connectionLimit(serverId)))
        return;
    auto request = makeRequest("GET /load", "X-Caller-Zone: " + m_options.zone + "\r\n", nullptr);
    request.deadline = core::Clock::now() + controlTimeout;
    ++server.openConnections;
    m_client.send(
        address, std::move(request), core::Clock::now(),
        [this, serverId, address, done = std::move(done)](const ports::ExchangeResult &result) {
            releaseConnection(serverId, address);
            done(toServerResult(result));
        });
}

void LoopServerChannel::tick(core::TimePoint now)
{
    std::vector<ports::CallId> expired;
    for (const auto &it : m_calls) {
        if (now >= it.second.closeAt)
            expired.push_back(it.first);
    }
    for (const auto id : expired) {
        m_client.abort(m_calls.at(id).exchange);
        ports::ExchangeResult result;
        result.outcome = ExchangeOutcome::TimedOut;
        onExchangeEnd(id, result);
    }
}

} // namespace goldcrestline::adapters::loop
