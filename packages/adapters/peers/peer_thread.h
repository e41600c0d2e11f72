#pragma once

#include "ports/peer_link.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>

// Cap'n Proto RPC between entry hosts, on an event loop of its own.
namespace goldcrestline::adapters::peers {

// The end of a call that was sent with `id`.
struct PeerDone
{
    std::uint64_t id = 0;
    ports::PeerResult result;
};

using PeerEvent = std::variant<ports::PeerCall, PeerDone>;

// A call to make.
struct OutgoingCall
{
    std::uint64_t id = 0;
    std::string address;
    ports::PeerRequest request;
    core::Millis timeout{0};
};

// Named thread that owns all sockets between hosts. Public methods are thread-safe.
class PeerThread
{
public:
    // Listens on `address` and passes events to `deliver`, which must be thread-safe.
    // Throws std::runtime_error if the address cannot be listened on.
    PeerThread(std::string address, std::function<void(PeerEvent)> deliver);
    // Stops the loop and joins the thread.
    ~PeerThread();
    PeerThread(const PeerThread &) = delete;
    PeerThread &operator=(const PeerThread &) = delete;

    // Sends a call; a PeerDone with its id follows.
    void send(OutgoingCall call);

private:
    class Loop;
    struct Inbox;

    std::shared_ptr<Inbox> m_inbox;
    std::thread m_thread;
};

} // namespace goldcrestline::adapters::peers
