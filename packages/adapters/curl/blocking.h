#pragma once

#include "adapters/curl/http_client.h"

namespace goldcrestline::adapters::curl {

// Runs a transfer on `client` and blocks until it ends. Not thread-safe.
TransferResult fetch(HttpClient &client, Transfer transfer);

} // namespace goldcrestline::adapters::curl
