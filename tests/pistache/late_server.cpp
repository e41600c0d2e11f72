#include <pistache/endpoint.h>
#include <pistache/http.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <thread>

// Responds to POST /v1/query/slow after 80 ms and to other requests after 2 ms, from another
// thread, as a plain Pistache adapter of the caller interface would. Shows why callers are not
// served by Pistache: run the checks of own_answer_test.cpp against it by hand.
// Usage: pistache_late PORT

namespace Http = Pistache::Http;

class DelayedHandler : public Http::Handler
{
public:
    HTTP_PROTOTYPE(DelayedHandler)

    void onRequest(const Http::Request &request, Http::ResponseWriter writer) override
    {
        const bool slow = request.resource().find("slow") != std::string::npos;
        const auto body =
            "{\"echo\":\"" + std::to_string(std::hash<std::string>()(request.body())) + "\"}";
        auto response = std::make_shared<Http::ResponseWriter>(std::move(writer));
        std::thread([response, body, slow] {
            std::this_thread::sleep_for(std::chrono::milliseconds(slow ? 80 : 2));
            response->send(Http::Code::Ok, body);
        }).detach();
    }
};

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: pistache_late PORT\n";
        return 2;
    }
    Http::Endpoint endpoint(Pistache::Address("127.0.0.1", std::stoi(argv[1])));
    endpoint.init(Http::Endpoint::options().threads(2).flags(Pistache::Tcp::Options::ReuseAddr));
    endpoint.setHandler(std::make_shared<DelayedHandler>());
    std::cout << "ready" << std::endl;
    endpoint.serve();
    return 0;
}
