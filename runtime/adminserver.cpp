#include "adminserver.h"

#include "adminanswers.h"
#include "base/clock.h"
#include "base/log.h"
#include "formats/adminmessages.h"
#include "formats/configurationjson.h"
#include "httplisten.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

constexpr std::string_view storedKey = "config/current";
constexpr std::size_t largestValue = 1 << 20; // bytes of an object in the store
// Characters of an operator's text that the log holds: those of the longest valid change id.
constexpr std::size_t longestLogged = 64;
constexpr goffset largestBody = 1 << 20; // bytes
// On top of a store call's own timeout, so that the store task answers first.
constexpr auto storeMargin = std::chrono::milliseconds(500);

auto respond(SoupServerMessage *message, const HttpAnswer &answer) -> void
{
    soup_server_message_set_status(message, answer.status, nullptr);
    soup_server_message_set_response(message, answer.contentType.c_str(), SOUP_MEMORY_COPY,
                                     answer.body.data(), answer.body.size());
}

auto headerOf(SoupServerMessage *message, const char *name) -> std::string
{
    auto *headers = soup_server_message_get_request_headers(message);
    return std::string(viewOf(soup_message_headers_get_one(headers, name)));
}

// Answers before the body is read. The rest of it isn't kept, and the connection ends.
auto refuseEarly(SoupServerMessage *message, const HttpAnswer &answer) -> void
{
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection",
                                 "close");
    respond(message, answer);
}

auto fieldsOf(GHashTable *table) -> QueryFields
{
    auto fields = QueryFields();
    if (table == nullptr)
        return fields;
    auto iterator = GHashTableIter();
    g_hash_table_iter_init(&iterator, table);
    gpointer key = nullptr;
    gpointer value = nullptr;
    while (g_hash_table_iter_next(&iterator, &key, &value) != FALSE)
        fields.emplace(static_cast<const char *>(key), viewOf(static_cast<const char *>(value)));
    return fields;
}

auto bodyOf(SoupServerMessage *message) -> std::string
{
    const auto bytes
            = BytesPtr(soup_message_body_flatten(soup_server_message_get_request_body(message)));
    return std::string(viewOf(bytes.get()));
}

auto routeOf(SoupServerMessage *message, std::string_view path)
        -> std::variant<AdminRoute, RouteFailure>
{
    return findRoute(viewOf(soup_server_message_get_method(message)), path);
}

auto failureAnswer(RouteFailure failure) -> HttpAnswer
{
    if (failure == RouteFailure::NotFound)
        return errorAnswer(404, "not_found", "no such path");
    return errorAnswer(405, "method_not_allowed", "the path doesn't take this method");
}

auto isChange(AdminCall call) -> bool
{
    return call == AdminCall::ApplySheet || call == AdminCall::PutConfiguration
           || call == AdminCall::SetState;
}

auto readChange(const AdminRequest &request) -> std::variant<ChangeRequest, HttpAnswer>
{
    const auto headers = ChangeHeaders{headerOf(request.message.get(), "X-Change-Id"),
                                       headerOf(request.message.get(), "If-Match")};
    const auto &route = request.route;
    if (route.call == AdminCall::ApplySheet)
        return readSheetChange(request.body, request.query, headers, request.author);
    if (route.call == AdminCall::PutConfiguration)
        return readConfigurationChange(request.body, headers, request.author);
    return readStateChange(request.body, route.kind, route.name, route.state, request.author);
}

auto readStored(const ObjectReply &reply) -> ConfigurationRead
{
    if (reply.status == ObjectStatus::NotFound)
        return {StoreStatus::Absent, nullptr};
    if (reply.status != ObjectStatus::Ok)
        return {StoreStatus::Unknown, nullptr};
    auto parsed = parseConfiguration(reply.value, storedKey);
    if (isError(parsed))
        return {StoreStatus::Invalid, nullptr};
    auto configuration = std::get<Configuration>(std::move(parsed));
    configuration.revision = Revision{reply.version};
    return {StoreStatus::Ok, std::make_shared<const Configuration>(std::move(configuration))};
}

