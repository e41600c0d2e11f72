#pragma once

#include "adapters/settings/settings.h"
#include "daemon/forward/request_admission.h"
#include "policy/access/key_table.h"
#include "policy/limits/lender_view.h"
#include "policy/limits/lending.h"
#include "ports/peer_link.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace goldcrestline::daemon::forward {

// Keeps the quotas of the workspaces over all hosts: borrows tokens for this host's requests from
// the lender of their workspace, or from its deputy, and lends tokens to the other hosts.
// docs/design/quotas.md describes the protocol. Not thread-safe: use only on the event loop's
// thread.
class WorkspaceQuota
{
public:
    struct Parameters
    {
        std::string self;
        // Number of hosts to assume while the others are not known yet, after the start.
        std::size_t expectedHosts = 1;
        // Tolerances within which the hosts together keep a quota, in any window of this length: as
        // a fraction of it, and in requests.
        double windowSeconds = 5;
        double overshoot = 0.1;
        double slack = 20;
    };
    struct Hooks
    {
        // Returns a uniform number in [0, 1).
        std::function<double()> random;
        // Returns the current time; called when a response of a host arrives.
        std::function<core::TimePoint()> now;
    };
    using Decision = RequestAdmission::QuotaHandler;

    static Parameters parametersOf(const adapters::settings::Settings &settings);

    // Precondition: `link` outlives this object and calls no handler once it is being destroyed.
    WorkspaceQuota(Parameters parameters, ports::PeerLink &link, Hooks hooks);

    // Sets the workspaces of the configuration in force; null if it has none. The state of those
    // that are gone is dropped, and their waiting requests are refused.
    void setWorkspaces(policy::access::KeyTablePtr workspaces, core::TimePoint now);

    // Sets the number of hosts that the store lists, which the others are expected to be.
    void setRegisteredHosts(std::size_t n) { m_view.expectHosts(n); }

    // Updates the view of the fleet from the records of all known hosts, this one included. Call
    // once per membership period.
    void setMembers(const std::vector<policy::membership::Member> &members, core::TimePoint now);

    // Decides whether a request is within its workspace's quota. Calls `decide` once, before this
    // returns or after a host has responded, at the latest after 260 ms.
    void admit(const policy::access::Workspace &workspace, core::TimePoint now, Decision decide);

    // Takes back the token of an admitted request that was not executed.
    void giveBack(const std::string &workspace, core::TimePoint now);

    // Responds to another host. Precondition: the request is a QuotaRequest.
    void handle(const ports::PeerCall &call, core::TimePoint now);

    // Processes the time limits that have expired. Call at nextTickAt(), and at least every 100 ms
    // while the process runs: a longer gap is taken for a pause of the process.
    void tick(core::TimePoint now);

    // Returns when tick() has to be called next; max if nothing waits for it.
    core::TimePoint nextTickAt() const;

    // Returns the metrics of the workspaces in text form.
    std::string metrics() const;

private:
    struct Counters
    {
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        // Tokens lent to other hosts.
        std::uint64_t lent = 0;
    };
    struct Held
    {
        Decision decide;
        core::TimePoint since{};
    };
    struct State
    {
        explicit State(core::TimePoint now) : borrower(policy::limits::quotaTimings(), now) { }

        policy::limits::Borrower borrower;
        double ratePerSecond = 0;
        double burst = 0;
        // Requests that wait for a token.
        std::vector<Held> held;
        // Request to a lender in flight; 0 if there is none.
        std::uint64_t ask = 0;
        // This host's own share of the quota, while no lender responds.
        std::optional<policy::limits::TokenBucket> ownShare;
        core::TimePoint ownShareUsedAt{};
        // Hosts that lend, at a revision of the view.
        std::vector<policy::limits::LenderAddress> lenders;
        std::uint64_t lendersRevision = 0;
        Counters counters;
    };
    // A request to a lender in flight: for this host's requests or, with `reply`, for another host.
    struct Ask
    {
        std::string workspace;
        std::string address;
        int wanted = 0;
        int returned = 0;
        core::TimePoint sentAt{};
        // Time at which the request is repeated, since a datagram may be lost.
        core::TimePoint repeatAt{};
        core::TimePoint giveUpAt{};
        std::function<void(ports::PeerResponse)> reply;
    };

    State &stateOf(const policy::access::Workspace &workspace, core::TimePoint now);
    const std::vector<policy::limits::LenderAddress> &lendersOf(const std::string &name,
                                                                State &state);
    policy::limits::QuotaLoan lendHere(const std::string &name, const State &state,
                                       std::size_t rank, int wanted, int returned,
                                       core::TimePoint now);
    // Requests tokens for the held requests, and ahead of requests, if no request is in flight.
    void requestTokens(const std::string &name, State &state, core::TimePoint now);
    void startAsk(Ask ask, core::TimePoint now);
    void sendAsk(std::uint64_t id, const Ask &ask);
    void onResponse(std::uint64_t id, const std::string &workspace, const std::string &address,
                    core::TimePoint sentAt, const ports::PeerResult &result);
    void giveUp(std::uint64_t id, core::TimePoint now);
    // Decides on the held requests with the tokens of a loan.
    void settle(const std::string &name, State &state, core::TimePoint now);
    void refuse(State &state, const Decision &decide, core::TimePoint now);
    void decideOnOwnShare(const std::string &name, State &state, core::TimePoint now);
    // Records that a host did not respond in time to a request. It is not asked for a time, unless
    // it responded to others recently, so that lost datagrams do not make the deputy lend.
    void noteSilent(const std::string &address, core::TimePoint now);
    bool isSilent(const std::string &address, const std::string &workspace,
                  core::TimePoint now) const;
    bool isDuplicate(const std::string &messageId, core::TimePoint now);
    // Detects a pause of the process.
    void noteActive(core::TimePoint now);
    void returnUnused(core::TimePoint now);

    Parameters m_parameters;
    ports::PeerLink &m_link;
    Hooks m_hooks;
    policy::access::KeyTablePtr m_workspaces;
    policy::limits::LenderView m_view;
    policy::limits::Lender m_lender;
    std::unordered_map<std::string, State> m_states;
    std::map<std::uint64_t, Ask> m_asks;
    std::uint64_t m_lastAsk = 0;
    // Workspaces whose borrowed tokens have to be checked for expiry.
    std::unordered_set<std::string> m_borrowing;
    // Hosts, or hosts and workspaces, that are not asked until a time.
    std::unordered_map<std::string, core::TimePoint> m_silentUntil;
    // Times of the last responses, by address.
    std::unordered_map<std::string, core::TimePoint> m_heardAt;
    // Ids of the requests received in this period and in the one before.
    std::unordered_set<std::string> m_received;
    std::unordered_set<std::string> m_receivedBefore;
    core::TimePoint m_receivedSince{};
    core::TimePoint m_activeAt{};
    core::TimePoint m_tickedAt{};
    // This host admits from its own share, and did so last at that time.
    bool m_fallenBack = false;
    core::TimePoint m_ownShareUsedAt{};
};

} // namespace goldcrestline::daemon::forward
