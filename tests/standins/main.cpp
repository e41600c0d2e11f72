#include "backend_farm.h"
#include "platform_standin.h"
#include "server_farm.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

// Runs stand-ins: "standins --platform", "standins --servers SPEC --store ADDRESS" or
// "standins --backends SPEC --store ADDRESS". Prints "ready PORT" once it listens; exits on SIGTERM
// or SIGINT.
int main(int argc, char **argv)
{
    cxxopts::Options options("standins", "Stand-ins of the platform and of backend servers.");
    options.add_options()("platform", "run the platform")(
        "servers", "run the backend servers specified in this JSON file",
        cxxopts::value<std::string>())(
        "backends", "run the backend servers of forwarded routes specified in this JSON file",
        cxxopts::value<std::string>())("store", "address of the platform's store",
                                       cxxopts::value<std::string>())(
        "port", "port of the platform or of the admin address; 0 selects a free port",
        cxxopts::value<unsigned short>()->default_value("0"));
    try {
        const auto arguments = options.parse(argc, argv);
        const auto port = arguments["port"].as<unsigned short>();
        standins::asio::io_context io(1);
        standins::asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&io](auto, auto) { io.stop(); });
        std::unique_ptr<standins::PlatformStandin> platform;
        std::unique_ptr<standins::ServerFarm> farm;
        std::unique_ptr<standins::BackendFarm> backends;
        const auto readFile = [](const std::string &path) {
            std::ifstream file(path);
            std::stringstream text;
            text << file.rdbuf();
            return text.str();
        };
        if (arguments.count("platform") != 0) {
            platform = std::make_unique<standins::PlatformStandin>(io, port);
            std::cout << "ready " << platform->port() << std::endl;
        } else if (arguments.count("backends") != 0) {
            backends = std::make_unique<standins::BackendFarm>(
                io, readFile(arguments["backends"].as<std::string>()),
                arguments["store"].as<std::string>(), port);
            std::cout << "ready " << backends->adminPort() << std::endl;
        } else {
            farm = std::make_unique<standins::ServerFarm>(
                io, readFile(arguments["servers"].as<std::string>()),
                arguments["store"].as<std::string>(), port);
            farm->publish();
            std::cout << "ready " << farm->adminPort() << std::endl;
        }
        io.run();
    } catch (const std::exception &e) {
        std::cerr << "standins: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
