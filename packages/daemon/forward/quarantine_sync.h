#pragma once

#include "core/clock.h"
#include "policy/quarantine/request_quarantine.h"
#include "ports/peer_link.h"

#include <string>

namespace goldcrestline::daemon::forward {

// Keeps the quarantines of the hosts equal: new notes travel with the probes, and a host whose
// notes differ from another's for some time, as after a start or a cut, fetches them all. Not
// thread-safe: use only on the event loop's thread.
class QuarantineSync
{
public:
    // Preconditions: the arguments outlive this object, and `peers` makes no callback after its
    // destruction.
    QuarantineSync(policy::quarantine::RequestQuarantine &quarantine, ports::PeerLink &peers)
        : m_quarantine(quarantine), m_peers(peers)
    { }

    void fillGossip(ports::Gossip &gossip, core::TimePoint now) const;

    // Merges the notes of the host at `address`.
    void onGossip(const ports::Gossip &gossip, const std::string &address, core::TimePoint now);

    // Returns all notes, in reply to another host's fetch request.
    ports::FetchResponse handleFetch(core::TimePoint now) const;

    // Forgets what is too old. Call periodically.
    void tick(core::TimePoint now) { m_quarantine.expire(now); }

private:
    bool shouldFetch(const ports::Gossip &gossip, core::TimePoint now);
    void fetch(const std::string &address, core::TimePoint now);
    void onFetched(const ports::FetchResponse &copy, const std::string &address,
                   core::TimePoint now);
    void apply(const std::vector<policy::quarantine::CrashNote> &notes, const std::string &from,
               core::TimePoint now);

    policy::quarantine::RequestQuarantine &m_quarantine;
    ports::PeerLink &m_peers;
    // When the notes of a peer were first seen to differ; zero while they are equal.
    core::TimePoint m_differentSince{};
    core::TimePoint m_nextFetchAt{};
    core::Duration m_fetchInterval{};
};

} // namespace goldcrestline::daemon::forward
