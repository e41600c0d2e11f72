#pragma once

#include "core/clock.h"
#include "core/result_code.h"

#include <map>
#include <string>
#include <vector>

// Idempotency ledger: the record of one process by which the request of each key is executed at
// most once.
namespace goldcrestline::policy::idempotency {

// Outcome of a request, with the server's response if it was executed.
struct Outcome
{
    core::ResultCode code = core::ResultCode::OutcomeUnknown;
    std::string detail;
    std::string body;
};

// State of a key: its request is in flight, or its outcome is known.
enum class EntryState { Running, Completed };

// The ledger's record of one key.
struct Entry
{
    std::string key;
    // Digest of the request, by which the reuse of a key with another request is detected.
    std::string bodyDigest;
    EntryState state = EntryState::Running;
    Outcome outcome;
    core::WallMillis expiresAt = 0;
};

// Decision on a request.
enum class KeyDecision {
    // The request is to be dispatched now; complete() must follow.
    Dispatch,
    // The same request is in flight: wait for its outcome.
    Join,
    // The outcome is recorded; respond with it.
    Replay,
    // The key was used with a different body.
    BodyMismatch,
    // The key has expired; whether its request was executed is no longer recorded.
    Expired,
    // The ledger was handed over to a successor, which decides from now on.
    Sealed,
};

// Decides which requests may be dispatched, by their keys. Not thread-safe.
class Ledger
{
public:
    // Decides on a request. A key may be dispatched again only if its previous request was refused
    // without being executed.
    KeyDecision decide(const std::string &key, const std::string &bodyDigest,
                       core::WallMillis expiresAt, core::WallMillis now);

    // Records the outcome of a dispatched key.
    void complete(const std::string &key, Outcome outcome);

    // Returns the recorded outcome of a key. Precondition: decide() returned Replay.
    const Outcome &outcome(const std::string &key) const;

    // Removes the expired keys whose requests are not in flight.
    void expire(core::WallMillis now);

    // Seals the ledger, so that nothing is dispatched here any more, and returns its entries for
    // the successor. Entries in flight are handed over as completed with an unknown outcome.
    std::vector<Entry> seal();

    // Adds the entries of another host's sealed ledger. `latest` is the latest time seen by that
    // ledger: if this host's clock is slower, a key that expired and was removed there must not
    // count as unexpired here, since its request would be dispatched a second time.
    void adopt(std::vector<Entry> entries, core::WallMillis latest);

    // Returns the latest time seen. Unlike the wall clock, the ledger's time never goes backwards.
    core::WallMillis latestTime() const { return m_latestTime; }

    // Returns the number of keys whose requests are in flight.
    std::size_t running() const;
    std::size_t size() const { return m_entries.size(); }
    bool sealed() const { return m_sealed; }

private:
    std::map<std::string, Entry> m_entries;
    core::WallMillis m_latestTime = 0;
    bool m_sealed = false;
};

} // namespace goldcrestline::policy::idempotency
