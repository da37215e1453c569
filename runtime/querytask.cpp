#include "querytask.h"

namespace crocusreach {

namespace {

// A claim that takes longer would leave no time for the request itself.
constexpr auto claimTimeout = Duration(std::chrono::seconds(1));

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

auto callStore(const QueryOutlets &outlets, ClaimCall &&claim) -> void
{
    auto call = ObjectCall();
    call.operation = objectOperation(claim.operation);
    call.key = std::move(claim.key);
    call.value = std::move(claim.value);
    call.version = claim.version;
    call.timeout = claimTimeout;
    call.reply = [post = outlets.query, query = claim.query,
                  operation = claim.operation](ObjectReply &&reply) {
        post(ClaimReply{query, operation, claimStatus(reply.status), std::move(reply.value),
                        reply.version});
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

auto perform(const QueryOutlets &outlets, SendCancel &&send) -> void
{
    if (send.holder == outlets.self)
        outlets.dispatch(send.cancel);
    else
        outlets.peerCancel(std::move(send));
}

} // namespace

auto performQueryActions(QueryOutlets outlets) -> QueryTask::Perform
{
    return [outlets = std::move(outlets)](QueryAction &&action) {
        const auto handlers
                = Overloaded{[&](SendLeafRequest &&send) { perform(outlets, std::move(send)); },
                             [&](SendCancel &&send) { perform(outlets, std::move(send)); },
                             [&](ClaimCall &&claim) { callStore(outlets, std::move(claim)); },
                             [&](QueryAnswered &&answer) { outlets.front(std::move(answer)); }};
        std::visit(handlers, std::move(action));
    };
}

} // namespace crocusreach
