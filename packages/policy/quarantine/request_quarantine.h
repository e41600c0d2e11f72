#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

// Stops requests that crash the servers that run them ("queries of death"). Such a request arrives
// again and again, at any host, so that the hosts tell each other which servers ended while they
// ran which request. A request is known by the digests of its RequestContent; each of them is
// treated as a request of its own here.
namespace goldcrestline::policy::quarantine {

// One start of a server.
struct ServerProcess
{
    std::string id;
    core::WallMillis startedAt = 0;

    bool operator<(const ServerProcess &other) const
    {
        return std::tie(id, startedAt) < std::tie(other.id, other.startedAt);
    }
};

// A server process that ended while it ran a request, as hosts tell each other.
struct CrashNote
{
    // A digest of the request.
    std::string request;
    ServerProcess server;
    // The request was sent to this server some time after another one had crashed.
    bool repeated = false;
    // A server has completed the request since, so that this crash had another cause.
    bool refuted = false;
    core::Millis age{0};
    // Position in the order of crashes: above all numbers that the host knew when it recorded the
    // crash. 0 from hosts of earlier versions.
    std::uint64_t number = 0;
};

// How a request may be sent to servers, in ascending order of caution.
enum class Handling {
    Normal,
    // Its call uses one server at a time.
    OneServer,
    // The same, and one call of the host at a time.
    OneCall,
    // Not sent for now: this host's last try crashed another server, but too soon to tell whether
    // servers end together for another reason.
    Paused,
    Blocked,
};

struct QuarantineParameters
{
    // Crashes from which a request is blocked, if one of them is a repeated one. Without that it
    // may have been running at servers that ended together for another reason.
    std::size_t blockingCrashes = 3;
    // A crash is repeated if the request was sent this long after the first one.
    core::Duration repeatedAfter = std::chrono::milliseconds(500);
    // Time after a crash in which the request is handled with caution.
    core::Duration suspicionTime = std::chrono::minutes(10);
    // After a block, one call is tried by one host, and by the next one after another such time. A
    // crash then blocks the request for longer.
    core::Duration firstBlock = std::chrono::seconds(20);
    int blockGrowth = 10;
    core::Duration maxBlock = std::chrono::hours(24);
    // Time for which a new or changed note is passed on to other hosts.
    core::Duration newsPeriod = std::chrono::seconds(10);
    // Requests that are remembered. Those without a block are forgotten first, the oldest before
    // the others, unless blocked ones take more than their share.
    std::size_t maxRequests = 1000;
    double maxBlockedShare = 0.75;
    // Crashes that are remembered of one request, and as many refuted ones. The repeated and the
    // newest ones are kept, so that a full record does not hide later crashes.
    std::size_t maxCrashes = 16;
};

// The requests that are known to have been running at servers that ended. The notes of all hosts
// merge in any order, and the same crash counts once. What a full record forgets depends on its
// notes only, not on clocks or on the order of arrival, so that hosts which have told each other
// everything are equal. Not thread-safe.
class RequestQuarantine
{
public:
    // `trialRank` returns this host's place among the hosts that may try a request after its block.
    explicit RequestQuarantine(
        QuarantineParameters parameters = {},
        std::function<std::size_t(const std::string &request)> trialRank = {})
        : m_parameters(parameters), m_trialRank(std::move(trialRank))
    { }

    // Returns whether no request is remembered, so that each is handled normally.
    bool empty() const { return m_requests.empty(); }

    Handling handling(const std::string &request, core::TimePoint now) const;
    // Returns the most cautious handling of the digests.
    Handling handling(const std::vector<std::string> &digests, core::TimePoint now) const;

    // Returns whether a fan-out leaves out a service whose servers its request crashes, by the
    // digest of the request at that service. `broke`: an attempt of the call broke there.
    bool leavesOut(const std::string &digest, bool broke, core::TimePoint now) const;

    // Returns when this host may try a blocked request again; the zero time if it is not blocked.
    core::TimePoint blockedUntil(const std::string &request) const;

