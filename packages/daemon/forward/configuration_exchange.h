#pragma once

#include "core/clock.h"
#include "policy/access/configuration_proof.h"
#include "policy/mirror/fetch_schedule.h"
#include "ports/peer_link.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace goldcrestline::daemon::forward {

// Passes the configuration between hosts, as compressed changes of the one that the receiver has,
// so that the bytes of a change do not grow with the routes. Not thread-safe: use only on the event
// loop's thread.
class ConfigurationExchange
{
public:
    struct Hooks
    {
        // Returns a uniform number in [0, 1).
        std::function<double()> random;
        // Returns the present time, at which a response is handled.
        std::function<core::TimePoint()> now;
        // Applies a configuration, in the platform's JSON format, that another host sent. Returns
        // whether it could be read.
        std::function<bool(std::string text)> apply;
    };

    // Precondition: `peers` outlives this.
    ConfigurationExchange(ports::PeerLink &peers, Hooks hooks);

    // Records the configuration that came into force, with its text.
    void setInForce(const policy::access::ConfigurationId &id, std::string text);

    // Records the version that another host states, as FetchSchedule::onReport() does.
    void onReport(const std::string &address, bool sameZone, std::uint64_t version,
                  core::Duration delay, core::TimePoint now)
    {
        m_schedule.onReport(address, sameZone, version, delay, now);
    }

    // Starts the transfer that is due. Call periodically.
    void tick(core::TimePoint now);

    // Returns the configuration as a delta of the one that the sender of the request has.
    ports::ConfigurationResponse handle(const ports::ConfigurationRequest &request);
    // Returns the whole configuration, for hosts of versions that request no deltas.
    ports::FetchResponse handleFetch() const;

    const policy::mirror::FetchSchedule &schedule() const { return m_schedule; }
    const policy::access::ConfigurationId &inForce() const { return m_inForce; }
    // Returns the number of transfers that this host began, and of those that failed.
    std::uint64_t fetches() const { return m_fetches; }
    std::uint64_t failedFetches() const { return m_failedFetches; }

private:
    // The pieces of an earlier configuration.
    struct Base
    {
        std::uint64_t digest = 0;
        std::vector<std::uint64_t> pieces;
    };

    void fetch(const std::string &address, const ports::PeerRequest &request, core::TimePoint now);
    void onResult(const ports::PeerResult &result, const std::string &address,
                  core::TimePoint startedAt);
    // Returns whether the response is usable.
    bool onDelta(const ports::ConfigurationResponse &response);
    bool onWhole(const ports::FetchResponse &response);
    // Returns the pieces of the configuration with this digest; null if they are not known.
    const Base *findBase(std::uint64_t digest) const;

    ports::PeerLink &m_peers;
    Hooks m_hooks;
    policy::mirror::FetchSchedule m_schedule;
    policy::access::ConfigurationId m_inForce;
    std::string m_text;
    // The latest configurations before the one in force, oldest first.
    std::deque<Base> m_bases;
    // Compressed deltas to the configuration in force, by the digest of their base.
    std::map<std::uint64_t, std::string> m_deltas;
    // The last response was not usable: the next request states no base.
    bool m_deltaRefused = false;
    std::uint64_t m_fetches = 0;
    std::uint64_t m_failedFetches = 0;
};

} // namespace goldcrestline::daemon::forward
