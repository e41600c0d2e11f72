#include "daemon/forward/configuration_prover.h"

#include "adapters/logging/log.h"
#include "platform/names.h"

#include <algorithm>
#include <utility>

namespace goldcrestline::daemon::forward {

using core::BootTimePoint;
using core::TimePoint;
using platform::StoreOutcome;
using policy::access::ConfigurationId;
using policy::access::ObjectRevision;

namespace {

constexpr adapters::logging::LogChannel log("proof:");

// Time for which the report of another host's fresh proof counts. Hosts exchange messages about
// three times per second.
constexpr core::Millis othersReportTime{2000};
// Wait of a watch that is to return at once.
constexpr core::Millis watchWait{1};

} // namespace

ConfigurationProver::ConfigurationProver(const adapters::settings::Settings &settings,
                                         adapters::loop::ExchangeClient &client, PlatformCopy &copy,
                                         Hooks hooks)
    : m_client(client), m_copy(copy), m_hooks(std::move(hooks)),
      m_strict(settings.access.strictRevocation.value != 0),
      m_proof(settings.access.revokeMs.millis()),
      m_schedule(settings.access.revokeMs.millis(), m_hooks.random)
{ }

void ConfigurationProver::tick(TimePoint now, BootTimePoint bootNow)
{
    if (!active())
        return setUnproven(false);
    m_proof.setInForce(m_copy.configuration());
    noteState(bootNow);
    if (m_schedule.isDue(m_copy.selected(), m_proof.age(bootNow), bootNow))
        read(now, bootNow);
}

bool ConfigurationProver::proven(BootTimePoint bootNow) const
{
    return !active() || m_proof.isFresh(bootNow);
}

void ConfigurationProver::read(TimePoint now, BootTimePoint bootNow)
{
    ++m_reads;
    m_schedule.onStarted(bootNow);
    if (const auto &stored = m_copy.stored())
        adoptBase({stored->revision, stored->id});
    if (m_base && m_base->revision.era != m_copy.storeEra().newest())
        m_base.reset();
    const auto base = std::exchange(m_listNext, false) ? std::nullopt : m_base;
    if (base)
        m_cursor.restart();
    auto request = base
        ? platform::watchRequest(platform::names::configKind, base->revision.revision, watchWait)
        : platform::listRequest(platform::names::configKind, m_cursor.after());
    request.deadline = now + m_schedule.timeout();
    request.progressTimeout = m_schedule.timeout();
    m_client.send(m_hooks.address(), std::move(request), now,
                  [this, base, startedAt = bootNow](const ports::ExchangeResult &result) {
                      onResult(base, result, startedAt, core::Clock::now(), core::BootClock::now());
                  });
}

void ConfigurationProver::adoptBase(const Base &base)
{
    if (base.revision.era != m_copy.storeEra().newest())
        return;
    const bool newer = !m_base || m_base->revision.era != base.revision.era
        || m_base->revision.revision <= base.revision.revision;
    if (newer)
        m_base = base;
}

void ConfigurationProver::onResult(const std::optional<Base> &base,
                                   const ports::ExchangeResult &result, BootTimePoint startedAt,
                                   TimePoint now, BootTimePoint bootNow)
{
    const auto reply = platform::readReply(result);
    const bool current = m_copy.observeEra(reply.era, now) != policy::mirror::EraOrder::Outdated;
    if (current && reply.outcome == StoreOutcome::HistoryLost) {
        m_schedule.onAnswered();
        m_listNext = true;
        return read(now, bootNow);
    }
    if (!current || reply.outcome != StoreOutcome::Done) {
        if (current && reply.outcome == StoreOutcome::Rejected)
            onRejected(base.has_value());
        log.info("read failed why=" + (current ? reply.detail : "earlier era") + describe(bootNow));
        return m_schedule.onFailed(reply.retryAfter, bootNow);
    }
    m_schedule.onAnswered();
    const auto held = readReply(base, reply);
    m_listNext = !held && reply.nextAfter && m_cursor.advance(*reply.nextAfter);
    if (m_listNext)
        return read(now, bootNow);
    m_cursor.restart();
    if (!held) {
        m_base.reset();
        return noteState(bootNow);
    }
    adoptBase(*held);
    m_proof.setInForce(m_copy.configuration());
    if (held->id)
        m_proof.onProof(*held->id, startedAt);
    noteState(bootNow);
}

void ConfigurationProver::onRejected(bool watched)
{
    m_listNext = true;
    if (!watched && !m_cursor.skip())
        m_cursor.restart();
}

std::optional<ConfigurationProver::Base>
ConfigurationProver::readReply(const std::optional<Base> &base, const platform::StoreReply &reply)
{
    const auto era = m_copy.storeEra().newest();
    const platform::StoreObject *object = nullptr;
    for (const auto &it : reply.items) {
        if (it.name == platform::names::configName)
            object = &it;
    }
    bool changed = false;
    for (const auto &it : reply.changes) {
        if (it.object.name != platform::names::configName)
            continue;
        changed = true;
        object = it.deleted ? nullptr : &it.object;
    }
    if (object != nullptr) {
        const auto id = m_copy.onConfigRead(*object, "read");
        return Base{{era, reply.revision}, id};
    }
    // Revisions of an earlier era tell nothing of this one.
    if (changed || !base || base->revision.era != era)
        return std::nullopt;
    auto held = *base;
    held.revision.revision = std::max(held.revision.revision, reply.revision);
    return held;
}

void ConfigurationProver::fillGossip(ports::Gossip &gossip, BootTimePoint bootNow) const
{
    const auto age = m_proof.age(bootNow);
    if (!active() || !age)
        return;
    gossip.proofAge = std::chrono::ceil<core::Millis>(*age);
    gossip.proofVersion = m_proof.inForce().version;
    gossip.proofDigest = m_proof.inForce().digest;
    if (m_base && m_base->id == m_proof.inForce()
        && m_base->revision.era == m_copy.storeEra().newest())
        gossip.proofRevision = m_base->revision.revision;
}

void ConfigurationProver::onGossip(const ports::Gossip &gossip, BootTimePoint bootNow)
{
    if (gossip.proofAge && *gossip.proofAge < m_proof.limit())
        m_othersProvenAt = bootNow;
}

void ConfigurationProver::onReply(const ports::Gossip &reply, BootTimePoint requestedAt)
{
    // An absurd age must not lead to a time in the future.
    if (!active() || !reply.proofAge || *reply.proofAge < core::Millis(0)
        || *reply.proofAge >= m_proof.limit())
        return;
    m_proof.setInForce(m_copy.configuration());
    const ConfigurationId id{reply.proofVersion, reply.proofDigest};
    m_proof.onProof(id, requestedAt - *reply.proofAge);
    if (reply.proofRevision != 0)
        adoptBase({{reply.storeEra, reply.proofRevision}, id});
}

void ConfigurationProver::noteState(BootTimePoint bootNow)
{
    const bool fresh = m_proof.isFresh(bootNow);
    if (m_wasFresh && !fresh) {
        ++m_lapses;
        log.warning("proof lapsed, requests with a key are refused" + describe(bootNow));
    }
    if (!m_wasFresh && fresh)
        log.info("configuration proven" + describe(bootNow));
    m_wasFresh = fresh;
    const bool othersProven = m_othersProvenAt && bootNow - *m_othersProvenAt < othersReportTime;
    // Callers stay at the hosts while the store is down for all.
    setUnproven(!fresh && (m_unproven || othersProven));
}

void ConfigurationProver::setUnproven(bool unproven)
{
    if (unproven == m_unproven)
        return;
    m_unproven = unproven;
    m_hooks.onUnproven(unproven);
}

std::string ConfigurationProver::describe(BootTimePoint bootNow) const
{
    const auto age = m_proof.age(bootNow);
    return " version=" + std::to_string(m_proof.inForce().version) + " age_ms="
        + (age ? std::to_string(std::chrono::ceil<core::Millis>(*age).count()) : "none")
        + " limit_ms=" + std::to_string(std::chrono::floor<core::Millis>(m_proof.limit()).count());
}

ProofStatus ConfigurationProver::status(BootTimePoint bootNow) const
{
    ProofStatus out;
    out.active = active();
    out.fresh = m_proof.isFresh(bootNow);
    if (const auto age = m_proof.age(bootNow))
        out.age = std::chrono::ceil<core::Millis>(*age);
    out.reads = m_reads;
    out.lapses = m_lapses;
    return out;
}

} // namespace goldcrestline::daemon::forward