auto readWritten(const ObjectReply &reply) -> ConfigurationWritten
{
    if (reply.status == ObjectStatus::Ok)
        return {StoreStatus::Ok, Revision{reply.version}};
    // A conditional write to an object that was removed fails too.
    if (reply.status == ObjectStatus::Conflict || reply.status == ObjectStatus::NotFound)
        return {StoreStatus::Conflict, {}};
    return {StoreStatus::Unknown, {}};
}

auto answerFrom(const Configuration &configuration, const AdminRequest &request) -> HttpAnswer
{
    switch (request.route.call) {
    case AdminCall::History:
        return answerHistory(configuration, request.query);
    case AdminCall::ListItems:
        return answerItems(configuration, request.route.kind, request.query);
    case AdminCall::DiffConfiguration:
        return answerDifference(configuration, request.body, request.author, wallNow());
    case AdminCall::CheckSheet:
        return answerSheet(configuration, request.body, SheetDetail::Summary, wallNow());
    case AdminCall::DiffSheet:
        return answerSheet(configuration, request.body, SheetDetail::Plan, wallNow());
    default:
        return {200, writeCurrent(configuration)};
    }
}

auto healthAnswer(const ClusterView *view) -> HttpAnswer
{
    if (view == nullptr)
        return {503, R"({"state":"starting"})"};
    if (view->stopping)
        return {503, R"({"state":"leaving"})"};
    return {200, R"({"state":"serving"})"};
}

auto kindOf(const ChangeRequest &change) -> std::string
{
    return std::visit(
            Overloaded{[](const ApplySheet &) { return std::string("sheet"); },
                       [](const ReplaceConfiguration &) { return std::string("configuration"); },
                       [](const SetState &set) {
                           return std::string(toString(set.kind))
                                   .append("/")
                                   .append(set.name, 0, longestLogged)
                                   .append("=")
                                   .append(toString(set.state));
                       }},
            change.request);
}

auto logResult(const ChangeRequest &change, const ChangeResult &result) -> void
{
    const auto stored
            = result.status == ChangeStatus::Applied || result.status == ChangeStatus::Unchanged;
    auto fields
            = std::vector<LogField>{{"change", change.changeId.substr(0, longestLogged)},
                                    {"kind", kindOf(change)},
                                    {"author", change.author},
                                    {"status", std::string(toString(result.status))},
                                    {"revision", std::to_string(toUnderlying(result.revision))}};
    if (stored)
        fields.push_back({"repeated", result.repeated ? "yes" : "no"});
    else if (!result.errors.empty())
        fields.push_back({"error", describe(result.errors.front())});
    logEvent(stored ? LogEvent::ChangeAccepted : LogEvent::ChangeRefused, fields);
}

auto send(AdminRequest &&request, const HttpAnswer &answer) -> void
{
    respond(request.message.get(), answer);
    soup_server_message_unpause(request.message.get());
}

auto noView() -> HttpAnswer
{
    return errorAnswer(503, "starting", "the instance has no view of its cell yet");
}

} // namespace

AdminServer::AdminServer(GMainContext *context, AdminSettings settings, AdminPorts ports)
    : settings(std::move(settings))
    , ports(std::move(ports))
    , server(soup_server_new("server-header", nullptr, nullptr))
    , mailbox(std::make_shared<AdminMailbox>())
    , timer(context, [this] { this->giveUpQuestions(); })
{
    this->mailbox->attach(context,
                          [this](AdminMessage &&message) { this->take(std::move(message)); });
    soup_server_add_early_handler(this->server.get(), nullptr, &AdminServer::onEarly, this,
                                  nullptr);
    soup_server_add_handler(this->server.get(), nullptr, &AdminServer::onRequest, this, nullptr);
}

AdminServer::~AdminServer()
{
    this->mailbox->detach();
    this->waiting.clear();
    soup_server_disconnect(this->server.get());
}

auto AdminServer::listen(std::string_view address) -> Result<std::string>
{
    return listenHttp(this->server.get(), address, Step::Administration);
}

auto AdminServer::onEarly(SoupServer * /*server*/, SoupServerMessage *message, const char *path,
                          GHashTable * /*query*/, gpointer data) -> void
{
    static_cast<AdminServer *>(data)->admit(message, viewOf(path));
}

