#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace goldcrestline::core {

// Queue of messages to a task that owns its state. Any thread posts, the owner drains.
template <typename Message>
class Mailbox
{
public:
    // `wake` is called after each post into an empty queue and must be thread-safe.
    explicit Mailbox(std::function<void()> wake = {}) : m_wake(std::move(wake)) { }

    // Replaces the wake hook. Precondition: no other thread posts yet.
    void setWake(std::function<void()> wake) { m_wake = std::move(wake); }

    // Adds a message. Thread-safe.
    void post(Message message)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            wasEmpty = m_queue.empty();
            m_queue.push_back(std::move(message));
        }
        if (wasEmpty && m_wake)
            m_wake();
    }

    // Takes all waiting messages in the order of posting. Thread-safe.
    std::vector<Message> drain()
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_queue, {});
    }

private:
    std::mutex m_mutex;
    std::vector<Message> m_queue;
    std::function<void()> m_wake;
};

} // namespace goldcrestline::core
