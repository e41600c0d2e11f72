#include "adapters/control/control_server.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>

namespace goldcrestline::adapters::control {

namespace Http = Pistache::Http;

namespace {

constexpr int threads = 1;
constexpr std::size_t requestBytes = 64U << 10;

ports::HttpRequest readRequest(const Http::Request &from)
{
    ports::HttpRequest to;
    to.method = Http::methodString(from.method());
    to.target = from.resource() + from.query().as_str();
    to.body = from.body();
    return to;
}

class Handler : public Http::Handler
{
public:
    HTTP_PROTOTYPE(Handler)

    explicit Handler(std::function<ports::HttpResponse(const ports::HttpRequest &)> answer)
        : m_answer(std::move(answer))
    { }

    void onRequest(const Http::Request &request, Http::ResponseWriter writer) override
    {
        const auto response = m_answer(readRequest(request));
        const auto type = response.headers.find("content-type");
        if (type != response.headers.end()) {
            writer.headers().add<Http::Header::ContentType>(
                Http::Mime::MediaType::fromString(type->second));
        }
        writer.send(static_cast<Http::Code>(response.status), response.body);
    }

private:
    std::function<ports::HttpResponse(const ports::HttpRequest &)> m_answer;
};

} // namespace

struct ControlServer::Impl
{
    explicit Impl(const std::string &address) : endpoint(Pistache::Address(address)) { }

    Http::Endpoint endpoint;
};

ControlServer::ControlServer(const std::string &address,
                             std::function<ports::HttpResponse(const ports::HttpRequest &)> answer)
    : m_impl(std::make_unique<Impl>(address))
{
    auto options = Http::Endpoint::options()
                       .threads(threads)
                       .maxRequestSize(requestBytes)
                       .flags(Pistache::Tcp::Options::ReuseAddr);
    m_impl->endpoint.init(options);
    m_impl->endpoint.setHandler(std::make_shared<Handler>(std::move(answer)));
    m_impl->endpoint.serveThreaded();
}

ControlServer::~ControlServer()
{
    m_impl->endpoint.shutdown();
}

} // namespace goldcrestline::adapters::control