// Refuses what must not be read: calls without a token, and bodies that are too long or don't tell
// their length.
auto AdminServer::admit(SoupServerMessage *message, std::string_view path) -> void
{
    const auto route = routeOf(message, path);
    const auto *known = std::get_if<AdminRoute>(&route);
    const auto open = known != nullptr && !needsToken(known->call);
    const auto author = authenticate(headerOf(message, "Authorization"), this->settings.tokens);
    if (!open && author.empty())
        return refuseEarly(message, errorAnswer(401, "unauthorized", "a valid token is needed"));
    auto *headers = soup_server_message_get_request_headers(message);
    if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED)
        return refuseEarly(message,
                           errorAnswer(411, "length_required", "Content-Length is needed"));
    if (soup_message_headers_get_content_length(headers) > largestBody)
        return refuseEarly(message, errorAnswer(413, "too_large", "the body is larger than 1 MiB"));
    if (known == nullptr)
        return refuseEarly(message, failureAnswer(std::get<RouteFailure>(route)));
}

auto AdminServer::onRequest(SoupServer * /*server*/, SoupServerMessage *message, const char *path,
                            GHashTable *query, gpointer data) -> void
{
    auto &self = *static_cast<AdminServer *>(data);
    const auto route = routeOf(message, viewOf(path));
    if (std::holds_alternative<RouteFailure>(route))
        return respond(message, failureAnswer(std::get<RouteFailure>(route)));
    auto request = AdminRequest();
    request.message = shareObject(message);
    request.route = std::get<AdminRoute>(route);
    request.author = authenticate(headerOf(message, "Authorization"), self.settings.tokens);
    request.body = bodyOf(message);
    request.query = fieldsOf(query);
    soup_server_message_pause(message);
    self.begin(std::move(request));
}

auto AdminServer::begin(AdminRequest &&request) -> void
{
    const auto call = request.route.call;
    if (call == AdminCall::Health)
        return send(std::move(request), healthAnswer(this->view.get()));
    if (isChange(call))
        return this->beginChange(std::move(request));
    if (call == AdminCall::Status)
        return this->beginStatus(std::move(request));
    if (call == AdminCall::Metrics) {
        auto reply = this->ask(std::move(request), this->settings.answerTimeout);
        return this->ports.askMetrics(
                {[reply](std::string &&text) { reply(MetricsText{std::move(text)}); }});
    }
    if (call == AdminCall::Explain) {
        auto service = std::exchange(request.query["service"], {});
        request.route.name = service;
        auto reply = this->ask(std::move(request), this->settings.answerTimeout);
        return this->ports.askExplain({std::move(service), [reply](ExplainAnswer &&answer) {
                                           reply(std::move(answer));
                                       }});
    }
    this->callStore(std::move(request), {ObjectOperation::Get, std::string(storedKey), "", 0});
}

auto AdminServer::beginChange(AdminRequest &&request) -> void
{
    auto change = readChange(request);
    if (const auto *refused = std::get_if<HttpAnswer>(&change))
        return send(std::move(request), *refused);
    auto actions = AdministrationActions();
    request.change = startChange(std::get<ChangeRequest>(std::move(change)), actions);
    this->perform(std::move(request), std::move(actions));
}

auto AdminServer::beginStatus(AdminRequest &&request) -> void
{
    if (this->view == nullptr)
        return send(std::move(request), noView());
    auto reply = this->ask(std::move(request), this->settings.answerTimeout);
    this->ports.askLeafStatus(
            {[reply](std::vector<LeafStatus> &&rows) { reply(std::move(rows)); }});
}

auto AdminServer::take(AdminMessage &&message) -> void
{
    if (auto *changed = std::get_if<ViewChanged>(&message)) {
        this->view = std::move(changed->view);
        return;
    }
    auto &answered = std::get<Answered<AdminAnswer>>(message);
    const auto found = this->waiting.find(answered.question);
    if (found == this->waiting.end())
        return;
    auto request = std::move(found->second);
    this->waiting.erase(found);
    std::visit([&](auto &content) { this->finish(std::move(request), std::move(content)); },
               answered.content);
}

