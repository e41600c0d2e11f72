#pragma once

#include "core/clock.h"
#include "core/version.h"
#include "policy/idempotency/ledger.h"
#include "policy/membership/member.h"
#include "policy/quarantine/request_quarantine.h"
#include "policy/routing/server_table.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// Port to the other hosts (peers), and the messages that hosts exchange.
namespace goldcrestline::ports {

// State that hosts exchange with each probe, in the request and in the response.
struct Gossip
{
    std::string from;
    std::vector<policy::membership::Member> members;
    // Part of a table comparison: `members` are records that the receiver was found to lack.
    bool comparison = false;
    // In the request of a comparison, hashes of the sender's records of live hosts; the response
    // holds the records that the sender lacks.
    std::vector<std::uint64_t> summary;
    // In the response of a comparison, hashes of the summary whose records the receiver lacks.
    std::vector<std::uint64_t> wanted;
    // Digest of the sender's members that are alive or suspect.
    std::uint64_t tableDigest = 0;
    std::vector<policy::routing::LeavingNote> leavingServers;
    core::Version listsVersion;
    std::uint64_t fleetRevision = 0;
    // For routes: digest of the sender's server list at fleetRevision.
    std::uint64_t serverDigest = 0;
    // Newest era of the platform's store that the sender knows; 0 if none.
    std::uint64_t storeEra = 0;
    // Requests per second that the sender gets from callers.
    float requestsPerSecond = 0;
    // New notes of servers that ended while they ran requests, and a digest of all notes that the
    // sender has; 0 if none.
    std::vector<policy::quarantine::CrashNote> crashes;
    std::uint64_t crashDigest = 0;
    // Age of the last response of a server to the sender, if there was one.
    std::optional<core::Millis> serverResponseAge;
    // Age of the sender's newest proof that the configuration with `proofVersion` and `proofDigest`
    // was the newest one, if it has a proof.
    std::optional<core::Millis> proofAge;
    std::uint64_t proofVersion = 0;
    std::uint64_t proofDigest = 0;
    // Revision of the store, of era `storeEra`, at which that was so; 0 if unknown.
    std::uint64_t proofRevision = 0;
    // Age of the platform's newest confirmation of the configuration known to the sender.
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
    // The probed host responded.
    bool reached = false;
};

// Replicated documents: the operators' lists, the servers of the services, and the notes of servers
// that ended while they ran requests.
enum class DocumentKind { Lists, Fleet, Crashes };

// Requests the receiver's copy of a document.
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

// For routes: requests the receiver's configuration.
struct ConfigurationRequest
{
    // The sender's configuration; 0 if it has none.
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
};
struct ConfigurationResponse
{
    // The receiver's configuration; 0 if it has none.
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    // Digest of the configuration that `delta` changes; 0 for the empty document.
    std::uint64_t baseDigest = 0;
    // What turns that configuration into the receiver's, compressed; empty if the receiver's is not
    // newer than the sender's.
    std::string delta;
};

// For routes: requests the changes of the receiver's copy of the server list since a version of the
// sender's copy, and how recent the receiver's copies are.
struct CopyRequest
{
    core::Version since;
};
struct CopyResponse
{
    // Version of the receiver's server list; revision 0 if it has none.
    core::Version version;
    // `changes` holds all entries, instead of those that changed.
    bool whole = false;
    // The entries by server id, as JSON; null for a removed one. Empty if nothing changed.
    std::string changes;
    // Version of the receiver's configuration.
    std::uint64_t configVersion = 0;
    // Age of the newest proof that the receiver's copies are those of the store.
    core::Millis confirmationAge{0};
    // Zones whose servers get no requests.
    std::vector<std::string> evacuatedZones;
};

// A caller's request with an idempotency key, forwarded to the host that decides on the key.
struct RunRequest
{
    std::string customer;
    std::string service;
    std::string key;
    std::string body;
    // Time remaining until the deadline.
    core::Millis timeLeft{0};
};
struct RunResponse
{
    policy::idempotency::Outcome outcome;
};

// Requests rate-limit tokens of a plan from its lender.
struct BorrowRequest
{
    std::string plan;
    int wanted = 0;
};
// Value of BorrowResponse::tokens if the lender does not know the plan.
inline constexpr int planUnknownTokens = -1;

struct BorrowResponse
{
    int tokens = 0;
};

// For routes: requests tokens of a workspace's quota from its lender.
struct QuotaRequest
{
    std::string workspace;
    int wanted = 0;
    // Tokens of earlier loans that were not used.
    int returned = 0;
    // The sender passes on the request of another host, so the receiver must decide on it.
    bool passedOn = false;
};
struct QuotaResponse
{
    // workspaceUnknownTokens if the lender does not know the workspace.
    int tokens = 0;
    // Time until the lender has a further token, if it had fewer than wanted.
    core::Millis wait{0};
};
inline constexpr int workspaceUnknownTokens = -1;

// Hands the sealed ledger of a stopping host over to its successor.
struct AdoptRequest
{
    std::string host;
    std::uint64_t incarnation = 0;
    // Secret by which the successor checks the keys that the stopping host issued.
    std::string secret;
    std::vector<policy::idempotency::Entry> entries;
    // Latest time seen by the ledger.
    core::WallMillis latest = 0;
};
struct AdoptResponse
{
    bool adopted = false;
};

using PeerRequest = std::variant<Gossip, ProbeRequest, FetchRequest, RunRequest, BorrowRequest,
                                 AdoptRequest, CopyRequest, QuotaRequest, ConfigurationRequest>;
using PeerResponse =
    std::variant<Gossip, ProbeResponse, FetchResponse, RunResponse, BorrowResponse, AdoptResponse,
                 CopyResponse, QuotaResponse, ConfigurationResponse>;

// Outcome of a call to a peer.
enum class PeerOutcome {
    Answered,
    // No connection was established: the peer did not receive the call.
    NotReached,
    // The call was sent and no response was received: the peer may have processed it.
    NoResponse,
    // The peer did not process the call, since it does not know this kind of request.
    Unknown,
};

struct PeerResult
{
    PeerOutcome outcome = PeerOutcome::NotReached;
    PeerResponse response;
};

using PeerHandler = std::function<void(PeerResult)>;

// Bytes of messages that a host sent to others, by their purpose.
struct PeerTraffic
{
    // Probes and the updates that travel with them.
    std::uint64_t gossip = 0;
    std::uint64_t comparisons = 0;
    // Copies of documents.
    std::uint64_t documents = 0;
    std::uint64_t other = 0;
};

// Sends calls to other hosts. Methods are called on the owner's event loop; handlers run there.
class PeerLink
{
public:
    virtual ~PeerLink() = default;

    // Calls the host at `address`. `done` is called exactly once, at the latest when `timeout` has
    // passed without a part of the response.
    virtual void call(const std::string &address, PeerRequest request, core::Millis timeout,
                      PeerHandler done) = 0;
};

// A call from another host; `reply` is thread-safe and must be called exactly once.
struct PeerCall
{
    PeerRequest request;
    // Identifies a QuotaRequest datagram among those of all hosts, so that the receiver recognizes
    // a copy that the network made; empty for other transports, which make none.
    std::string messageId;
    std::function<void(PeerResponse)> reply;
};

} // namespace goldcrestline::ports
