#include "adapters/curl/http_server_channel.h"

#include <algorithm>
#include <charconv>

namespace goldcrestline::adapters::curl {

using policy::routing::AttemptEnd;
using Headers = std::map<std::string, std::string>;

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusCancelled = 499;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;
constexpr core::Millis controlTimeout{500};

std::string textOf(const Headers &headers, const char *name)
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
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

AttemptEnd endOf(const TransferResult &result)
{
    switch (result.end) {
    case TransferEnd::NotReached:
        return AttemptEnd::NotReached;
    case TransferEnd::TimedOut:
        return AttemptEnd::Silent;
    case TransferEnd::Broken:
        return AttemptEnd::Broken;
    case TransferEnd::Answered:
        break;
    }
    const auto refusal = textOf(result.headers, "x-refusal");
    if (refusal == "draining")
        return AttemptEnd::Draining;
    if (refusal == "shed" || result.status == statusTooMany)
        return AttemptEnd::Shed;
    if (result.status == statusCancelled)
        return AttemptEnd::Cancelled;
    if (result.status == statusOk || result.status == statusConflict)
        return AttemptEnd::Answered;
    return AttemptEnd::Broken;
}

ports::ServerResult readResult(TransferResult from)
{
    ports::ServerResult to;
    to.end = endOf(from);
    to.snapshotMissing = from.status == statusConflict;
    to.sent = from.sent;
    to.status = from.status;
    to.queryId = textOf(from.headers, "x-query-id");
    to.group = numberOf(from.headers, "x-group", -1);
    to.snapshot.indexVersion = numberOf(from.headers, "x-index-version", std::uint64_t{0});
    to.snapshot.shardMap = numberOf(from.headers, "x-shard-map", std::uint32_t{0});
    to.documents = numberOf(from.headers, "x-documents", std::uint64_t{0});
    to.holds = snapshotsOf(textOf(from.headers, "x-holds"));
    to.load = numberOf(from.headers, "x-load", -1);
    to.slots = numberOf(from.headers, "x-slots", 1);
    to.body = std::move(from.body);
    return to;
}

core::Millis timeLeft(core::TimePoint deadline)
{
    const auto left = std::chrono::ceil<core::Millis>(deadline - core::Clock::now());
    return std::max(core::Millis(1), left);
}

} // namespace

HttpServerChannel::HttpServerChannel(HttpClient &client, ChannelLimits limits)
    : m_client(client), m_limits(std::move(limits))
{ }

ports::CallId HttpServerChannel::search(ports::SearchCall call, ports::ServerHandler done)
{
    const auto id = ++m_lastCall;
    const auto left = timeLeft(call.deadline);
    Transfer transfer;
    transfer.method = "POST";
    transfer.url = "http://" + call.address + "/search";
    transfer.headers = {"X-Query-Id: " + call.queryId,
                        "X-Group: " + std::to_string(call.group),
                        "X-Index-Version: " + std::to_string(call.snapshot.indexVersion),
                        "X-Shard-Map: " + std::to_string(call.snapshot.shardMap),
                        "X-Deadline-Ms: " + std::to_string(left.count()),
                        "X-Caller-Zone: " + m_limits.zone};
    transfer.body = std::move(call.body);
    // A call outlives the query by the grace in which a cancelled one is answered.
    transfer.timeout = left + 2 * m_limits.cancelGrace;
    transfer.idleLimit = m_limits.idleConnection;
    transfer.accept = [queryId = call.queryId, group = call.group,
                       snapshot = call.snapshot](int status, const Headers &headers) {
        if (textOf(headers, "x-query-id") != queryId)
            return false;
        if (status != statusOk)
            return true;
        return numberOf(headers, "x-group", -1) == group
            && numberOf(headers, "x-index-version", std::uint64_t{0}) == snapshot.indexVersion
            && numberOf(headers, "x-shard-map", std::uint32_t{0}) == snapshot.shardMap;
    };
    auto &state = m_calls[id];
    state.serverId = call.serverId;
    state.address = call.address;
    state.queryId = call.queryId;
    state.group = call.group;
    state.done = std::move(done);
    ++m_servers[call.serverId].open;
    state.transfer = m_client.start(
        std::move(transfer), [this, id](TransferResult result) { onEnd(id, std::move(result)); });
    return id;
}