auto AdminServer::finish(AdminRequest &&request, ObjectReply &&reply) -> void
{
    if (request.change) {
        const auto event = *request.storeCall == ObjectOperation::Get
                                   ? AdministrationEvent(readStored(reply))
                                   : AdministrationEvent(readWritten(reply));
        auto actions = AdministrationActions();
        handle(*request.change, event, wallNow(), actions);
        return this->perform(std::move(request), std::move(actions));
    }
    // Without the store, the configuration in force here is the best answer.
    auto read = readStored(reply);
    if (read.status == StoreStatus::Absent)
        read.configuration = std::make_shared<const Configuration>();
    else if (read.status != StoreStatus::Ok && this->view != nullptr)
        read.configuration = this->view->configuration;
    const auto answer
            = read.configuration == nullptr ? noView() : answerFrom(*read.configuration, request);
    send(std::move(request), answer);
}

auto AdminServer::finish(AdminRequest &&request, std::vector<LeafStatus> &&rows) -> void
{
    const auto left = this->view->leaseValidUntil - decisionNow();
    const auto report = StatusReport{this->settings.instance, this->settings.version, this->view,
                                     std::move(rows), left};
    send(std::move(request), {200, writeStatus(report)});
}

auto AdminServer::finish(AdminRequest &&request, ExplainAnswer &&answer) -> void
{
    if (!answer.known)
        return send(std::move(request), errorAnswer(404, "not_found", "no such service"));
    const auto body = writeExplanation(request.route.name, answer.sentences);
    send(std::move(request), {200, body});
}

auto AdminServer::finish(AdminRequest &&request, MetricsText &&metrics) -> void
{
    send(std::move(request), {200, std::move(metrics.text), "text/plain; version=0.0.4"});
}

auto AdminServer::perform(AdminRequest &&request, AdministrationActions &&actions) -> void
{
    auto &action = actions.back();
    if (const auto *result = std::get_if<ChangeResult>(&action)) {
        logResult(request.change->request, *result);
        return send(std::move(request), {httpStatus(*result), writeChangeResult(*result)});
    }
    auto call = ObjectCall{ObjectOperation::Get, std::string(storedKey), "", 0};
    if (const auto *write = std::get_if<WriteConfiguration>(&action)) {
        call.operation = ObjectOperation::Put;
        call.value = writeConfiguration(*write->configuration);
        call.version = toUnderlying(write->expected);
    }
    if (call.value.size() > largestValue)
        return send(std::move(request),
                    errorAnswer(413, "too_large", "the configuration would exceed 1 MiB"));
    this->callStore(std::move(request), std::move(call));
}

auto AdminServer::callStore(AdminRequest &&request, ObjectCall &&call) -> void
{
    request.storeCall = call.operation;
    call.timeout = this->settings.storeTimeout;
    auto reply = this->ask(std::move(request), this->settings.storeTimeout + storeMargin);
    call.reply = [reply](ObjectReply &&content) { reply(std::move(content)); };
    this->ports.callStore(std::move(call));
}

auto AdminServer::ask(AdminRequest &&request, Duration timeout)
        -> std::function<auto(AdminAnswer &&)->void>
{
    const auto question = QuestionId{++this->questions};
    request.waitsUntil = decisionNow() + timeout;
    this->waiting.emplace(question, std::move(request));
    this->armTimer();
    return [question, inbox = this->mailbox](AdminAnswer &&content) {
        inbox->post(Answered<AdminAnswer>{question, std::move(content)});
    };
}

// A store call that isn't answered counts as one whose reply was lost.
auto AdminServer::giveUpQuestions() -> void
{
    const auto now = decisionNow();
    auto late = std::vector<AdminRequest>();
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
        if (entry->second.waitsUntil > now) {
            ++entry;
            continue;
        }
        late.push_back(std::move(entry->second));
        entry = this->waiting.erase(entry);
    }
    for (auto &request : late) {
        if (request.storeCall)
            this->finish(std::move(request), ObjectReply());
        else
            send(std::move(request),
                 errorAnswer(503, "no_answer", "another task of the instance doesn't answer"));
    }
    this->armTimer();
}

auto AdminServer::armTimer() -> void
{
    if (this->waiting.empty())
        return this->timer.clear();
    const auto next = std::ranges::min_element(
            this->waiting, {}, [](const auto &entry) { return entry.second.waitsUntil; });
    this->timer.setDelay((next->second.waitsUntil - decisionNow()).count());
}

} // namespace crocusreach
