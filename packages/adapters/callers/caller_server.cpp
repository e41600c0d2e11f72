#include "adapters/callers/caller_server.h"

#include "adapters/callers/caller_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <thread>

namespace goldcrestline::adapters::callers {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    auto ip = address.substr(0, colon);
    if (!ip.empty() && ip.front() == '[')
        ip = ip.substr(1, ip.size() - 2);
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
    return {asio::ip::make_address(ip), port};
}

} // namespace

struct CallerServer::Impl
{
    Impl(const std::string &address, CallerLimits limits, std::function<void(CallerEvent)> deliver)
        : io(1), acceptor(io, endpointOf(address)), shared(std::make_shared<SessionShared>())
    {
        shared->limits = limits;
        shared->deliver = std::move(deliver);
    }

    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec)
                std::make_shared<CallerSession>(std::move(socket), shared)->start();
            accept();
        });
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    std::shared_ptr<SessionShared> shared;
    std::thread thread;
};

CallerServer::CallerServer(const std::string &address, CallerLimits limits,
                           std::function<void(CallerEvent)> deliver)
    : m_impl(std::make_unique<Impl>(address, limits, std::move(deliver)))
{
    m_impl->accept();
    m_impl->thread = std::thread([this] {
        pthread_setname_np(pthread_self(), "callers");
        m_impl->io.run();
    });
}

CallerServer::~CallerServer()
{
    m_impl->io.stop();
    m_impl->thread.join();
}

void CallerServer::finishConnections()
{
    m_impl->shared->finishing = true;
}

} // namespace goldcrestline::adapters::callers
