#pragma once

#include "core/clock.h"
#include "policy/forward/evacuated_zones.h"
#include "policy/forward/request_limit.h"
#include "policy/forward/warmup_limit.h"
#include "policy/routing/server_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Load balancing of forwarded requests: one host's measured state of the backend servers and the
// selection of a server for each attempt.
namespace goldcrestline::policy::forward {

// One backend server as listed by the platform.
struct BackendRecord
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    // Wall-clock start of the server process; a different value under the same id is a new process.
    core::WallMillis startedAt = 0;
    // Requests that the server processes concurrently.
    int slots = 1;
    // The server is being removed and accepts no new requests.
    bool leaving = false;
    // Period after its start in which the server is slower than usual.
    core::Millis warmup{0};
};

// How an attempt ended, from the point of view of the server's health.
enum class AttemptOutcome {
    Answered,
    // The server refused the request before executing it.
    Refused,
    // The address now belongs to another server.
    Misdirected,
    // The server failed the request, or its response is unusable.
    Failed,
    // No connection could be established.
    NotReached,
    // Aborted because no response arrived in time.
    TimedOut,
    // Aborted because the caller disconnected; says nothing about the server.
    Cancelled,
};

// Exponentially weighted rate of attempts with one outcome, which halves with each half-life
// without an attempt.
struct DecayingRate
{
    double value = 0;
    core::TimePoint updatedAt{};

    // Returns the decayed rate, 0 to 1.
    double at(core::TimePoint now, core::Duration halfLife) const;
    // Adds an attempt that ended with the outcome (`occurred`) or with another one.
    void add(bool occurred, double weight, core::TimePoint now, core::Duration halfLife);
};

// A listed server with its measured state. Shared by the table and the attempts in flight.
struct Backend
{
    BackendRecord record;
    // False once the server is removed from the list or its address belongs to another server.
    bool listed = true;
    // The server's entry is missing since an outage of the store: the server has left, or its entry
    // lapsed and is written again.
    bool missing = false;
    // Send times of the attempts in flight, oldest first.
    std::vector<core::TimePoint> pending;
    // Moving average of the response time at the server's usual speed; 0 before the first sample.
    double latencyMs = 0;
    // The same of the processing time of a request, without the time in the server's queue.
    double processingMs = 0;
    core::TimePoint sampledAt{};
    DecayingRate failures;
    DecayingRate refusals;
    int consecutiveFailures = 0;
    core::TimePoint ejectedUntil{};
    // No requests are sent until then, since the server refused one for lack of capacity.
    core::TimePoint backoffUntil{};
    // No requests are sent until then, since the server asked for none.
    core::TimePoint restUntil{};
    // Request rate that the server accepts, if it limits it.
    std::optional<RequestLimit> limit;
    // Limits the requests while the server is cold.
    WarmupLimit warmup;
    // Requests of other hosts that are running or queued at the server, from its last load report.
    double otherHostsLoad = 0;
    // Queued requests per slot, from the server's last load report.
    double reportedQueuePerSlot = 0;
    core::TimePoint reportedAt{};
    // How many times as long as usual work took at the server, from its last load report; 1 for
    // servers that do not tell.
    double slowdown = 1;
};
using BackendPtr = std::shared_ptr<Backend>;

// Estimate for a request that is sent now to the fastest server of a service, in ms.
struct LatencyEstimate
{
    // Time until the response arrives.
    double responseMs = 0;
    // The server's processing time within responseMs; the rest is queueing.
    double processingMs = 0;
    // Factor by which the fair order weighs the servers' queueing within responseMs.
    double queueWeight = 1;
    // For a workspace above the mean share: half-life of its recorded work, in ms; else 0.
    double shareHalfLifeMs = 0;
};

// Parameters of server selection and outlier ejection.
struct PlacementParameters
{
    // Latency assumed of a server without samples, in ms; about one short request.
    double defaultLatencyMs = 10;
    // Added to the cost of servers of other zones, in ms, since traffic between zones is billed.
    double crossZonePenaltyMs = 4;
    // Cost of a failed attempt, in ms: about one further round trip and attempt.
    double failurePenaltyMs = 60;
    // Half-life of the service's typical processing time without samples.
    core::Duration typicalHalfLife = std::chrono::seconds(2);
    // Half-life of a measured latency, after which the service's typical latency has equal weight.
    core::Duration latencyHalfLife = std::chrono::seconds(2);
    // Cost of a server that refuses every request, in ms: above that of the longest queue in which
    // a request can still be worth sending.
    double refusalPenaltyMs = 250;
    // Half-life of a reported slowdown: bursts of slowness end after some tenths of a second.
    core::Duration slowdownHalfLife = std::chrono::milliseconds(200);
    // Half-lives of the failure rate and of the refusal rate.
    core::Duration failureHalfLife = std::chrono::seconds(2);
    core::Duration refusalHalfLife = std::chrono::seconds(5);
    // Time without new requests after a server refused one.
    core::Duration refusalBackoff = std::chrono::milliseconds(15);
    // The ejection time doubles from the initial one with each further series of failures.
    core::Duration initialEjection = std::chrono::milliseconds(500);
    core::Duration maxEjection = std::chrono::seconds(4);
    // Consecutive failures after which a server is ejected.
    int ejectionThreshold = 3;
    // Hosts return to a server at random times within this share of the rest that it asked for,
    // at most within the maximum spread.
    double restSpreadShare = 0.2;
    core::Duration maxRestSpread = std::chrono::milliseconds(500);
    // Time after a rest in which the server gets one request at a time.
    core::Duration restRampUp = std::chrono::seconds(1);
    // Time for which a leaving server is remembered after it was last reported.
    core::Duration leavingRetention = std::chrono::minutes(5);
    // Time for which a newly learnt leaving server is passed on to other hosts.
    core::Duration leavingNewsPeriod = std::chrono::seconds(10);
};

