#pragma once

#include "adminanswers.h"
#include "adminroutes.h"
#include "admintask.h"
#include "base/gobject.h"
#include "base/mailbox.h"
#include "core/administration.h"
#include "objectapi.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The administration listener and the requests under way. Everything runs in the thread of the
// administration task.

namespace crocusreach {

// Number of one question to another task. A reply to a question that was given up is ignored.
enum class QuestionId : std::uint64_t {};

template <typename Content>
struct Answered
{
    QuestionId question = {};
    Content content;
};

struct MetricsText
{
    std::string text;
};

using AdminAnswer = std::variant<ObjectReply, std::vector<LeafStatus>, ExplainAnswer, MetricsText>;
using AdminMessage = std::variant<ViewChanged, Answered<AdminAnswer>>;
using AdminMailbox = Mailbox<AdminMessage>;

// A request of an operator.
struct AdminRequest
{
    ObjectPtr<SoupServerMessage> message;
    AdminRoute route;
    std::string author;
    std::string body;
    QueryFields query;
    std::optional<ChangeState> change; // of the calls that change something
    std::optional<ObjectOperation> storeCall; // if the store is asked
    TimePoint waitsUntil = {}; // for the answer of another task
};

class AdminServer
{
public:
    AdminServer(GMainContext *context, AdminSettings settings, AdminPorts ports);
    AdminServer(const AdminServer &) = delete;
    auto operator=(const AdminServer &) -> AdminServer & = delete;
    ~AdminServer();

    auto listen(std::string_view address) -> Result<std::string>;
    // Shared with the replies of other tasks, which may come after the server has gone.
    auto inbox() const -> const std::shared_ptr<AdminMailbox> & { return this->mailbox; }

private:
    static auto onEarly(SoupServer *server, SoupServerMessage *message, const char *path,
                        GHashTable *query, gpointer data) -> void;
    static auto onRequest(SoupServer *server, SoupServerMessage *message, const char *path,
                          GHashTable *query, gpointer data) -> void;

    auto admit(SoupServerMessage *message, std::string_view path) -> void;
    auto begin(AdminRequest &&request) -> void;
    auto beginChange(AdminRequest &&request) -> void;
    auto beginStatus(AdminRequest &&request) -> void;

    auto take(AdminMessage &&message) -> void;
    auto finish(AdminRequest &&request, ObjectReply &&reply) -> void;
    auto finish(AdminRequest &&request, std::vector<LeafStatus> &&rows) -> void;
    auto finish(AdminRequest &&request, ExplainAnswer &&answer) -> void;
    auto finish(AdminRequest &&request, MetricsText &&metrics) -> void;

    // Hands the last action of a change to the store, or its result to the operator.
    auto perform(AdminRequest &&request, AdministrationActions &&actions) -> void;
    auto callStore(AdminRequest &&request, ObjectCall &&call) -> void;

    // Keeps the request until an answer comes. The answer goes to the function returned.
    auto ask(AdminRequest &&request, Duration timeout) -> std::function<auto(AdminAnswer &&)->void>;
    auto giveUpQuestions() -> void;
    auto armTimer() -> void;

    AdminSettings settings;
    AdminPorts ports;
    ObjectPtr<SoupServer> server;
    std::shared_ptr<AdminMailbox> mailbox;
    WakeTimer timer;
    ClusterViewPtr view; // null until the first one
    std::map<QuestionId, AdminRequest> waiting;
    std::uint64_t questions = 0;
};

} // namespace crocusreach
