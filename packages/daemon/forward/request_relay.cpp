#include "daemon/forward/request_relay.h"

#include "adapters/logging/log.h"
#include "daemon/forward/error_response.h"
#include "platform/http_messages.h"
#include "policy/forward/retry_delay.h"
#include "policy/reach/relay_choice.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace goldcrestline::daemon::forward {

using core::ResultCode;
using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("relay:");

// Header of a relayed request with the network address of its caller.
constexpr const char *relayedForHeader = "X-Relayed-For";
// Network round-trip time to a host of another zone.
constexpr core::Millis hopRoundTrip{8};
// Hosts that are tried while the request reaches none.
constexpr std::size_t maxHosts = 3;

} // namespace

RequestRelay::RequestRelay(std::string zone, adapters::loop::ExchangeClient &client, Hooks hooks)
    : m_zone(std::move(zone)), m_client(client), m_hooks(std::move(hooks))
{ }

void RequestRelay::onPeerNews(const std::string &host, core::Duration age, TimePoint now)
{
    auto &at = m_respondedAt[host];
    at = std::max(at, now - age);
}

bool RequestRelay::relay(adapters::loop::HttpCall &call, const policy::forward::Route &route,
                         TimePoint now)
{
    const auto metadata = platform::readRequestMetadata(call.request);
    const auto limit = std::min(metadata.callerTimeout.value_or(route.timeout), route.timeout);
    Pending pending;
    pending.requestId = metadata.requestId;
    pending.startedAt = now;
    auto &request = pending.request;
    request.commonHead = std::make_shared<const std::string>(platform::sharedHead(call.request));
    request.attemptHead = std::string(relayedForHeader) + ": " + call.callerAddress + "\r\n";
    if (metadata.callerTimeout) {
        request.attemptHead += platform::deadlineHead(
            std::max(*metadata.callerTimeout - hopRoundTrip, core::Millis(1)));
    }
    request.body = std::make_shared<const std::string>(call.request.body);
    request.bodyless = call.request.method == "HEAD";
    request.deadline = now + limit;
    pending.respond = call.respond;
    const auto [it, added] = m_pending.emplace(call.id, std::move(pending));
    if (send(call.id, it->second, now)) {
        ++m_relayed;
        return true;
    }
    m_pending.erase(it);
    return false;
}

bool RequestRelay::send(std::uint64_t id, Pending &pending, TimePoint now)
{
    if (pending.tried.size() >= maxHosts)
        return false;
    std::vector<policy::membership::Member> hosts;
    std::vector<policy::reach::RelayCandidate> candidates;
    for (const auto &it : m_hooks.hosts()) {
        if (it.relayAddress.empty() || it.cutOff || it.leaving
            || it.state != policy::membership::MemberState::Alive
            || pending.tried.count(it.name) != 0)
            continue;
        const auto responded = m_respondedAt.find(it.name);
        std::optional<core::Duration> age;
        if (responded != m_respondedAt.end())
            age = now - responded->second;
        candidates.push_back({it.name, it.zone, m_inFlight[it.name], age});
        hosts.push_back(it);
    }
    const auto chosen = policy::reach::chooseRelay(candidates, m_zone, m_hooks.random);
    if (!chosen)
        return false;
    const auto &host = hosts[*chosen];
    pending.host = host.name;
    pending.tried.insert(host.name);
    ++m_inFlight[host.name];
    pending.exchange = m_client.send(host.relayAddress, pending.request, now,
                                     [this, id](ports::ExchangeResult result) {
                                         onResult(id, std::move(result), core::Clock::now());
                                     });
    return true;
}

void RequestRelay::onResult(std::uint64_t id, ports::ExchangeResult result, TimePoint now)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    auto &pending = it->second;
    --m_inFlight[pending.host];
    switch (result.outcome) {
    case ports::ExchangeOutcome::Answered:
        return finish(id, platform::relayResponse(std::move(result)), now);
    case ports::ExchangeOutcome::NotReached:
        if (send(id, pending, now))
            return;
        return finish(
            id,
            errorResponseFor(ResultCode::NoServerAvailable, {},
                             policy::forward::retryDelay(core::Duration{0}, m_hooks.random())),
            now);
    // The other host may have sent it to servers, so that it is not repeated.
    case ports::ExchangeOutcome::Broken:
        return finish(id, errorResponseFor(ResultCode::ServersFailed), now);
    case ports::ExchangeOutcome::TimedOut:
        return finish(id, errorResponseFor(ResultCode::NothingInTime), now);
    }
}

void RequestRelay::finish(std::uint64_t id, ports::OutgoingResponse response, TimePoint now)
{
    const auto done = std::move(m_pending.extract(id).mapped());
    log.info("end id=" + done.requestId + " host=" + done.host
             + " status=" + std::to_string(response.status)
             + " ms=" + std::to_string(static_cast<int>(core::toMillis(now - done.startedAt))));
    done.respond(std::move(response));
}

bool RequestRelay::onCallerDisconnect(std::uint64_t httpCallId)
{
    const auto it = m_pending.find(httpCallId);
    if (it == m_pending.end())
        return false;
    log.info("caller disconnected id=" + it->second.requestId);
    --m_inFlight[it->second.host];
    m_client.abort(it->second.exchange);
    m_pending.erase(it);
    return true;
}

void receiveRelayed(adapters::loop::HttpCall &call)
{
    auto &headers = call.request.headers;
    if (const auto *address = ports::findHeader(headers, relayedForHeader))
        call.callerAddress = *address;
    std::erase_if(headers, [](const ports::Header &it) {
        return boost::beast::iequals(it.name, relayedForHeader);
    });
}

} // namespace goldcrestline::daemon::forward
