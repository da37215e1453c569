#pragma once

#include "base/gobject.h"
#include "base/mailbox.h"
#include "core/control.h"
#include "embeddedstore.h"
#include "objectapi.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <variant>

// The task that talks to the platform: object API and instance list.

namespace crocusreach {

constexpr auto configurationKey = std::string_view("config/current");

// Key of a cell's assignment.
auto assignmentKey(std::string_view cell) -> std::string;

// Reads the instance list. The reply function is called once, in the store task's thread.
struct InstanceListCall
{
    std::function<auto(InstanceListReply &&)->void> reply;
};

using StoreMessage = std::variant<ObjectCall, InstanceListCall>;

struct StoreAddresses
{
    std::string objects; // IP:port of the object API; empty: the embedded store
    std::string instanceList; // IP:port; empty: calls are answered as unanswered
};

// A call that gets no reply within its timeout ends as Unknown. A write is never sent twice: the
// second could fail because of the first one, which would look like a conflict.
class StoreTask
{
public:
    // Fills the embedded store, if it is used, before the first call.
    StoreTask(StoreAddresses addresses, const EmbeddedObjects &objects);
    StoreTask(const StoreTask &) = delete;
    auto operator=(const StoreTask &) -> StoreTask & = delete;
    ~StoreTask() { this->stop(); }

    auto post(StoreMessage message) -> void { this->mailbox.post(std::move(message)); }
    // Ends the thread. Calls that are still running get no reply.
    auto stop() -> void;

private:
    // One HTTP request and its time limit.
    struct Request
    {
        StoreTask *task = nullptr;
        std::variant<ObjectCall, InstanceListCall> call;
        ObjectPtr<SoupMessage> message;
        ObjectPtr<GCancellable> cancellable;
        SourceHandle timer;
        const char *cancelReason = nullptr;
    };

    auto handle(ObjectCall &&call) -> void;
    auto handle(InstanceListCall &&call) -> void;
    auto send(std::unique_ptr<Request> request, Duration timeout) -> void;
    auto runEmbeddedTimer() -> void;
    auto armEmbeddedTimer() -> void;

    static auto onRestarted(SoupMessage *message, gpointer data) -> void;
    static auto onTimeout(gpointer data) -> gboolean;
    static auto onEnded(GObject *session, GAsyncResult *result, gpointer data) -> void;

    StoreAddresses addresses;
    EmbeddedStore embedded;
    MainThread thread;
    Mailbox<StoreMessage> mailbox;
    ObjectPtr<SoupSession> session;
    std::unique_ptr<WakeTimer> embeddedTimer;
    std::unordered_set<Request *> running;
    bool stopping = false;
};

} // namespace crocusreach
