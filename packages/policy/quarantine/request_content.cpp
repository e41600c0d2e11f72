#include "policy/quarantine/request_content.h"

#include "core/hash.h"

#include <algorithm>
#include <cctype>

namespace goldcrestline::policy::quarantine {

namespace {

// Keeps these digests apart from other uses of the hash.
constexpr const char *digestKey = "goldcrestline request content";

// Appends a field with its length, so that no two lists of fields have the same text.
void appendField(std::string &out, const std::string &field)
{
    out += std::to_string(field.size());
    out += ':';
    out += field;
}

} // namespace

RequestContent::RequestContent(std::string caller, std::string method, std::string host,
                               std::string target, std::shared_ptr<const std::string> body)
    : m_caller(std::move(caller)), m_method(std::move(method)), m_host(std::move(host)),
      m_target(std::move(target)), m_body(std::move(body))
{
    // Host names are compared without case.
    std::transform(m_host.begin(), m_host.end(), m_host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
}

const std::vector<std::string> &RequestContent::digests() const
{
    if (!m_digests.empty())
        return m_digests;
    static const std::string none;
    const auto &body = m_body ? *m_body : none;
    const auto path = m_target.substr(0, m_target.find('?'));
    const auto digestOf = [&](const std::string &scope, const std::string &target) {
        std::string text;
        for (const auto *it : {&scope, &m_method, &m_host, &target, &body})
            appendField(text, *it);
        return core::hmacHex(digestKey, text);
    };
    m_digests = {digestOf("caller " + m_caller, m_target)};
    if (path.size() != m_target.size())
        m_digests.push_back(digestOf("content", m_target));
    m_digests.push_back(digestOf("path", path));
    return m_digests;
}

std::vector<std::string> RequestContent::digestsOfAttempt(const std::string &service) const
{
    auto out = digests();
    if (!service.empty())
        out.insert(out.begin(), digestAt(service));
    return out;
}

} // namespace goldcrestline::policy::quarantine
