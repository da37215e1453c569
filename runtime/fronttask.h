#pragma once

#include "base/gobject.h"
#include "base/mailbox.h"
#include "core/query.h"

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

// The task that owns the callers' connections. It turns their requests into QueryArrived and
// answers into replies, and decides nothing about them.

namespace crocusreach {

// What the task does with new requests.
struct Serving
{
    bool healthy = false; // what the health page says
    bool accepting = true; // false: queries are refused as not run
};

using FrontMessage = std::variant<QueryAnswer, Serving>;

struct FrontOutlets
{
    std::function<auto(QueryEvent &&)->void> query;
};

class FrontTask
{
public:
    explicit FrontTask(FrontOutlets outlets);
    FrontTask(const FrontTask &) = delete;
    auto operator=(const FrontTask &) -> FrontTask & = delete;
    ~FrontTask() { this->stop(); }

    // Opens the listener and returns its real address. To be called once.
    auto listen(std::string_view address) -> Result<std::string>;
    auto post(FrontMessage message) -> void { this->mailbox.post(std::move(message)); }
    auto stop() -> void;

private:
    // A caller that waits for an answer.
    struct Waiting
    {
        FrontTask *task = nullptr;
        QueryId query = {};
        ObjectPtr<SoupServerMessage> message;
        SourceHandle disconnectWatch;
    };

    auto handle(const QueryAnswer &answer) -> void;
    auto handle(const Serving &change) -> void { this->serving = change; }
    auto takeQuery(SoupServerMessage *message, std::string_view service) -> void;
    auto wait(SoupServerMessage *message, QueryArrived &&arrived) -> void;
    auto watchDisconnect(Waiting &waiting) -> void;
    auto dropCaller(QueryId query) -> void;

    static auto onEarly(SoupServer *server, SoupServerMessage *message, const char *path,
                        GHashTable *query, gpointer data) -> void;
    static auto onChunk(SoupServerMessage *message, GBytes *chunk, gpointer data) -> void;
    static auto onQuery(SoupServer *server, SoupServerMessage *message, const char *path,
                        GHashTable *query, gpointer data) -> void;
    static auto onHealth(SoupServer *server, SoupServerMessage *message, const char *path,
                         GHashTable *query, gpointer data) -> void;
    static auto onReadable(GSocket *socket, GIOCondition condition, gpointer data) -> gboolean;

    FrontOutlets outlets;
    MainThread thread;
    Mailbox<FrontMessage> mailbox;
    ObjectPtr<SoupServer> server;
    std::unordered_map<QueryId, std::unique_ptr<Waiting>> waiting;
    std::uint64_t lastQuery = 0;
    Serving serving;
    bool stopped = false;
};

} // namespace crocusreach