// All backend servers by service. Not thread-safe.
class BackendTable
{
public:
    // `connectionLimit` returns how many requests this host may have in flight at one server of a
    // service; `random` returns a uniform number in [0, 1).
    BackendTable(std::string zone, PlacementParameters parameters,
                 std::function<int(const std::string &service)> connectionLimit,
                 std::function<double()> random);

    // Adds or updates a listed server. A changed start time, address or service replaces the server
    // and discards its measured state.
    void put(const BackendRecord &record);

    // Removes a server from the list; attempts in flight keep its state alive.
    void remove(const std::string &id);

    // Records whether the server's entry is missing since an outage. Until it is listed again or
    // removed, the server is used only while most servers of its service are missing, since entries
    // that lapse in an outage do so together. Unknown ids are ignored.
    void setMissing(const std::string &id, bool missing);

    // Returns the addresses of up to `limit` servers except the one at `exclude`, in random order;
    // those that are in use first.
    std::vector<std::string> sampleAddresses(const std::string &exclude, std::size_t limit,
                                             core::TimePoint now) const;

    // Returns the ids of the servers that have not responded to a request sent at `since` or
    // before.
    std::vector<std::string> overdue(core::TimePoint since) const;

    // Forgets failures and latencies, which were due to this host's own connectivity.
    void resetMeasurements();

    // Returns the ids of all listed servers.
    std::vector<std::string> ids() const;

    // Returns the server of least cost that has free capacity and is not in `exclude`; null if
    // there is none now.
    BackendPtr pick(const std::string &service, const std::vector<BackendPtr> &exclude,
                    core::TimePoint now) const;

    // Returns whether the service has a listed server outside `exclude` that is neither leaving nor
    // ejected, with or without free capacity.
    bool hasUsable(const std::string &service, const std::vector<BackendPtr> &exclude,
                   core::TimePoint now) const;

    // Records an attempt as in flight.
    void onSent(Backend &backend, core::TimePoint now);

    // Records the outcome of an attempt that was sent at `sentAt`.
    void onEnded(Backend &backend, AttemptOutcome outcome, core::TimePoint sentAt,
                 core::TimePoint now);

    // Records a load report of a server: its running and queued requests, its slots, and how long
    // work takes there now, in hundredths of the usual time, if it tells. Call before onEnded() of
    // the attempt whose response carries the report, whose latency is measured at this speed.
    void onLoadReport(Backend &backend, int running, int waiting, int slots, core::TimePoint now,
                      std::optional<int> speedPercent = std::nullopt);

    // Records that a server process is leaving, reported by itself or by another host. It gets no
    // new requests, also if its entry is removed and listed again. Returns whether this was new.
    bool noteLeaving(const routing::LeavingNote &note, core::TimePoint now);

    // Returns the server processes that became known as leaving a short time ago.
    std::vector<routing::LeavingNote> recentLeavingNotes(core::TimePoint now) const;

    // Records that the server asked for no requests for `time`.
    void onRestRequested(Backend &backend, core::Duration time, core::TimePoint now);

    // Records what a server's response says of the requests per second that it accepts from all
    // hosts together; nothing if it has no limit. Returns whether a limit began or ended.
    bool onLimitReport(Backend &backend, std::optional<double> fleetPerSecond, core::TimePoint now);

    // Sets this host's fraction of the servers' limits, above 0 and at most 1.
    void setLimitShare(double share) { m_limitShare = share; }

    // Sets the requests per second that a cold server of each service stands from all hosts; 0 or a
    // missing service: no limit.
    void setWarmupRates(std::map<std::string, double> perSecond, core::TimePoint now);

    // Sets the tolerances of these rates and this host's share of them.
    void setWarmupShare(const WarmupShare &share, core::TimePoint now);

    // Records for how long the server with this id stays cold, from its entry; 0 if it is not cold.
    // Unknown ids are ignored.
    void setWarmup(const std::string &id, core::Millis left, core::TimePoint now);

