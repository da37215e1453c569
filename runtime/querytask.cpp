#include "querytask.h"

#include "formats/claimjson.h"

namespace crocusreach {

namespace {

auto objectOperation(ClaimOperation operation) -> ObjectOperation
{
    switch (operation) {
    case ClaimOperation::Read:
        return ObjectOperation::Get;
    case ClaimOperation::Remove:
        return ObjectOperation::Remove;
    case ClaimOperation::Create:
    case ClaimOperation::Update:
        break;
    }
    return ObjectOperation::Put;
}

auto claimStatus(ObjectStatus status) -> ClaimStatus
{
    switch (status) {
    case ObjectStatus::Ok:
        return ClaimStatus::Ok;
    case ObjectStatus::NotFound:
        return ClaimStatus::NotFound;
    case ObjectStatus::Conflict:
        return ClaimStatus::Conflict;
    case ObjectStatus::NotModified:
    case ObjectStatus::Unknown:
        break;
    }
    return ClaimStatus::Unknown;
}

auto claimReply(QueryId query, ClaimOperation operation, std::string_view key,
                const ObjectReply &object) -> ClaimReply
{
    auto reply = ClaimReply{query, operation, claimStatus(object.status), {}, object.version};
    if (operation != ClaimOperation::Read || reply.status != ClaimStatus::Ok)
        return reply;
    auto parsed = parseClaim(object.value, key);
    // A claim that can't be read says nothing about the request.
    if (isError(parsed))
        reply.status = ClaimStatus::Unknown;
    else
        reply.record = std::get<ClaimRecord>(std::move(parsed));
    return reply;
}

auto callStore(const QueryOutlets &outlets, ClaimRequest &&claim) -> void
{
    auto call = ObjectCall();
    call.operation = objectOperation(claim.operation);
    call.key = claim.key;
    if (call.operation == ObjectOperation::Put)
        call.value = writeClaim(claim.record);
    call.version = claim.version;
    call.timeout = claim.timeout;
    call.reply = [post = outlets.query, query = claim.query, operation = claim.operation,
                  key = std::move(claim.key)](ObjectReply &&reply) {
        post(claimReply(query, operation, key, reply));
    };
    outlets.store(std::move(call));
}

auto perform(const QueryOutlets &outlets, SendLeafRequest &&send) -> void
{
    if (send.holder == outlets.self)
        outlets.dispatch(std::move(send.request));
    else
        outlets.peerRequest(std::move(send));
}

auto perform(const QueryOutlets &outlets, const SendCancel &send) -> void
{
    if (send.holder == outlets.self)
        outlets.dispatch(send.cancel);
    else
        outlets.peerCancel(send);
}

} // namespace

auto performQueryActions(QueryOutlets outlets) -> QueryTask::Perform
{
    return [outlets = std::move(outlets)](QueryAction &&action) {
        const auto handlers
                = Overloaded{[&](SendLeafRequest &&send) { perform(outlets, std::move(send)); },
                             [&](const SendCancel &send) { perform(outlets, send); },
                             [&](ClaimRequest &&claim) { callStore(outlets, std::move(claim)); },
                             [&](QueryAnswer &&answer) { outlets.front(std::move(answer)); }};
        std::visit(handlers, std::move(action));
    };
}

} // namespace crocusreach
