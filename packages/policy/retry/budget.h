#pragma once

// Budget of extra attempts (retries and hedges) as a share of first attempts.
namespace goldcrestline::policy::retry {

// Token bucket that earns a fraction of a token for each first attempt. Not thread-safe.
class Budget
{
public:
    // `share`: extra attempts allowed per first attempt. `burst`: tokens kept at most, and at
    // start.
    Budget(double share, double burst) : m_share(share), m_burst(burst), m_tokens(burst) { }

    // Changes the number of tokens kept at most; surplus tokens are lost.
    void setBurst(double burst)
    {
        m_burst = burst;
        if (m_tokens > m_burst)
            m_tokens = m_burst;
    }

    // Counts one first attempt.
    void deposit()
    {
        m_tokens += m_share;
        if (m_tokens > m_burst)
            m_tokens = m_burst;
    }

    // Takes one token for an extra attempt; returns false when there is none.
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
