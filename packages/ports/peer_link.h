#pragma once

#include "core/clock.h"
#include "policy/idempotency/ledger.h"
#include "policy/membership/member.h"
#include "policy/routing/server_table.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

// Port to the other entry hosts, and the messages that they exchange.
namespace goldcrestline::ports {

// What one host tells another with each probe.
struct Gossip
{
    std::string from;
    std::vector<policy::membership::Member> members;
    bool wholeTable = false;
    // Digest of the sender's living members.
    std::uint64_t tableDigest = 0;
    std::vector<policy::routing::LeavingNote> leavingServers;
    std::uint64_t listsRevision = 0;
    std::uint64_t fleetRevision = 0;
    // Age of the newest confirmation by the platform that the sender knows of.
    core::Millis confirmationAge{0};
};

// Asks a host to probe another on behalf of the sender.
struct ProbeRequest
{
    std::string name;
    std::string address;
};
struct ProbeResponse
{
    bool reached = false;
};

enum class DocumentKind { Lists, Fleet };

struct FetchRequest
{
    DocumentKind kind = DocumentKind::Lists;
};
struct FetchResponse
{
    DocumentKind kind = DocumentKind::Lists;
    std::uint64_t revision = 0;
    std::string text;
};

// A request with an idempotency key, forwarded to the host that decides on the key.
struct RunRequest
{
    std::string customer;
    std::string service;
    std::string key;
    std::string body;
    core::Millis timeLeft{0};
};
struct RunResponse
{
    policy::idempotency::Outcome outcome;
};

struct BorrowRequest
{
    std::string plan;
    int wanted = 0;
};
// Number of tokens that stands for a host which does not know the plan.
inline constexpr int planUnknownTokens = -1;

struct BorrowResponse
{
    int tokens = 0;
};

// The sealed ledger of a stopping host, for its successor.
struct AdoptRequest
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::string secret;
    std::vector<policy::idempotency::Entry> entries;
    core::WallMillis latest = 0;
};
struct AdoptResponse
{
    bool adopted = false;
};

using PeerRequest =
    std::variant<Gossip, ProbeRequest, FetchRequest, RunRequest, BorrowRequest, AdoptRequest>;
using PeerResponse =
    std::variant<Gossip, ProbeResponse, FetchResponse, RunResponse, BorrowResponse, AdoptResponse>;

// How a call to a peer ended.
enum class PeerOutcome {
    Answered,
    // No connection was made: the peer did not see the call.
    NotReached,
    // The call was sent and no answer came: the peer may have acted on it.
    NoResponse,
};

struct PeerResult
{
    PeerOutcome outcome = PeerOutcome::NotReached;
    PeerResponse answer;
};

using PeerHandler = std::function<void(PeerResult)>;

// Carries calls to other hosts. Methods are called from the owning task; handlers run there.
class PeerLink
{
public:
    virtual ~PeerLink() = default;

    // Calls the host at `address`; the handler is called exactly once, at the latest after
    // `timeout`.
    virtual void call(const std::string &address, PeerRequest request, core::Millis timeout,
                      PeerHandler done) = 0;
};

// A call from another host; `reply` is thread-safe and must be called exactly once.
struct PeerCall
{
    PeerRequest request;
    std::function<void(PeerResponse)> reply;
};

} // namespace goldcrestline::ports
