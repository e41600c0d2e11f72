#pragma once

#include "http_loop.h"

#include <map>
#include <random>
#include <string>

namespace standins {

// Stand-in of the platform's object API: versions, conditional writes, watches, and switches for
// outages, slowness and answers that are lost after the write took effect.
class PlatformStandin
{
public:
    PlatformStandin(asio::io_context &io, unsigned short port);

    unsigned short port() const { return m_acceptor->local_endpoint().port(); }

private:
    struct Object
    {
        std::uint64_t version = 0;
        std::string text;
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

    asio::awaitable<Response> handle(const Request &request,
                                     std::shared_ptr<Connection> connection);
    asio::awaitable<Response> read(const Request &request, const std::string &name);
    Response write(const Request &request, const std::string &name,
                   const std::shared_ptr<Connection> &connection);
    Response admin(const Request &request);
    bool limited(Rate &rate, int limit);
    Response found(const Object &object) const;

    std::map<std::string, Object> m_objects;
    std::uint64_t m_lastVersion = 0;
    Counters m_counters;
    Rate m_readRate;
    Rate m_writeRate;
    // "up", "refuse" or "hang".
    std::string m_mode = "up";
    int m_slowMs = 0;
    double m_loseShare = 0;
    int m_readsPerSecond = 2000;
    int m_writesPerSecond = 400;
    std::mt19937 m_random{7};
    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
};

} // namespace standins
