#pragma once

#include "daemon/engine/host_state.h"
#include "ports/platform_store.h"

#include <deque>
#include <map>
#include <string>

namespace goldcrestline::daemon::engine {

// The request records that this host wrote to the platform, with their keys' expiry. When the
// platform's store was restored from an older copy, writes those again that it lost, one at a time.
// Until all hosts have had time to do so, a missing record does not show that a key is new. Not
// thread-safe: runs on the engine's event loop.
class OwnRecords
{
public:
    // Precondition: all arguments outlive this.
    OwnRecords(HostState &host, ports::PlatformStore &platform);

    // Remembers the newest text of a record that this host wrote.
    void remember(const std::string &name, std::string text, core::WallMillis expiresAt);
    // Forgets the records of expired keys.
    void expire(core::WallMillis now);

    // Starts writing all records again.
    void onStoreRestored(core::TimePoint now);

    // Returns whether records of other hosts may be missing because of a restore.
    bool mayMissRecords(core::TimePoint now) const { return now < m_completeAt; }

private:
    struct Record
    {
        std::string text;
        core::WallMillis expiresAt = 0;
    };

    void writeNext();
    void onWritten(const std::string &name, ports::WriteOutcome outcome);
    // Replaces the record of a host that began to use the key after this host's record was lost.
    void replaceForeign(const std::string &name);
    void retryLater(const std::string &name);

    HostState &m_host;
    ports::PlatformStore &m_platform;
    std::map<std::string, Record> m_records;
    std::deque<std::string> m_unwritten;
    bool m_writing = false;
    core::TimePoint m_completeAt{};
};

} // namespace goldcrestline::daemon::engine
