#include "policy/quarantine/end_check.h"

namespace goldcrestline::policy::quarantine {

using core::ConnectOutcome;

EndCheck::EndCheck(std::string address, std::vector<std::string> others)
    : m_address(std::move(address)), m_others(std::move(others))
{ }

std::optional<std::string> EndCheck::nextAddress() const
{
    if (m_result)
        return std::nullopt;
    return m_refused ? m_others[m_nextOther] : m_address;
}

void EndCheck::onConnect(ConnectOutcome outcome)
{
    if (!m_refused) {
        if (outcome == ConnectOutcome::Connected) {
            m_result = ServerState::Alive;
        } else if (outcome == ConnectOutcome::Failed || m_others.empty()) {
            m_result = ServerState::Unknown;
        } else {
            m_refused = true;
        }
        return;
    }
    if (outcome == ConnectOutcome::Connected) {
        m_result = ServerState::Ended;
    } else if (++m_nextOther == m_others.size()) {
        m_result = ServerState::Unknown;
    }
}

} // namespace goldcrestline::policy::quarantine
