#pragma once

#include <memory>
#include <string>

namespace goldcrestline::policy::quarantine {

// Identifies a request by what it asks for and who sends it, independent of the host that it
// arrives at and of the id that each arrival has. Not thread-safe.
class RequestContent
{
public:
    // `caller`: the caller's network address without the port. `target`: path and query.
    RequestContent(std::string caller, std::string method, std::string host, std::string target,
                   std::shared_ptr<const std::string> body);

    // Returns a cryptographic hash, so that no caller can build a request with the digest of
    // another caller's. Equal on all hosts. Computed on the first call.
    const std::string &digest() const;

private:
    std::string m_caller;
    std::string m_method;
    std::string m_host;
    std::string m_target;
    std::shared_ptr<const std::string> m_body;
    mutable std::string m_digest;
};

using RequestContentPtr = std::shared_ptr<const RequestContent>;

} // namespace goldcrestline::policy::quarantine
