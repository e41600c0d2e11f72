#pragma once

#include "http_server.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace standins {

// Stand-in of the platform's object store: kinds, revisions, conditional writes, paged lists,
// watches with a bounded history, rate limits, and fault injection (outages, delays, lost
// responses, late writes, lost history, rejected names, restores from an older copy). Not
// thread-safe: runs on the event loop of `io`.
class PlatformStandin
{
public:
    // Listens on 127.0.0.1 at `port`, or at any free port if 0.
    PlatformStandin(asio::io_context &io, unsigned short port);

    unsigned short port() const { return m_acceptor->local_endpoint().port(); }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
        nlohmann::json status;
    };
    // A change in the history that watches read.
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
        std::chrono::steady_clock::time_point at;
    };
    struct Counters
    {
        std::uint64_t reads = 0;
        std::uint64_t watches = 0;
        std::uint64_t writes = 0;
        std::uint64_t limited = 0;
        std::uint64_t lost = 0;
    };
    // Number of calls in the current second, for the rate limits.
    struct RateWindow
    {
        std::int64_t second = 0;
        int calls = 0;
    };
    // Parsed form of "/objects/KIND/NAME/status"; NAME and status are optional.
    struct ObjectPath
    {
        std::string kind;
        std::string name;
        bool status = false;
    };

    asio::awaitable<Response> handle(const Request &request,
                                     std::shared_ptr<Connection> connection);
    asio::awaitable<Response> handleCall(const Request &request,
                                         std::shared_ptr<Connection> connection);
    asio::awaitable<Response> watch(const Request &request, const std::string &kind,
                                    std::shared_ptr<Connection> connection);
    // Sets a response without end.
    static void setEndless(Connection &connection, bool isWatch);
    Response list(const Request &request, const std::string &kind) const;
    Response get(const ObjectPath &path) const;
    asio::awaitable<Response> write(const Request &request, const ObjectPath &path,
                                    std::shared_ptr<Connection> connection);
    Response apply(const Request &request, const ObjectPath &path);
    Response create(const std::string &kind, const nlohmann::json &body);
    Response replace(const ObjectPath &path, const nlohmann::json &body);
    Response remove(const ObjectPath &path, std::uint64_t revision);
    Response admin(const Request &request);
    // Goes back to the copy, with the next era, and gives out further revisions.
    void restore(std::uint64_t furtherRevisions);
    bool isRejected(const std::string &after) const;
    bool isRateLimited(RateWindow &rate, int limit);
    void record(const std::string &kind, const std::string &name, const Object &object,
                bool deleted);
    static nlohmann::json toJson(const std::string &name, const Object &object);
    static std::optional<ObjectPath> parse(const std::string &target);

    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::uint64_t m_revision = 1;
    std::deque<Change> m_history;
    // Changes up to this revision have been removed from the history; a watch from before it gets
    // 410.
    std::uint64_t m_compactedRevision = 0;
    // Sent with each response; rises with each restore.
    std::uint64_t m_era = 1;
    // Copy of the objects and the revision, for restore().
    std::map<std::string, std::map<std::string, Object>> m_copiedKinds;
    std::uint64_t m_copiedRevision = 0;
    Counters m_counters;
    RateWindow m_readRate;
    RateWindow m_writeRate;
    // "up", "refuse" (status 503), "hang" (no response) or "endless" (reads get objects without
    // end).
    std::string m_mode = "up";
    int m_responseDelayMs = 0;
    // Share of writes whose response is not sent.
    double m_lostResponseShare = 0;
    // Delay after which a write with a lost response is applied; 0 applies it at once.
    int m_lateWriteDelayMs = 0;
    int m_readsPerSecond = 2000;
    int m_writesPerSecond = 400;
    std::size_t m_pageSize = 50;
    // Lists after a name that contains this text get status 400.
    std::string m_rejectedText;
    std::chrono::milliseconds m_historyRetention{20000};
    std::mt19937 m_random{7};
    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
};

} // namespace standins
