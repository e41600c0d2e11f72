#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace goldcrestline::policy::access {

// Identifies the content of a configuration. After a restore of the store a version may be given
// out again for another content, so that the version alone does not.
struct ConfigurationId
{
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    bool operator==(const ConfigurationId &) const = default;
};

// Revision of the stored configuration object. Revisions of different eras cannot be compared.
struct ObjectRevision
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    bool operator==(const ObjectRevision &) const = default;
};

// Decides whether a host may serve requests with a key: only while it can prove that no newer
// configuration than its own was acknowledged by the store `revokeTime` ago. Times are those of the
// boot clock, which goes on while the machine is suspended. Not thread-safe.
class ConfigurationProof
{
public:
    using Age = core::BootClock::duration;

    explicit ConfigurationProof(core::Millis revokeTime);

    // Sets the configuration in force. An earlier proof stays valid: the configuration is newer
    // than the one that was proven.
    void setInForce(const ConfigurationId &id);

    // Records that the store's newest configuration was `id` at some time at or after `provenAt`.
    // Returns whether that proves the configuration in force. A proof of a higher version is kept
    // until that version is in force, and one of another content proves nothing.
    bool onProof(const ConfigurationId &id, core::BootTimePoint provenAt);

    // Returns whether the newest proof is recent enough. Constant time.
    bool isFresh(core::BootTimePoint now) const;
    // Returns the age of the newest proof of the configuration in force, if there is one.
    std::optional<Age> age(core::BootTimePoint now) const;
    // Age from which a proof is not fresh any more.
    Age limit() const { return m_limit; }
    const ConfigurationId &inForce() const { return m_inForce; }

private:
    Age m_limit;
    ConfigurationId m_inForce;
    std::optional<core::BootTimePoint> m_provenAt;
    // Newest proof of a configuration that has yet to arrive.
    std::optional<ConfigurationId> m_pending;
    core::BootTimePoint m_pendingProvenAt{};
};

// Decides when a host reads the configuration from the store to prove it. Times are those of the
// boot clock. Not thread-safe.
class ProofReadSchedule
{
public:
    using Age = ConfigurationProof::Age;

    // `random` returns a uniform number in [0, 1).
    ProofReadSchedule(core::Millis revokeTime, std::function<double()> random);

    // Returns whether to read now. `regular`: this host reads for the others of its zone at fixed
    // intervals; other hosts read if their newest proof, of age `age`, is older than half of the
    // revocation time. The caller starts the read and reports its end.
    bool isDue(bool regular, std::optional<Age> age, core::BootTimePoint now);

    void onStarted(core::BootTimePoint now);
    // `retryAfter`: delay that the store asked for.
    void onFailed(std::optional<core::Millis> retryAfter, core::BootTimePoint now);
    void onAnswered();

    // Time after which a read without a response has failed.
    core::Millis timeout() const { return m_timeout; }

private:
    double random() const { return m_random(); }

    std::function<double()> m_random;
    Age m_period;
    Age m_staleAge;
    Age m_spread;
    core::Millis m_timeout;
    bool m_inFlight = false;
    std::optional<core::BootTimePoint> m_startedAt;
    int m_failures = 0;
    core::BootTimePoint m_notBefore{};
    // Time at which a host that found its proof old reads.
    std::optional<core::BootTimePoint> m_staleReadAt;
};

} // namespace goldcrestline::policy::access
