#pragma once

#include <memory>
#include <string>
#include <vector>

namespace goldcrestline::policy::quarantine {

// Identifies a request by what it asks for and who sends it, independent of the host that it
// arrives at and of the id that each arrival has. Not thread-safe.
class RequestContent
{
public:
    // `caller`: the caller's network address without the port. `target`: path and query.
    RequestContent(std::string caller, std::string method, std::string host, std::string target,
                   std::shared_ptr<const std::string> body);

    // Returns digests of the request from the narrowest scope to the widest: the content and its
    // caller; the content, if it has a query; and the content without the query. What makes a
    // server crash may be in each of them, and a wide one is cleared as soon as any request that it
    // covers runs to its end. The digests are cryptographic, so that no caller can build a request
    // with the digest of another one. Equal on all hosts. Computed on the first call.
    const std::vector<std::string> &digests() const;

    // Returns a digest of the content at one service of a fan-out. The answers of other services do
    // not clear it, so that it shows a request which crashes the servers of one service only.
    std::string digestAt(const std::string &service) const { return digests()[1] + '@' + service; }

    // Returns the digests of an attempt: the one at its service, unless `service` is empty, and
    // those of the request.
    std::vector<std::string> digestsOfAttempt(const std::string &service) const;

private:
    std::string m_caller;
    std::string m_method;
    std::string m_host;
    std::string m_target;
    std::shared_ptr<const std::string> m_body;
    mutable std::vector<std::string> m_digests;
};

using RequestContentPtr = std::shared_ptr<const RequestContent>;

} // namespace goldcrestline::policy::quarantine
