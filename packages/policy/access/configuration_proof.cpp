#include "policy/access/configuration_proof.h"

#include <algorithm>

namespace goldcrestline::policy::access {

using core::BootTimePoint;
using Age = ConfigurationProof::Age;

namespace {

// Covers the rounding of reported ages and the different rates of the hosts' clocks.
constexpr core::Millis freshnessMargin{200};

// Longest interval between the reads of a host that reads for others, and the same as a fraction of
// the revocation time.
constexpr core::Millis maxReadPeriod{1500};
constexpr double readPeriodShare = 0.3;
// Part of the interval that is left for the host's timer, which runs each 100 ms.
constexpr double timerShare = 14.0 / 15;
constexpr double staleShare = 0.5;
// Range of the random delay, as a fraction of the revocation time, after which a host with an old
// proof reads. In its first part the replies to one or two probes may make the read needless.
constexpr double spreadShare = 0.2;
constexpr double minSpreadPart = 0.25;
// The same before the first proof: the first probes to other hosts are answered in this time.
constexpr core::Millis firstSpread{300};
// The store answers within 240 ms. With this time-out a second read still comes in time.
constexpr core::Millis maxTimeout{1000};
constexpr double timeoutShare = 0.12;
// The delay after a failed read doubles from the first to the second value.
constexpr core::Millis initialBackoff{150};
constexpr core::Millis maxBackoff{1500};
constexpr int maxBackoffDoublings = 4;

Age fraction(core::Millis whole, double share)
{
    return std::chrono::duration_cast<Age>(
        std::chrono::duration<double, std::milli>(share * static_cast<double>(whole.count())));
}

} // namespace

ConfigurationProof::ConfigurationProof(core::Millis revokeTime)
    : m_limit(revokeTime - freshnessMargin)
{ }

void ConfigurationProof::setInForce(const ConfigurationId &id)
{
    if (id == m_inForce)
        return;
    m_inForce = id;
    if (!m_pending || m_pending->version > id.version)
        return;
    if (*m_pending == id)
        m_provenAt = std::max(m_provenAt.value_or(m_pendingProvenAt), m_pendingProvenAt);
    m_pending.reset();
}

bool ConfigurationProof::onProof(const ConfigurationId &id, BootTimePoint provenAt)
{
    if (id == m_inForce) {
        m_provenAt = std::max(m_provenAt.value_or(provenAt), provenAt);
        return true;
    }
    if (id.version <= m_inForce.version)
        return false;
    if (m_pending == id) {
        m_pendingProvenAt = std::max(m_pendingProvenAt, provenAt);
    } else if (!m_pending || id.version >= m_pending->version) {
        m_pending = id;
        m_pendingProvenAt = provenAt;
    }
    return false;
}

bool ConfigurationProof::isFresh(BootTimePoint now) const
{
    return m_provenAt && now - *m_provenAt < m_limit;
}

std::optional<Age> ConfigurationProof::age(BootTimePoint now) const
{
    if (!m_provenAt)
        return std::nullopt;
    return now - *m_provenAt;
}

ProofReadSchedule::ProofReadSchedule(core::Millis revokeTime, std::function<double()> random)
    : m_random(std::move(random)),
      m_period(fraction(core::Millis(1),
                        timerShare
                            * std::min(static_cast<double>(maxReadPeriod.count()),
                                       readPeriodShare * static_cast<double>(revokeTime.count())))),
      m_staleAge(fraction(revokeTime, staleShare)), m_spread(fraction(revokeTime, spreadShare)),
      m_timeout(
          std::min(maxTimeout, std::chrono::ceil<core::Millis>(fraction(revokeTime, timeoutShare))))
{ }

bool ProofReadSchedule::isDue(bool regular, std::optional<Age> age, BootTimePoint now)
{
    const bool old = !age || *age > m_staleAge;
    if (!old)
        m_staleReadAt.reset();
    if (m_inFlight || now < m_notBefore)
        return false;
    if (regular)
        return !m_startedAt || m_failures > 0 || now - *m_startedAt >= m_period;
    if (!old)
        return false;
    if (!m_staleReadAt) {
        const Age range = age ? m_spread : std::min<Age>(m_spread, firstSpread);
        const double part = age ? minSpreadPart + (1 - minSpreadPart) * random() : random();
        m_staleReadAt = now + std::chrono::duration_cast<Age>(part * range);
    }
    return now >= *m_staleReadAt;
}

void ProofReadSchedule::onStarted(BootTimePoint now)
{
    m_inFlight = true;
    m_startedAt = now;
}

void ProofReadSchedule::onFailed(std::optional<core::Millis> retryAfter, BootTimePoint now)
{
    m_inFlight = false;
    auto delay = initialBackoff * (1 << std::min(m_failures, maxBackoffDoublings));
    delay = std::min(std::max(delay, retryAfter.value_or(core::Millis(0))), maxBackoff);
    ++m_failures;
    const auto jittered = fraction(delay, 0.5 + random() / 2);
    m_notBefore = now + std::max<Age>(jittered, initialBackoff);
}

void ProofReadSchedule::onAnswered()
{
    m_inFlight = false;
    m_failures = 0;
}

} // namespace goldcrestline::policy::access
