#pragma once

#include "base/clock.h"
#include "formats/configurationjson.h"
#include "runtime/admintask.h"
#include "runtime/embeddedstore.h"

#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

// An administration task over an embedded store with faults.

namespace crocusreach::tests {

const std::string adminToken = "a-token-of-the-planner";
constexpr std::string_view storedKey = "config/current";

enum class StoreFault : std::uint8_t { None, LoseAllReplies, LoseOneWriteReply, NeverAnswer };

// The store behind the task. Calls come in the task's thread.
struct TestStore
{
    std::mutex mutex;
    EmbeddedStore store; // guarded by mutex
    StoreFault fault = StoreFault::None; // guarded by mutex
    std::uint32_t writes = 0; // guarded by mutex

    auto setFault(StoreFault wanted) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->fault = wanted;
    }

    auto serve(ObjectCall &&request) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        const auto isWrite = request.operation == ObjectOperation::Put;
        this->writes += isWrite ? 1 : 0;
        if (this->fault == StoreFault::NeverAnswer)
            return;
        if (this->fault == StoreFault::LoseAllReplies)
            return request.reply(ObjectReply());
        if (isWrite && this->fault == StoreFault::LoseOneWriteReply) {
            this->fault = StoreFault::None;
            auto reply = std::exchange(request.reply, [](ObjectReply &&) {});
            call(this->store, std::move(request), decisionNow());
            return reply(ObjectReply());
        }
        call(this->store, std::move(request), decisionNow());
    }
};

inline auto readExample() -> std::string
{
    auto file = std::ifstream(EXAMPLES "/kayu-burung.json");
    auto text = std::stringstream();
    text << file.rdbuf();
    return text.str();
}

inline auto makePorts(TestStore &store) -> AdminPorts
{
    auto ports = AdminPorts();
    ports.callStore = [&](ObjectCall &&request) { store.serve(std::move(request)); };
    ports.askLeafStatus = [](LeafStatusAsked &&asked) {
        auto row = LeafStatus();
        row.leaf = leafId("catalogue-1", "leaf-1");
        row.running = 2;
        asked.reply({row});
    };
    ports.askExplain = [](ExplainAsked &&asked) {
        asked.reply({asked.service == "catalogue-1", {"The target 127.0.0.1:1 is slow."}});
    };
    ports.askMetrics = [](MetricsAsked &&asked) { asked.reply("queries_total 1\n"); };
    return ports;
}

inline auto makeView(const Configuration &configuration) -> ClusterViewPtr
{
    auto view = ClusterView();
    view.configuration = std::make_shared<const Configuration>(configuration);
    view.leafIndex = std::make_shared<const LeafIndex>(buildLeafIndex(*view.configuration));
    view.assignment = std::make_shared<const Assignment>();
    view.peers.push_back({instanceId("johor-2"),
                          Incarnation{1},
                          "johor-2",
                          "127.0.0.1:2",
                          domainId("muar-b"),
                          true,
                          false,
                          Revision{1},
                          Epoch{1},
                          {}});
    return std::make_shared<const ClusterView>(std::move(view));
}

inline auto makeSettings() -> AdminSettings
{
    auto settings = AdminSettings();
    settings.tokens = {{"planner", adminToken}, {"auditor", "a-token-of-the-auditor"}};
    settings.instance = "johor-1";
    settings.version = "0.0.0";
    settings.storeTimeout = std::chrono::milliseconds(1);
    return settings;
}

} // namespace crocusreach::tests