    // Returns the number of servers that count as crashed by the request.
    std::size_t crashes(const std::string &request) const;

    // Records that a server process ended while it ran the request, which was sent to it at
    // `sentAt`. Returns whether this was new.
    bool onCrash(const std::string &request, const ServerProcess &server, core::TimePoint sentAt,
                 core::TimePoint now);

    // Records that a server ran the request to its end, so that the known crashes had another
    // cause. Returns whether there were any.
    bool onCompleted(const std::string &request, core::TimePoint now);

    // Merges the notes of another host. Returns the requests whose handling changed.
    std::vector<std::string> apply(const std::vector<CrashNote> &notes, core::TimePoint now);

    // Returns the notes that are new or changed lately, repeated crashes first and then the latest,
    // at most `limit`.
    std::vector<CrashNote> news(core::TimePoint now, std::size_t limit) const;

    // Returns all notes.
    std::vector<CrashNote> all(core::TimePoint now) const;

    // Returns a digest of all notes, which is equal on hosts that have the same ones; 0 if none.
    std::uint64_t digest() const { return m_digest; }

    // Returns when a note was last added or changed; the zero time if never.
    core::TimePoint changedAt() const { return m_changedAt; }

    // Forgets requests whose time is over. Call periodically.
    void expire(core::TimePoint now);

    std::size_t requestCount() const { return m_requests.size(); }
    std::size_t blockedCount(core::TimePoint now) const;

private:
    struct Crash
    {
        std::uint64_t number = 0;
        // False for a refuted crash.
        bool repeated = false;
        bool refuted = false;
        core::TimePoint at{};
        core::TimePoint changedAt{};

        // Of two notes of the same crash, the one with the higher value is kept.
        std::tuple<bool, bool, std::uint64_t> value() const { return {refuted, repeated, number}; }
    };
    using Crashes = std::map<ServerProcess, Crash>;
    struct Entry
    {
        Crashes crashes;
        // When a server last ran the request to its end; the zero time if none is known.
        core::TimePoint completedAt{};
        // Time of the earliest crash that counts and has no place in the record; max if none.
        core::TimePoint forgottenAt = core::TimePoint::max();
        // Until when this host does not try the request again, after a try that says too little.
        core::TimePoint pausedUntil{};
    };

    // Adds or changes one note; returns whether it says something new.
    bool merge(const CrashNote &note, core::TimePoint now);
    static std::size_t count(const Crashes &crashes);
    // Returns the time of the last crash, and for how long it blocks the request; zero if it does
    // not.
    std::pair<core::TimePoint, core::Duration> blockOf(const Crashes &crashes) const;
    core::TimePoint blockedUntil(const std::string &request, const Crashes &crashes) const;
    Handling handling(const std::string &request, const Entry &entry, core::TimePoint now) const;
    void pauseAfterTry(Entry &entry, core::TimePoint sentAt) const;
    core::TimePoint expiresAt(const Crashes &crashes) const;
    // Removes the least useful notes of a request beyond the limits.
    void limitCrashes(const std::string &request, Entry &entry);
    // Returns the time of the earliest crash that counts; max if none does.
    static core::TimePoint firstCrash(const Entry &entry);
    // Removes the least useful requests beyond the limit.
    void limitRequests();
    void erase(std::map<std::string, Entry>::iterator request);
    static std::uint64_t hashOf(const std::string &request, const Crashes::value_type &crash);
    static CrashNote makeNote(const std::string &request, const Crashes::value_type &crash,
                              core::TimePoint now);

    QuarantineParameters m_parameters;
    std::function<std::size_t(const std::string &)> m_trialRank;
    std::map<std::string, Entry> m_requests;
    core::TimePoint m_changedAt{};
    // Highest number of a crash that was recorded or reported.
    std::uint64_t m_lastNumber = 0;
    // Combined hashes of all notes.
    std::uint64_t m_digest = 0;
};

} // namespace goldcrestline::policy::quarantine
