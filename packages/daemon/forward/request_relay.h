#pragma once

#include "adapters/loop/exchange_client.h"
#include "adapters/loop/http_server.h"
#include "core/clock.h"
#include "policy/forward/route.h"
#include "policy/membership/member.h"
#include "ports/exchange.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestline::daemon::forward {

// Relays callers' requests to another host while this one reaches no server. A request takes one
// hop: the other host forwards it to servers itself. Not thread-safe: use only on the event loop's
// thread.
class RequestRelay
{
public:
    struct Hooks
    {
        // Returns the other live hosts.
        std::function<std::vector<policy::membership::Member>()> hosts;
        // Returns a uniform number in [0, 1).
        std::function<double()> random;
    };

    // Preconditions: `client` outlives this object and makes no callback after its destruction.
    RequestRelay(std::string zone, adapters::loop::ExchangeClient &client, Hooks hooks);

    // Records the age of the newest response of a server to another host.
    void onPeerNews(const std::string &host, core::Duration age, core::TimePoint now);

    // Relays a request of `route`. Returns false, with the call untouched, if no host can take it.
    bool relay(adapters::loop::HttpCall &call, const policy::forward::Route &route,
               core::TimePoint now);

    // Ends the relayed request whose caller closed its connection. Returns false for other ids.
    bool onCallerDisconnect(std::uint64_t httpCallId);

    std::uint64_t relayed() const { return m_relayed; }

private:
    struct Pending
    {
        std::function<void(ports::OutgoingResponse)> respond;
        std::string requestId;
        ports::ExchangeRequest request;
        ports::ExchangeId exchange = 0;
        std::string host;
        // Hosts that were not reached.
        std::set<std::string> tried;
        core::TimePoint startedAt{};
    };

    // Sends the request to the next host; returns false if there is none.
    bool send(std::uint64_t id, Pending &pending, core::TimePoint now);
    void onResult(std::uint64_t id, ports::ExchangeResult result, core::TimePoint now);
    void finish(std::uint64_t id, ports::OutgoingResponse response, core::TimePoint now);

    std::string m_zone;
    adapters::loop::ExchangeClient &m_client;
    Hooks m_hooks;
    // Time of the newest response of a server to each host.
    std::map<std::string, core::TimePoint> m_respondedAt;
    // Requests in progress by host, and by the id of the call at the HTTP server.
    std::map<std::string, std::size_t> m_inFlight;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_relayed = 0;
};

// Restores the caller's address of a request that another host relayed, and removes what that host
// added to it.
void receiveRelayed(adapters::loop::HttpCall &call);

} // namespace goldcrestline::daemon::forward
