#pragma once

#include "adapters/loop/exchange_client.h"
#include "core/clock.h"
#include "policy/forward/backend_table.h"
#include "policy/quarantine/end_check.h"
#include "policy/quarantine/request_quarantine.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestline::daemon::forward {

// A request that was running at a server when the connection ended.
struct Interruption
{
    // The digests of the request.
    std::vector<std::string> digests;
    // The caller's id of this arrival of the request.
    std::string requestId;
    core::TimePoint sentAt{};
    // Called once when the server's state is known, or soon with Unknown if it takes longer. May be
    // empty.
    std::function<void(policy::quarantine::ServerState state, core::TimePoint now)> resume;
    core::TimePoint at{};
};

// Finds out which servers ended while they ran requests, and records these in the quarantine. Not
// thread-safe: use only on the event loop's thread.
class CrashMonitor
{
public:
    // `onRecorded` is called for each crash that this host records. Preconditions: the references
    // outlive this object, and `client` makes no callback after its destruction.
    CrashMonitor(policy::forward::BackendTable &backends, adapters::loop::ExchangeClient &client,
                 policy::quarantine::RequestQuarantine &quarantine,
                 std::function<void()> onRecorded);

    // Records that the connection to the server ended during a request, and checks the server
    // unless a check is in progress.
    void onInterrupted(const policy::forward::BackendPtr &backend, Interruption interruption,
                       core::TimePoint now);

    // Checks the server again if requests were interrupted there lately without a result: it did
    // not accept a connection.
    void onNotReached(const policy::forward::Backend &backend, core::TimePoint now);

    // Records that the server's address belongs to another process by now.
    void onMisdirected(const policy::forward::Backend &backend, core::TimePoint now);

    // Resumes the calls that have waited long enough for a result, and repeats checks.
    void tick(core::TimePoint now);

    // Returns when tick() has to be called next; max if no call waits.
    core::TimePoint nextTickAt() const;

private:
    // What is known of one server process at which requests were interrupted.
    struct Investigation
    {
        policy::forward::BackendPtr backend;
        std::vector<Interruption> interruptions;
        policy::quarantine::EndCheck check;
        bool checking = false;
        core::TimePoint lastInterruptedAt{};
        core::TimePoint recheckAt = core::TimePoint::max();
    };

    static policy::quarantine::ServerProcess processOf(const policy::forward::Backend &backend);
    void startCheck(Investigation &investigation, core::TimePoint now);
    void connectNext(const policy::quarantine::ServerProcess &process, core::TimePoint now);
    void onChecked(const policy::quarantine::ServerProcess &process, core::TimePoint now);
    // Records the crash for all interrupted requests and ends the investigation.
    void onEnded(const policy::quarantine::ServerProcess &process, core::TimePoint now);
    void recordCrash(const Interruption &interruption,
                     const policy::quarantine::ServerProcess &process, core::TimePoint now);
    static void logState(const Investigation &investigation, policy::quarantine::ServerState state);
    static void resumeAll(std::vector<Interruption> &interruptions,
                          policy::quarantine::ServerState state, core::TimePoint now);

    policy::forward::BackendTable &m_backends;
    adapters::loop::ExchangeClient &m_client;
    policy::quarantine::RequestQuarantine &m_quarantine;
    std::map<policy::quarantine::ServerProcess, Investigation> m_investigations;
    std::function<void()> m_onRecorded;
};

} // namespace goldcrestline::daemon::forward
