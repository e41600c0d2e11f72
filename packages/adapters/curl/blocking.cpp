#include "adapters/curl/blocking.h"

namespace goldcrestline::adapters::curl {

TransferResult fetch(HttpClient &client, Transfer transfer)
{
    constexpr core::Millis pollTimeout{100};
    TransferResult result;
    bool ended = false;
    client.start(std::move(transfer), [&](TransferResult it) {
        result = std::move(it);
        ended = true;
    });
    while (!ended)
        client.run(pollTimeout);
    return result;
}

} // namespace goldcrestline::adapters::curl
