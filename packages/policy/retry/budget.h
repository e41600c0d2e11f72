#pragma once

// Retry budget: limits extra attempts (retries and hedges) to a share of the first attempts.
namespace goldcrestline::policy::retry {

// Token bucket into which each first attempt deposits a fraction of a token. Not thread-safe.
class Budget
{
public:
    // `share`: extra attempts per first attempt. `burst`: capacity and initial number of tokens.
    Budget(double share, double burst) : m_share(share), m_burst(burst), m_tokens(burst) { }

    // Changes the capacity; tokens in excess of it are discarded.
    void setBurst(double burst)
    {
        m_burst = burst;
        if (m_tokens > m_burst)
            m_tokens = m_burst;
    }

    // Deposits the share of one first attempt.
    void deposit()
    {
        m_tokens += m_share;
        if (m_tokens > m_burst)
            m_tokens = m_burst;
    }

    // Withdraws one token for an extra attempt. Returns false if less than one is left.
    bool tryWithdraw()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace goldcrestline::policy::retry
