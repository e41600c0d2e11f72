#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Backend servers of forwarded routes: what one host knows of each, and the choice among them.
namespace goldcrestline::policy::forward {

// One backend server as the platform lists it.
struct BackendRecord
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    // Wall-clock start; another value under the same id is another process.
    core::WallMillis startedAt = 0;
    int slots = 1;
    bool leaving = false;
    // Time for which the server stays slow after its start.
    core::Millis warmup{0};
};

// How an attempt ended, as far as it tells about the server.
enum class AttemptOutcome {
    Answered,
    // The server refused before starting the request.
    Refused,
    // The address belongs to another server now.
    Misdirected,
    // The server failed the request, or its answer is unusable.
    Failed,
    // No connection could be made.
    NotReached,
    // Given up while the server was silent.
    TimedOut,
    // Given up because the caller left; tells nothing.
    Cancelled,
};

// Share of attempts with one outcome, which halves with each half-life without news.
struct AgingShare
{
    double value = 0;
    core::TimePoint knownAt{};

    double at(core::TimePoint now, core::Duration halfLife) const;
    // Mixes in an attempt that had the outcome, or had not.
    void add(bool had, double weight, core::TimePoint now, core::Duration halfLife);
};

// A listed server with its measured state. Owned by the table and by attempts under way.
struct Backend
{
    BackendRecord record;
    // False once the server left the list or its address went to another.
    bool listed = true;
    // Attempts under way, oldest first.
    std::vector<core::TimePoint> pending;
    double latencyMs = 0;
    // Time that the server works on a request, its queue left aside.
    double workMs = 0;
    core::TimePoint sampledAt{};
    AgingShare failures;
    AgingShare refusals;
    int failuresInRow = 0;
    core::TimePoint ejectedUntil{};
    // The server refused for want of room until then.
    core::TimePoint fullUntil{};
    // Requests running and waiting in excess of the slots, as the server told.
    double reportedExcess = 0;
    // Requests that waited for a slot for each slot, as the server told with its last answer.
    double reportedQueue = 0;
    core::TimePoint reportedAt{};
};
using BackendPtr = std::shared_ptr<Backend>;

// What a request sent to a service now may expect from the best of its servers, in ms.
struct Outlook
{
    // Time until the answer.
    double answerMs = 0;
    // The part of it for which a server works on the request; the rest is waiting.
    double workMs = 0;
};

// Limits and weights of the choice.
struct PlacementLimits
{
    // Latency assumed of a server that nobody measured, in ms; about one short request.
    double unknownLatencyMs = 10;
    // Added to servers of other zones, in ms, for the price of bytes between zones.
    double crossZonePenaltyMs = 4;
    // Cost of a failed attempt, in ms: about one further round trip and attempt.
    double failureCostMs = 60;
    // Time in which a measured latency loses half its weight against the service's typical one.
    core::Duration sampleHalfLife = std::chrono::seconds(2);
    // Cost of a server that refuses all, in ms: above that of any queue that is worth joining.
    double refusalCostMs = 250;
    // Time in which a share of failures, or of refusals, loses half its weight.
    core::Duration failureHalfLife = std::chrono::seconds(2);
    core::Duration refusalHalfLife = std::chrono::seconds(5);
    // Time for which a server that refused counts as full.
    core::Duration fullTime = std::chrono::milliseconds(15);
    core::Duration firstEjection = std::chrono::milliseconds(500);
    core::Duration longestEjection = std::chrono::seconds(4);
    int failuresToEject = 3;
};

// All servers by service. Not thread-safe.
class BackendTable
{
public:
    // `connectionShare` returns how many requests this host may have at one server of a service;
    // `random` returns a uniform number in [0, 1).
    BackendTable(std::string zone, PlacementLimits limits,
                 std::function<int(const std::string &service)> connectionShare,
                 std::function<double()> random);

    // Takes a listed server; a new start time or address makes it a new one.
    void put(const BackendRecord &record);

    // Takes a server off the list.
    void remove(const std::string &id);

    // Returns the ids of all listed servers.
    std::vector<std::string> ids() const;

    // Chooses a server with room that is not in `exclude`; null if there is none now.
    BackendPtr pick(const std::string &service, const std::vector<BackendPtr> &exclude,
                    core::TimePoint now) const;

    // Tells whether the service has a server outside `exclude` that may take requests, now or
    // when it has room.
    bool hasUsable(const std::string &service, const std::vector<BackendPtr> &exclude,
                   core::TimePoint now) const;

    // Counts an attempt as sent.
    void onSent(Backend &backend, core::TimePoint now);

    // Takes the end of an attempt that was sent at `sentAt`.
    void onEnded(Backend &backend, AttemptOutcome end, core::TimePoint sentAt, core::TimePoint now);

    // Takes the load that a server told of itself.
    void onLoadReport(Backend &backend, int running, int waiting, int slots, core::TimePoint now);

    // Stops new work to a server that said it is leaving.
    void noteLeaving(Backend &backend);

    // Returns what a request to the service may expect now, with `waiting` others of this host that
    // get a server first; nothing without a usable server.
    std::optional<Outlook> estimateLatency(const std::string &service, std::size_t waiting,
                                           core::TimePoint now) const;

    // Returns the number of requests that the service's usable servers may still take.
    int countAvailable(const std::string &service, core::TimePoint now) const;

private:
    struct Service
    {
        std::vector<BackendPtr> backends;
        double typicalMs = 0;
        double typicalWorkMs = 0;
    };

    const Service *find(const std::string &service) const;
    bool usable(const Backend &backend, core::TimePoint now) const;
    bool hasRoom(const Backend &backend, core::TimePoint now) const;
    // Latency to expect of an idle server: its own, which ages towards the service's typical one.
    double expectedMs(const Service &service, const Backend &backend, core::TimePoint now) const;
    Outlook outlookAt(const Service &service, const Backend &backend, core::TimePoint now) const;
    double sampleAge(const Backend &backend, core::TimePoint now) const;
    double queuedPerSlot(const Backend &backend, core::TimePoint now) const;
    double stallMs(const Backend &backend, double expectedMs, core::TimePoint now) const;
    void sampleWork(Service &service, Backend &backend, double latencyMs, core::TimePoint now);
    double cost(const Service &service, const Backend &backend, core::TimePoint now) const;
    void sample(Service &service, Backend &backend, double latencyMs, core::TimePoint now);
    void fail(Backend &backend, core::TimePoint now, int weight);

    std::string m_zone;
    PlacementLimits m_limits;
    std::function<int(const std::string &)> m_connectionShare;
    std::function<double()> m_random;
    std::unordered_map<std::string, Service> m_services;
    std::unordered_map<std::string, BackendPtr> m_byId;
};

} // namespace goldcrestline::policy::forward
