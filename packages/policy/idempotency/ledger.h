#pragma once

#include "core/clock.h"
#include "core/result_code.h"

#include <map>
#include <string>
#include <vector>

// Memory of one process that lets each key run at most once.
namespace goldcrestline::policy::idempotency {

// How a request ended, with the server's answer if it ran.
struct Outcome
{
    core::ResultCode code = core::ResultCode::OutcomeUnknown;
    std::string detail;
    std::string body;
};

enum class EntryState { Running, Completed };

// What the ledger keeps of one key.
struct Entry
{
    std::string key;
    std::string bodyDigest;
    EntryState state = EntryState::Running;
    Outcome outcome;
    core::WallMillis expiresAt = 0;
};

// What to do with a request.
enum class KeyDecision {
    // Dispatch it now; complete() has to follow.
    Run,
    // The same request is under way: wait for its outcome.
    Join,
    // The outcome is known.
    Replay,
    // The key was used with another body.
    BodyMismatch,
    // The key expired; whether it ran is no longer known.
    Expired,
    // The ledger was handed over; its successor decides.
    Sealed,
};

// Decides for each key once. Not thread-safe.
class Ledger
{
public:
    // Decides on a request. A key whose earlier run was refused as not run may run again.
    KeyDecision decide(const std::string &key, const std::string &bodyDigest,
                       core::WallMillis expiresAt, core::WallMillis now);

    // Takes the outcome of a dispatched key.
    void complete(const std::string &key, Outcome outcome);

    // Returns the outcome of an ended key. Precondition: decide() returned Replay.
    const Outcome &outcome(const std::string &key) const;

    // Forgets expired keys that are not running.
    void expire(core::WallMillis now);

    // Stops all decisions here; returns the entries for the successor. Running entries are
    // handed over as ended with an unknown outcome.
    std::vector<Entry> seal();

    // Takes the entries of a sealed ledger, and the latest time that it had seen, so that a slower
    // clock here does not revive a key that was forgotten there.
    void adopt(std::vector<Entry> entries, core::WallMillis latest);

    // Returns the latest time seen. The wall clock may go back, a ledger's time never does.
    core::WallMillis latest() const { return m_latest; }

    // Returns the number of keys under way.
    std::size_t running() const;
    std::size_t size() const { return m_entries.size(); }
    bool sealed() const { return m_sealed; }

private:
    std::map<std::string, Entry> m_entries;
    core::WallMillis m_latest = 0;
    bool m_sealed = false;
};

} // namespace goldcrestline::policy::idempotency
