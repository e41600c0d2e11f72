#include "daemon/forward/host_registry.h"

#include "adapters/logging/log.h"
#include "platform/names.h"
#include "platform/records.h"

#include <algorithm>

namespace goldcrestline::daemon::forward {

using core::TimePoint;
using platform::StoreEnd;

namespace {

constexpr adapters::logging::LogChannel log("registry:");

constexpr core::Millis answerTime{2000};
// Pauses between failed calls grow from the first to the longest; each call is paid for.
constexpr core::Duration firstPause = std::chrono::milliseconds(500);
constexpr core::Duration longestPause = std::chrono::seconds(4);

} // namespace

HostRegistry::HostRegistry(policy::membership::Member self, adapters::loop::ExchangeClient &client,
                           Hooks hooks)
    : m_self(std::move(self)), m_client(client), m_hooks(std::move(hooks))
{ }

void HostRegistry::tick(TimePoint now)
{
    if (m_underWay || now < m_nextAt)
        return;
    const auto *kind = platform::names::hostsKind;
    switch (m_step) {
    case Step::Create:
        return send(platform::createRequest(kind, m_self.name, platform::encodeHost(m_self)), now);
    case Step::Replace:
        return send(platform::replaceRequest(kind, m_self.name, platform::encodeHost(m_self)), now);
    case Step::List:
        return send(platform::listRequest(kind, m_after), now);
    case Step::Done:
        return;
    }
}

void HostRegistry::send(ports::ExchangeRequest request, TimePoint now)
{
    m_underWay = true;
    request.deadline = now + answerTime;
    m_client.send(m_hooks.address(), std::move(request), now,
                  [this](const ports::ExchangeResult &result) {
                      m_underWay = false;
                      onReply(platform::readReply(result), core::Clock::now());
                  });
}

void HostRegistry::onReply(const platform::StoreReply &reply, TimePoint now)
{
    if (m_step == Step::Create && reply.end == StoreEnd::Conflict) {
        m_step = Step::Replace;
        return tick(now);
    }
    // Another may have deleted the record between the two calls.
    if (m_step == Step::Replace && reply.end == StoreEnd::NotFound) {
        m_step = Step::Create;
        return tick(now);
    }
    if (reply.end != StoreEnd::Done) {
        m_pause = std::clamp(2 * m_pause, firstPause, longestPause);
        m_nextAt = now + m_pause;
        log.warning("call failed why=" + reply.detail);
        return;
    }
    m_pause = {};
    if (m_step == Step::List) {
        takeHosts(reply);
    } else {
        m_step = Step::List;
    }
    tick(now);
}

void HostRegistry::takeHosts(const platform::StoreReply &reply)
{
    std::vector<std::string> addresses;
    for (const auto &it : reply.items) {
        const auto host = platform::decodeHost(it.name, it.spec);
        if (!host.has_value()) {
            log.warning("record refused: " + host.error().text());
            continue;
        }
        addresses.push_back(host.value().peersAddress);
    }
    m_hooks.onHosts(addresses);
    m_step = Step::Done;
    if (reply.more && !reply.items.empty()) {
        m_after = reply.items.back().name;
        m_step = Step::List;
    }
}

} // namespace goldcrestline::daemon::forward
