#pragma once

#include "base/clock.h"
#include "base/mailbox.h"
#include "core/types.h"

#include <functional>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

// A task round a decision core: it hands messages and the time to the core and performs the
// core's actions.

namespace crocusreach {

// Uses handle(State &, const Event &, TimePoint, std::vector<Action> &) and nextTickAt(const State
// &) of the core, whose events include Tick.
template <typename StatePtr, typename Event, typename Action, typename Tick>
class CoreTask
{
public:
    using State = typename StatePtr::element_type;
    // Reads the core's state in the task's thread. The reader passes on what it found by a message.
    struct Inspect
    {
        std::function<auto(const State &)->void> read;
    };
    using Message = std::variant<Event, Inspect>;
    // Turns an action into a message to another task.
    using Perform = std::function<auto(Action &&)->void>;

    CoreTask(const char *name, StatePtr state, Perform perform);
    CoreTask(const CoreTask &) = delete;
    auto operator=(const CoreTask &) -> CoreTask & = delete;
    ~CoreTask() { this->stop(); }

    auto post(Message message) -> void { this->mailbox.post(std::move(message)); }
    // Delivers what was posted so far and goes on delivering. Other tasks may post before.
    auto start() -> void;
    // Ends the thread. What is queued is dropped.
    auto stop() -> void;

private:
    auto take(const Event &event) -> void;
    auto take(const Inspect &inspect) -> void { inspect.read(*this->state); }
    auto armTimer(TimePoint now) -> void;

    StatePtr state;
    Perform perform;
    MainThread thread;
    Mailbox<Message> mailbox;
    std::optional<WakeTimer> timer;
    std::optional<TimePoint> armedFor;
    std::vector<Action> actions;
    bool running = false;
};

template <typename StatePtr, typename Event, typename Action, typename Tick>
CoreTask<StatePtr, Event, Action, Tick>::CoreTask(const char *name, StatePtr state, Perform perform)
    : state(std::move(state))
    , perform(std::move(perform))
    , thread(name)
{ }

template <typename StatePtr, typename Event, typename Action, typename Tick>
auto CoreTask<StatePtr, Event, Action, Tick>::start() -> void
{
    this->running = true;
    this->thread.run([this] {
        this->timer.emplace(this->thread.context(), [this] {
            this->armedFor.reset();
            this->take(Event(Tick()));
        });
        this->armTimer(decisionNow());
        this->mailbox.attach(this->thread.context(), [this](Message &&message) {
            std::visit([this](const auto &content) { this->take(content); }, message);
        });
    });
}

template <typename StatePtr, typename Event, typename Action, typename Tick>
auto CoreTask<StatePtr, Event, Action, Tick>::stop() -> void
{
    if (std::exchange(this->running, false)) {
        this->thread.run([this] {
            this->mailbox.detach();
            this->timer.reset();
        });
    }
    this->thread.stop();
}

template <typename StatePtr, typename Event, typename Action, typename Tick>
auto CoreTask<StatePtr, Event, Action, Tick>::take(const Event &event) -> void
{
    const auto now = decisionNow();
    handle(*this->state, event, now, this->actions);
    for (auto &action : this->actions)
        this->perform(std::move(action));
    this->actions.clear();
    this->armTimer(now);
}

// A timer that fires too early costs one Tick. Arming it anew costs a write to the context's wake
// descriptor, which would come with almost every event; so it is only ever moved forward.
template <typename StatePtr, typename Event, typename Action, typename Tick>
auto CoreTask<StatePtr, Event, Action, Tick>::armTimer(TimePoint now) -> void
{
    const auto wake = nextTickAt(*this->state);
    if (!wake || (this->armedFor && *this->armedFor <= *wake))
        return;
    this->armedFor = wake;
    this->timer->setDelay((*wake - now).count());
}

} // namespace crocusreach