    // Records for how long the server stays cold, from its own response.
    void onWarmupReport(Backend &backend, core::Millis left, core::TimePoint now);

    // Returns whether any server is cold, so that waiting requests have to be tried again when its
    // limit allows one.
    bool anyCold(core::TimePoint now) const { return now < m_coldUntil; }

    // Uses no server until the first call of setEvacuated().
    void awaitEvacuations() { m_evacuated.awaitUpdate(); }

    // Sets the zones whose servers get no requests.
    void setEvacuated(const std::set<std::string> &zones, core::TimePoint now)
    {
        m_evacuated.update(zones, m_random(), now);
    }

    // Returns when the first resting or ejected server of the service is used again; nothing if
    // the service has none.
    std::optional<core::TimePoint> availableAgainAt(const std::string &service,
                                                    core::TimePoint now) const;

    // Returns the estimate for a request to the service that is sent after `waiting` other requests
    // of this host; nothing if the service has no usable server.
    std::optional<LatencyEstimate> estimateLatency(const std::string &service, std::size_t waiting,
                                                   core::TimePoint now) const;

    // Returns the number of the service's usable servers with free capacity.
    int countAvailable(const std::string &service, core::TimePoint now) const;

private:
    struct Service
    {
        std::vector<BackendPtr> backends;
        // Of these, the ones whose entry is missing.
        std::size_t missing = 0;
        // Slow moving averages over all servers of the service; 0 before the first sample.
        double typicalMs = 0;
        double typicalProcessingMs = 0;
        // Time of the last sample of the processing time.
        core::TimePoint processingSampledAt{};
    };

    // A server process that is known to be leaving.
    struct LeavingProcess
    {
        core::WallMillis startedAt = 0;
        core::TimePoint notedAt{};
    };

    const Service *find(const std::string &service) const;
    bool isKnownAsLeaving(const BackendRecord &record) const;
    bool usable(const Service &service, const Backend &backend, core::TimePoint now) const;
    // Returns whether the server's zone gets requests of the service now, after an evacuation.
    bool isZoneAdmitted(const Service &service, const Backend &backend, core::TimePoint now) const;
    // Sets whether the server's entry is missing.
    void setMissing(Backend &backend, bool missing);
    bool hasCapacity(const Service &service, const Backend &backend, core::TimePoint now) const;
    // Returns how many times as long as usual work takes at the server, which decays to 1.
    double slowdown(const Backend &backend, core::TimePoint now) const;
    // Returns the latency expected of the server when idle at its usual speed: its own average,
    // which decays towards the service's typical latency.
    double expectedMs(const Service &service, const Backend &backend, core::TimePoint now) const;
    // Returns the service's typical processing time, in ms. A high one decays while no request is
    // sent, so that a service which is left out as too slow is tried again.
    double typicalProcessingMs(const Service &service, core::TimePoint now) const;
    // Returns the estimate for a request that is sent to the server now.
    LatencyEstimate estimateAt(const Service &service, const Backend &backend,
                               core::TimePoint now) const;
    double lastSampleWeight(const Backend &backend, core::TimePoint now) const;
    // Returns the requests per slot at the server: this host's in flight and the reported ones of
    // other hosts, which decay with the report's age.
    double requestsPerSlot(const Backend &backend, core::TimePoint now) const;
    double stallPenaltyMs(const Backend &backend, double expectedMs, core::TimePoint now) const;
    void startWarmup(Backend &backend, core::Millis left, core::TimePoint now);
    // Returns this host's requests per second that the server's limits allow; nothing without one.
    std::optional<double> limitPerSecond(const Backend &backend, core::TimePoint now) const;
    // Returns the time, in ms, until the server's limits allow a request; 0 without a limit.
    double limitWaitMs(const Backend &backend, core::TimePoint now) const;
    void updateProcessingTime(Service &service, Backend &backend, double latencyMs,
                              core::TimePoint now);
    // Returns the selection cost of the server, in ms, with random jitter.
    double cost(const Service &service, const Backend &backend, core::TimePoint now) const;
    void updateLatency(Service &service, Backend &backend, double latencyMs, core::TimePoint now);
    // Counts a failure as `weight` consecutive ones; ejects the server once these reach the
    // threshold.
    void recordFailure(Backend &backend, core::TimePoint now, int weight);

    std::string m_zone;
    PlacementParameters m_parameters;
    std::function<int(const std::string &)> m_connectionLimit;
    std::function<double()> m_random;
    double m_limitShare = 1;
    EvacuatedZones m_evacuated;
    WarmupShare m_warmupShare;
    std::map<std::string, double> m_warmupRates;
    // Time until which a server is cold.
    core::TimePoint m_coldUntil{};
    std::unordered_map<std::string, Service> m_services;
    std::unordered_map<std::string, BackendPtr> m_byId;
    std::unordered_map<std::string, LeavingProcess> m_leaving;
};

} // namespace goldcrestline::policy::forward
