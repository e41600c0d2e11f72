#include "daemon/forward/store_sync.h"

#include "adapters/logging/log.h"

#include <algorithm>

namespace goldcrestline::daemon::forward {

using core::TimePoint;

namespace {

constexpr adapters::logging::LogChannel log("store:");

// Wait of a watch that is to return at once.
constexpr core::Millis immediateWait{1};
// Time-out of a list.
constexpr core::Millis responseTimeout{2000};
// The same for a watch in addition to its wait, which the store has no work to answer.
constexpr core::Millis watchResponseTimeout{1000};
// Time without a further part of a response that has begun to arrive, after which the call ends.
constexpr core::Millis progressTimeout{1000};

} // namespace

StoreSync::StoreSync(std::string kind, adapters::loop::ExchangeClient &client,
                     policy::mirror::Mirror mirror, Hooks hooks)
    : m_kind(std::move(kind)), m_client(client), m_mirror(std::move(mirror)),
      m_hooks(std::move(hooks))
{ }

void StoreSync::tick(TimePoint now)
{
    extendTimeout(now);
    if (m_exchange != 0 && now >= m_timeoutAt) {
        const bool silent = m_mirror.watching() && !m_mirror.failing();
        m_client.abort(m_exchange);
        platform::StoreReply timedOut;
        timedOut.detail = "no answer in time";
        onReply(false, timedOut, now);
        if (silent)
            m_hooks.onWatchSilent(now);
    }
    for (const auto &it : m_mirror.takeMissing())
        m_hooks.onMissing(it);
    for (const auto &it : m_mirror.takeRemovals(now))
        m_hooks.onRemoved(it, now);
    if (const auto step = m_mirror.next(now))
        begin(*step, now);
}

void StoreSync::extendTimeout(TimePoint now)
{
    const auto received = m_exchange == 0 ? 0 : m_client.receivedBytes(m_exchange);
    if (received <= m_received)
        return;
    m_received = received;
    m_timeoutAt = std::max(m_timeoutAt, now + progressTimeout);
}

void StoreSync::begin(const policy::mirror::Step &step, TimePoint now)
{
    ports::ExchangeRequest request;
    const auto *watch = std::get_if<policy::mirror::WatchStep>(&step);
    m_timeoutAt = now + responseTimeout;
    m_received = 0;
    m_waiting = watch != nullptr && !watch->immediate;
    m_listAfter.clear();
    if (watch != nullptr) {
        const auto wait = watch->immediate ? immediateWait : m_hooks.watchWait();
        request = platform::watchRequest(m_kind, watch->revision, wait);
        m_timeoutAt = now + wait + watchResponseTimeout;
    } else {
        m_listAfter = std::get<policy::mirror::ListStep>(step).after;
        request = platform::listRequest(m_kind, m_listAfter);
    }
    ++m_calls;
    m_startedAt = now;
    m_exchange =
        m_client.send(m_hooks.address(), std::move(request), now,
                      [this, watching = watch != nullptr](const ports::ExchangeResult &result) {
                          onReply(watching, platform::readReply(result), core::Clock::now());
                      });
}

void StoreSync::onReply(bool watching, const platform::StoreReply &reply, TimePoint now)
{
    m_exchange = 0;
    const bool wasFailing = m_mirror.failing();
    switch (m_hooks.observeEra(reply.era)) {
    case policy::mirror::EraOrder::Current:
        break;
    case policy::mirror::EraOrder::Risen:
        // The owner of the hooks calls onStoreRestored() of every copy, this one included.
        return;
    case policy::mirror::EraOrder::Outdated:
        log.warning("response of an earlier store era dropped kind=" + m_kind);
        return m_mirror.onFailure(std::nullopt, now);
    }
    switch (reply.outcome) {
    case platform::StoreOutcome::Done:
        break;
    case platform::StoreOutcome::HistoryLost:
        log.info("watch history lost, listing again kind=" + m_kind);
        m_mirror.onHistoryLost(now);
        return tick(now);
    case platform::StoreOutcome::Rejected:
        return onRejected(reply, now);
    default:
        if (!wasFailing)
            logFailure(reply);
        return m_mirror.onFailure(reply.retryAfter, now);
    }
    if (wasFailing)
        log.info("recovered kind=" + m_kind);
    if (reply.unreadableObjects > 0) {
        log.warning("objects without a readable name kind=" + m_kind
                    + " count=" + std::to_string(reply.unreadableObjects));
    }
    if (watching) {
        for (const auto &it : reply.changes) {
            m_mirror.onChange(it.object.name, it.deleted, now);
            if (!it.deleted)
                m_hooks.onObject(it.object, now);
        }
        m_mirror.onWatchResponse(reply.revision, !reply.changes.empty(), now);
    } else {
        std::vector<std::string> names;
        for (const auto &it : reply.items) {
            names.push_back(it.name);
            m_hooks.onObject(it, now);
        }
        m_mirror.onPage(names, reply.nextAfter, reply.revision, now);
        if (reply.nextAfter && m_mirror.watching())
            log.error("list ends before its last page kind=" + m_kind);
    }
    m_hooks.onSynced(watching, now);
    if (wasFailing)
        m_hooks.onWatchSilent(now);
    tick(now);
}

void StoreSync::onRejected(const platform::StoreReply &reply, TimePoint now)
{
    const bool listed = !m_mirror.watching();
    m_mirror.onRejected(now);
    log.error("call rejected kind=" + m_kind + " why=" + reply.detail + " after=" + m_listAfter
              + (listed && m_mirror.watching() ? "; the list ends here" : ""));
}

void StoreSync::logFailure(const platform::StoreReply &reply)
{
    log.warning("call failed kind=" + m_kind + " why=" + reply.detail);
}

void StoreSync::abortCall(TimePoint now)
{
    if (m_exchange == 0)
        return;
    log.info("call aborted kind=" + m_kind
             + " ms=" + std::to_string(core::wholeMillis(now - m_startedAt))
             + " received=" + std::to_string(m_client.receivedBytes(m_exchange)));
    m_client.abort(m_exchange);
    m_exchange = 0;
}

void StoreSync::checkNow(TimePoint now)
{
    const bool waits = m_exchange != 0 && m_waiting && m_client.receivedBytes(m_exchange) == 0;
    if (!waits)
        return;
    abortCall(now);
    m_mirror.onWatchAborted(now);
    tick(now);
}

void StoreSync::stop(TimePoint now)
{
    abortCall(now);
    m_mirror.restart(now);
}

void StoreSync::onStoreRestored(TimePoint now)
{
    abortCall(now);
    m_mirror.onStoreRestored(now);
    tick(now);
}

} // namespace goldcrestline::daemon::forward
