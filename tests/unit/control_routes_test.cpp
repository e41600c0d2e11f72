#include "daemon/control/routes.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace goldcrestline;

// Guards against a name in the lists that ends its label, or the line, in the metrics.
TEST_CASE("a service's name cannot end its label in the metrics")
{
    daemon::engine::PublishedStatus published;
    daemon::engine::HostStatus status;
    status.servicesJson = R"({"a\"\n\\b": {"running": 1}})";
    published.publish(status);
    const daemon::control::Routes routes(published, nullptr, 3, core::Millis(1000));
    ports::HttpRequest request;
    request.method = "GET";
    request.target = "/v1/metrics";
    const auto text = routes.handle(request).body;
    CHECK(text.find("goldcrestline_service_running{service=\"a\\\" \\\\b\"} 1\n")
          != std::string::npos);
}
