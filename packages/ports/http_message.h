#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

// Requests and answers of the caller interface, free of any HTTP library.
namespace goldcrestline::ports {

// Header names are lower case.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    // Returns a header's value, or an empty string. Thread-safe.
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

// A caller's request; `respond` is thread-safe and must be called exactly once.
struct CallerRequest
{
    // Unique within the process; names the call when its caller hangs up.
    std::uint64_t id = 0;
    HttpRequest request;
    std::function<void(HttpResponse)> respond;
};

// The caller of `id` hung up before its answer.
struct CallerDisconnected
{
    std::uint64_t id = 0;
};

} // namespace goldcrestline::ports