ports::CallId HttpServerChannel::execute(ports::ExecuteCall call, ports::ServerHandler done)
{
    const auto id = ++m_lastCall;
    Transfer transfer;
    transfer.method = "POST";
    transfer.url = "http://" + call.address + "/execute";
    transfer.headers = {"X-Key: " + call.key,
                        "X-Deadline-Ms: " + std::to_string(timeLeft(call.deadline).count()),
                        "X-Caller-Zone: " + m_limits.zone};
    transfer.body = std::make_shared<const std::string>(std::move(call.body));
    transfer.timeout = timeLeft(call.deadline);
    transfer.ownConnection = true;
    auto &state = m_calls[id];
    state.serverId = call.serverId;
    state.address = call.address;
    state.done = std::move(done);
    ++m_servers[call.serverId].open;
    state.transfer = m_client.start(
        std::move(transfer), [this, id](TransferResult result) { onEnd(id, std::move(result)); });
    return id;
}

void HttpServerChannel::onEnd(ports::CallId id, TransferResult result)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    const auto call = std::move(it->second);
    m_calls.erase(it);
    if (result.end == TransferEnd::TimedOut)
        ++m_silent;
    release(call.serverId, call.address);
    auto answer = readResult(std::move(result));
    if (call.cancelled && answer.end == AttemptEnd::Answered)
        answer.end = AttemptEnd::Cancelled;
    call.done(std::move(answer));
}

void HttpServerChannel::cancel(ports::CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.cancelled)
        return;
    auto &call = it->second;
    call.cancelled = true;
    call.closeAt = core::Clock::now() + m_limits.cancelGrace;
    auto &server = m_servers[call.serverId];
    const auto share =
        static_cast<std::size_t>(std::max(1, m_limits.connectionShare(call.serverId)));
    if (static_cast<std::size_t>(server.open) < share) {
        sendCancel(call.serverId, call.address, call.queryId);
    } else if (server.waitingCancels.size() < share) {
        server.waitingCancels.push_back(call.queryId);
    }
}

void HttpServerChannel::sendCancel(const std::string &serverId, const std::string &address,
                                   const std::string &queryId)
{
    Transfer transfer;
    transfer.method = "POST";
    transfer.url = "http://" + address + "/cancel";
    transfer.headers = {"X-Query-Id: " + queryId, "X-Caller-Zone: " + m_limits.zone};
    transfer.body = std::make_shared<const std::string>();
    transfer.timeout = controlTimeout;
    transfer.idleLimit = m_limits.idleConnection;
    ++m_servers[serverId].open;
    m_client.start(std::move(transfer), [this, serverId, address](const TransferResult &) {
        release(serverId, address);
    });
}

void HttpServerChannel::release(const std::string &serverId, const std::string &address)
{
    auto &server = m_servers[serverId];
    --server.open;
    if (server.waitingCancels.empty())
        return;
    const auto queryId = server.waitingCancels.front();
    server.waitingCancels.pop_front();
    sendCancel(serverId, address, queryId);
}

void HttpServerChannel::poll(const std::string &serverId, const std::string &address,
                             ports::ServerHandler done)
{
    // A poll must not take a connection that a query needs.
    auto &server = m_servers[serverId];
    if (server.open >= std::max(1, m_limits.connectionShare(serverId)))
        return;
    Transfer transfer;
    transfer.url = "http://" + address + "/load";
    transfer.headers = {"X-Caller-Zone: " + m_limits.zone};
    transfer.timeout = controlTimeout;
    transfer.idleLimit = m_limits.idleConnection;
    ++server.open;
    m_client.start(std::move(transfer),
                   [this, serverId, address, done = std::move(done)](TransferResult result) {
                       release(serverId, address);
                       done(readResult(std::move(result)));
                   });
}

void HttpServerChannel::tick(core::TimePoint now)
{
    std::vector<TransferId> silent;
    for (const auto &it : m_calls) {
        if (now >= it.second.closeAt)
            silent.push_back(it.second.transfer);
    }
    for (const auto it : silent)
        m_client.close(it);
}

} // namespace goldcrestline::adapters::curl
