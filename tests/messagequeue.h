#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>

// Queue from which a test takes the messages of a task. Any thread may post.

namespace crocusreach::tests {

// Far longer than any wait of a test that passes.
constexpr auto messageTimeout = std::chrono::seconds(20);

template <typename Message>
class MessageQueue
{
public:
    auto post(Message message) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->messages.push_back(std::move(message));
        this->arrived.notify_all();
    }

    // The next message, or nothing if none arrives before the timeout.
    auto take(std::chrono::milliseconds timeout = messageTimeout) -> std::optional<Message>
    {
        auto lock = std::unique_lock(this->mutex);
        if (!this->arrived.wait_for(lock, timeout, [this] { return !this->messages.empty(); }))
            return std::nullopt;
        auto message = std::move(this->messages.front());
        this->messages.pop_front();
        return message;
    }

    // The next message that holds this alternative of a variant; others are dropped.
    template <typename Content>
    auto takeAlternative() -> std::optional<Content>
    {
        while (auto message = this->take()) {
            if (auto *content = std::get_if<Content>(&*message))
                return std::move(*content);
        }
        return std::nullopt;
    }

    auto isEmpty() -> bool
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->messages.empty();
    }

private:
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<Message> messages;
};

} // namespace crocusreach::tests
