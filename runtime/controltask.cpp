#include "controltask.h"

#include "formats/configurationjson.h"

namespace crocusreach {

namespace {

auto objectOperation(StoreOperation operation) -> ObjectOperation
{
    switch (operation) {
    case StoreOperation::Read:
        return ObjectOperation::Get;
    case StoreOperation::Watch:
        return ObjectOperation::Watch;
    case StoreOperation::Write:
        break;
    }
    return ObjectOperation::Put;
}

auto storeStatus(ObjectStatus status) -> StoreStatus
{
    switch (status) {
    case ObjectStatus::Ok:
        return StoreStatus::Ok;
    case ObjectStatus::NotModified:
        return StoreStatus::NotModified;
    case ObjectStatus::NotFound:
        return StoreStatus::Absent;
    case ObjectStatus::Conflict:
        return StoreStatus::Conflict;
    case ObjectStatus::Unknown:
        break;
    }
    return StoreStatus::Unknown;
}

// Parses the value of a read; an invalid one is reported as such.
auto readValue(StateKind kind, const ObjectReply &object, StoreReply &reply) -> void
{
    if (kind == StateKind::Configuration) {
        auto parsed = parseConfiguration(object.value, configurationKey);
        if (isError(parsed)) {
            reply.status = StoreStatus::Invalid;
            return;
        }
        auto &configuration = std::get<Configuration>(parsed);
        configuration.revision = Revision(object.version);
        reply.configuration = std::make_shared<const Configuration>(std::move(configuration));
        return;
    }
    auto parsed = parseAssignment(object.value, "assignment");
    if (isError(parsed)) {
        reply.status = StoreStatus::Invalid;
        return;
    }
    auto &assignment = std::get<Assignment>(parsed);
    assignment.epoch = Epoch(object.version);
    reply.assignment = std::make_shared<const Assignment>(std::move(assignment));
}

auto storeReply(const StoreCall &call, const ObjectReply &object) -> StoreReply
{
    auto reply = StoreReply();
    reply.callId = call.callId;
    reply.status = storeStatus(object.status);
    reply.version = object.version;
    if (reply.status == StoreStatus::Ok && call.operation != StoreOperation::Write)
        readValue(call.kind, object, reply);
    return reply;
}

auto callStore(const ControlOutlets &outlets, StoreCall &&call) -> void
{
    auto object = ObjectCall();
    object.operation = objectOperation(call.operation);
    object.key = call.kind == StateKind::Configuration ? std::string(configurationKey)
                                                       : assignmentKey(outlets.cell);
    object.version = call.version;
    object.timeout = call.timeout;
    if (call.assignment != nullptr)
        object.value = writeAssignment(*call.assignment);
    call.assignment.reset();
    object.reply = [post = outlets.control, call = std::move(call)](ObjectReply &&reply) {
        post(storeReply(call, reply));
    };
    outlets.store(std::move(object));
}

auto readInstanceList(const ControlOutlets &outlets) -> void
{
    auto call = InstanceListCall();
    call.reply = [post = outlets.control](InstanceListReply &&reply) { post(std::move(reply)); };
    outlets.store(std::move(call));
}

} // namespace

auto performControlActions(ControlOutlets outlets) -> ControlTask::Perform
{
    return [outlets = std::move(outlets)](ControlAction &&action) {
        const auto handlers = Overloaded{
                [&](SendHeartbeat &&send) { outlets.peer(std::move(send)); },
                [&](SendHeartbeatReply &&send) { outlets.peer(std::move(send)); },
                [&](SendFetchState &&send) { outlets.peer(std::move(send)); },
                [&](SendFetchedState &&send) { outlets.peer(std::move(send)); },
                [&](StoreCall &&call) { callStore(outlets, std::move(call)); },
                [&](ReadInstanceList &&) { readInstanceList(outlets); },
                [&](PublishView &&publish) { outlets.publish(std::move(publish.view)); }};
        std::visit(handlers, std::move(action));
    };
}

} // namespace crocusreach
