#pragma once

#include "base/mailbox.h"
#include "core/clusterview.h"
#include "core/dispatch.h"
#include "core/types.h"
#include "formats/settings.h"
#include "objectapi.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// The task that serves operators: administration API, metrics and health (docs/protocols.md).

namespace crocusreach {

struct AdminSettings
{
    std::vector<AdminToken> tokens; // none: every call that needs a token is refused
    std::string instance;
    std::string version; // of the program
    Duration storeTimeout = std::chrono::seconds(1); // of one store call
    Duration answerTimeout = std::chrono::seconds(5); // of an answer by another task
};

// Questions to other tasks. Each reply is to be called once, from any thread; the task posts the
// answer to its own mailbox. An answer that doesn't come is reported after the answer timeout.
struct LeafStatusAsked
{
    std::function<auto(std::vector<LeafStatus> &&)->void> reply;
};

struct ExplainAnswer
{
    bool known = true; // false if no such service is declared
    std::vector<std::string> sentences; // most likely place first, then the evidence
};

struct ExplainAsked
{
    std::string service;
    std::function<auto(ExplainAnswer &&)->void> reply;
};

struct MetricsAsked
{
    std::function<auto(std::string &&)->void> reply; // text in the exposition format of Prometheus
};

// Where the task's messages go. Each function posts and returns at once.
struct AdminPorts
{
    std::function<auto(ObjectCall &&)->void> callStore;
    std::function<auto(LeafStatusAsked &&)->void> askLeafStatus;
    std::function<auto(ExplainAsked &&)->void> askExplain;
    std::function<auto(MetricsAsked &&)->void> askMetrics;
};

class AdminServer;

class AdminTask
{
public:
    AdminTask(AdminSettings settings, AdminPorts ports);
    AdminTask(const AdminTask &) = delete;
    auto operator=(const AdminTask &) -> AdminTask & = delete;
    ~AdminTask();

    // Opens the listener at IP:port; port 0 lets the kernel choose. Returns the address that it
    // has. Fails with Step::Administration and the address as peer.
    auto listen(std::string_view address) -> Result<std::string>;

    // Any thread may post the newest view. Until the first one, the health page answers 503.
    auto post(ViewChanged message) -> void;

    // Ends the thread. Requests that wait get no answer.
    auto stop() -> void;

private:
    MainThread thread;
    std::unique_ptr<AdminServer> server; // used in the thread only
    std::function<auto(ViewChanged &&)->void> postView;
};

} // namespace crocusreach
