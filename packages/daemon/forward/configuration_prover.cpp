#include "daemon/forward/configuration_prover.h"

#include "adapters/logging/log.h"
#include "core/hash.h"
#include "platform/names.h"
#include "platform/store.h"

namespace goldcrestline::daemon::forward {

using core::BootTimePoint;
using core::TimePoint;
using platform::StoreOutcome;
using policy::access::ConfigurationId;

namespace {

constexpr adapters::logging::LogChannel log("proof:");

// Time for which the report of another host's fresh proof counts. Hosts exchange messages about
// three times per second.
constexpr core::Millis othersReportTime{2000};

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
    auto request = platform::getRequest(platform::names::configKind, platform::names::configName);
    request.deadline = now + m_schedule.timeout();
    m_client.send(m_hooks.address(), std::move(request), now,
                  [this, startedAt = bootNow](const ports::ExchangeResult &result) {
                      onResult(result, startedAt, core::Clock::now(), core::BootClock::now());
                  });
}

void ConfigurationProver::onResult(const ports::ExchangeResult &result, BootTimePoint startedAt,
                                   TimePoint now, BootTimePoint bootNow)
{
    const auto digest = core::sha256Hex(result.body);
    platform::StoreReply reply;
    if (digest == m_readDigest) {
        ports::ExchangeResult head = result;
        head.body = "{}";
        reply = platform::readReply(head);
    } else {
        reply = platform::readReply(result);
    }
    const bool current = m_copy.observeEra(reply.era, now) != policy::mirror::EraOrder::Outdated;
    if (!current || reply.outcome != StoreOutcome::Done) {
        log.info("read failed why=" + (current ? reply.detail : "earlier era") + describe(bootNow));
        return m_schedule.onFailed(reply.retryAfter, bootNow);
    }
    m_schedule.onAnswered();
    m_readRevision.era = m_copy.storeEra().newest();
    if (digest != m_readDigest) {
        if (reply.items.size() != 1)
            return log.warning("unreadable configuration object");
        m_readDigest = digest;
        m_readRevision.revision = reply.items.front().revision;
        m_readId = m_copy.onConfigRead(reply.items.front(), "read");
    }
    m_proof.setInForce(m_copy.configuration());
    if (m_readId) {
        m_proof.onProof(*m_readId, startedAt);
    } else {
        m_proof.onRejected(m_readRevision, startedAt, bootNow);
    }
    noteState(bootNow);
}

void ConfigurationProver::fillGossip(ports::Gossip &gossip, BootTimePoint bootNow) const
{
    const auto age = m_proof.age(bootNow);
    if (!active() || !age)
        return;
    gossip.proofAge = std::chrono::ceil<core::Millis>(*age);
    gossip.proofVersion = m_proof.inForce().version;
    gossip.proofDigest = m_proof.inForce().digest;
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
    m_proof.onProof({reply.proofVersion, reply.proofDigest}, requestedAt - *reply.proofAge);
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
