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

const std::string &RequestContent::digest() const
{
    if (!m_digest.empty())
        return m_digest;
    std::string text;
    for (const auto *it : {&m_caller, &m_method, &m_host, &m_target})
        appendField(text, *it);
    if (m_body)
        appendField(text, *m_body);
    m_digest = core::hmacHex(digestKey, text);
    return m_digest;
}

} // namespace goldcrestline::policy::quarantine
