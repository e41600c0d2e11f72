#pragma once

#include "http_loop.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace standins {

// Stand-in of the platform's store of objects: kinds, revisions, conditional writes, pages, watches
// with a bounded history, and switches for outages, slowness, lost and late answers, lost history.
class PlatformStandin
{
public:
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
    // A change that watches may still ask for.
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
    // Calls in the running second, for the rate caps.
    struct Rate
    {
        std::int64_t second = 0;
        int calls = 0;
    };
    // "/objects/KIND/NAME/status", the last two parts optional.
    struct Path
    {
        std::string kind;
        std::string name;
        bool status = false;
    };

    asio::awaitable<Response> handle(const Request &request,
                                     std::shared_ptr<Connection> connection);
    asio::awaitable<Response> watch(const Request &request, const std::string &kind);
    Response list(const Request &request, const std::string &kind) const;
    Response get(const Path &path) const;
    asio::awaitable<Response> write(const Request &request, const Path &path,
                                    std::shared_ptr<Connection> connection);
    Response apply(const Request &request, const Path &path);
    Response create(const std::string &kind, const nlohmann::json &body);
    Response replace(const Path &path, const nlohmann::json &body);
    Response remove(const Path &path, std::uint64_t revision);
    Response admin(const Request &request);
    bool limited(Rate &rate, int limit);
    void record(const std::string &kind, const std::string &name, const Object &object,
                bool deleted);
    static nlohmann::json jsonOf(const std::string &name, const Object &object);
    static std::optional<Path> parse(const std::string &target);

    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::uint64_t m_revision = 1;
    std::deque<Change> m_history;
    // Changes up to this revision are forgotten.
    std::uint64_t m_forgotten = 0;
    Counters m_counters;
    Rate m_readRate;
    Rate m_writeRate;
    // "up", "refuse" or "hang".
    std::string m_mode = "up";
    int m_slowMs = 0;
    double m_loseShare = 0;
    // Time by which a write whose answer is lost takes effect late.
    int m_lateMs = 0;
    int m_readsPerSecond = 2000;
    int m_writesPerSecond = 400;
    std::size_t m_pageSize = 50;
    std::chrono::milliseconds m_historyTime{20000};
    std::mt19937 m_random{7};
    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
};

} // namespace standins
