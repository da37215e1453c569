#pragma once

#include "adminroutes.h"
#include "admintask.h"
#include "core/administration.h"
#include "mailbox.h"
#include "objectapi.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The administration listener and the requests under way. Everything runs in the thread of the
// administration task.

namespace crocusreach {

struct ObjectUnref
{
    auto operator()(gpointer object) const -> void { g_object_unref(object); }
};

template <typename Object>
using ObjectPtr = std::unique_ptr<Object, ObjectUnref>;

// Number of one question to another task. A reply to a question that was given up is ignored.
enum class QuestionId : std::uint64_t {};

template <typename Answer>
struct Answered
{
    QuestionId question = {};
    Answer answer;
};

using MetricsText = std::string;
using AdminMessage
        = std::variant<ViewChanged, Answered<ObjectReply>, Answered<std::vector<LeafStatus>>,
                       Answered<ExplainAnswer>, Answered<MetricsText>>;

// A request that waits for the answer of another task.
struct AdminRequest
{
    ObjectPtr<SoupServerMessage> message;
    AdminRoute route;
    std::string author;
    std::string body;
    std::map<std::string, std::string, std::less<>> query;
    TimePoint waitsUntil = {};
    // Set for the calls that change something.
    std::optional<ChangeState> change;
    ObjectOperation operation = ObjectOperation::Get; // of the store call under way
};

class AdminServer
{
public:
    AdminServer(GMainContext *context, AdminSettings settings, AdminPorts ports);
    AdminServer(const AdminServer &) = delete;
    auto operator=(const AdminServer &) -> AdminServer & = delete;
    ~AdminServer();

    // Returns the address that the listener has.
    auto listen() -> Result<std::string>;
    auto inbox() const -> const std::shared_ptr<Mailbox<AdminMessage>> & { return this->mailbox; }

private:
    static auto handleEarly(SoupServer *server, SoupServerMessage *message, const char *path,
                            GHashTable *query, gpointer data) -> void;
    static auto handleRequest(SoupServer *server, SoupServerMessage *message, const char *path,
                              GHashTable *query, gpointer data) -> void;

    auto admit(SoupServerMessage *message, std::string_view path) -> void;
    auto begin(AdminRequest request) -> void;
    auto beginChange(AdminRequest request) -> void;
    auto handleMessage(AdminMessage &&message) -> void;
    auto handleAnswer(ObjectReply &&reply, AdminRequest request) -> void;
    auto handleAnswer(std::vector<LeafStatus> &&rows, AdminRequest request) -> void;
    auto handleAnswer(ExplainAnswer &&answer, AdminRequest request) -> void;
    auto handleAnswer(MetricsText &&text, AdminRequest request) -> void;
    auto answerRead(const Configuration &configuration, AdminRequest request) -> void;
    auto answerSheet(const Configuration &configuration, const AdminRequest &request) -> void;
    auto answerDifference(const Configuration &configuration, const AdminRequest &request) -> void;

    // Hands the actions of a change to the store, or its result to the operator.
    auto perform(AdministrationActions actions, AdminRequest request) -> void;
    auto callStore(ObjectCall call, AdminRequest request) -> void;
    auto ask(AdminRequest request, Duration timeout) -> QuestionId;
    auto giveUpQuestions() -> void;
    auto armTimer() -> void;

    AdminSettings settings;
    AdminPorts ports;
    ObjectPtr<SoupServer> server;
    std::shared_ptr<Mailbox<AdminMessage>> mailbox;
    WakeTimer timer;
    ClusterViewPtr view;
    std::map<QuestionId, AdminRequest> waiting;
    std::uint64_t questions = 0;
};

} // namespace crocusreach
