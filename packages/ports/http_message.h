#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

// Requests and responses of the caller interface, independent of any HTTP library.
namespace goldcrestline::ports {

// A request; header names are in lower case.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    // Returns the value of a header, or an empty string if it is absent. Thread-safe.
    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
};

struct HttpResponse
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
};

// A request of a caller; `respond` is thread-safe and must be called exactly once.
struct CallerRequest
{
    // Unique within the process; identifies the request if its caller disconnects.
    std::uint64_t id = 0;
    HttpRequest request;
    std::function<void(HttpResponse)> respond;
};

// The caller of request `id` closed its connection before the response was sent.
struct CallerDisconnected
{
    std::uint64_t id = 0;
};

} // namespace goldcrestline::ports
