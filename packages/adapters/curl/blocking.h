#pragma once

#include "adapters/curl/http_client.h"

namespace goldcrestline::adapters::curl {

// Runs one transfer to its end on `client`. Not thread-safe.
TransferResult fetch(HttpClient &client, Transfer transfer);

} // namespace goldcrestline::adapters::curl
