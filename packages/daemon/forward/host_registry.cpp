#include "daemon/forward/host_registry.h"

#include "adapters/logging/log.h"
#include "platform/names.h"
#include "platform/records.h"

#include <algorithm>

namespace goldcrestline::daemon::forward {

using core::TimePoint;
using platform::StoreOutcome;

namespace {

constexpr adapters::logging::LogChannel log("registry:");

constexpr core::Millis responseTimeout{2000};
// The pause after a failed call doubles from the initial to the maximum backoff, because store
// calls are billed.
constexpr core::Duration initialBackoff = std::chrono::milliseconds(500);
constexpr core::Duration maxBackoff = std::chrono::seconds(4);

} // namespace

HostRegistry::HostRegistry(policy::membership::Member self, bool firstStart,
                           adapters::loop::ExchangeClient &client, Hooks hooks)
    : m_self(std::move(self)), m_client(client), m_hooks(std::move(hooks)),
      m_step(firstStart ? Step::Create : Step::Replace)
{ }

void HostRegistry::tick(TimePoint now)
{
    if (m_callPending || now < m_nextCallAt)
        return;
    const auto *kind = platform::names::hostsKind;
    switch (m_step) {
    case Step::Create:
        return send(platform::createRequest(kind, m_self.name, platform::encodeHost(m_self)), now);
    case Step::Replace:
        return send(platform::replaceRequest(kind, m_self.name, platform::encodeHost(m_self)), now);
    case Step::List:
        // Hosts that are missing from an older list are found through other hosts.
        return send(platform::listRequest(kind, m_cursor.after(), true), now);
    case Step::Done:
        return;
    }
}

void HostRegistry::send(ports::ExchangeRequest request, TimePoint now)
{
    m_callPending = true;
    ++m_calls;
    request.deadline = now + responseTimeout;
    request.progressTimeout = responseTimeout;
    m_client.send(m_hooks.address(), std::move(request), now,
                  [this](const ports::ExchangeResult &result) {
                      m_callPending = false;
                      onReply(platform::readReply(result), core::Clock::now());
                  });
}

void HostRegistry::onStoreRestored(TimePoint now)
{
    m_step = Step::Replace;
    m_cursor.restart();
    m_nextCallAt = now;
    m_callOutdated = m_callPending;
}

void HostRegistry::onReply(const platform::StoreReply &reply, TimePoint now)
{
    const bool restored = m_hooks.observeEra(reply.era) != policy::mirror::EraOrder::Current;
    if (std::exchange(m_callOutdated, false) || restored)
        return tick(now);
    if (m_step == Step::Create && reply.outcome == StoreOutcome::Conflict) {
        m_step = Step::Replace;
        return tick(now);
    }
    // The record may have been deleted between the two calls.
    if (m_step == Step::Replace && reply.outcome == StoreOutcome::NotFound) {
        m_step = Step::Create;
        return tick(now);
    }
    if (reply.outcome == StoreOutcome::Rejected)
        return onRejected(reply, now);
    if (reply.outcome != StoreOutcome::Done) {
        log.warning("call failed why=" + reply.detail);
        return retryLater(now);
    }
    m_backoff = {};
    if (m_step == Step::List) {
        addHosts(reply);
    } else {
        m_step = Step::List;
    }
    tick(now);
}

void HostRegistry::onRejected(const platform::StoreReply &reply, TimePoint now)
{
    retryLater(now);
    if (m_step != Step::List) {
        log.error("registration rejected why=" + reply.detail);
        m_step = Step::List;
        return;
    }
    log.error("list rejected why=" + reply.detail + " after=" + m_cursor.after());
    if (!m_cursor.after().empty() && !m_cursor.skip())
        m_step = Step::Done;
}

void HostRegistry::retryLater(TimePoint now)
{
    m_backoff = std::clamp(2 * m_backoff, initialBackoff, maxBackoff);
    m_nextCallAt = now + m_backoff;
}

void HostRegistry::addHosts(const platform::StoreReply &reply)
{
    std::vector<policy::membership::Member> hosts;
    for (const auto &it : reply.items) {
        const auto host = platform::decodeHost(it.name, it.spec);
        if (!host.has_value()) {
            log.warning("host record rejected: " + host.error().text());
            continue;
        }
        hosts.push_back(host.value());
    }
    m_hooks.onHosts(hosts);
    m_hostsRead = true;
    m_step = reply.nextAfter && m_cursor.advance(*reply.nextAfter) ? Step::List : Step::Done;
}

} // namespace goldcrestline::daemon::forward
