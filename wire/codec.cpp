#include "codec.h"

#include "formats/configurationjson.h"

namespace crocusreach {

namespace {

template <typename Value>
auto microseconds(Value value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

auto encodeMember(const Member &member, wire::Member &target) -> void
{
    target.set_id(toUnderlying(member.id));
    target.set_incarnation(toUnderlying(member.incarnation));
    target.set_name(member.name);
    target.set_address(member.address);
    target.set_domain(toUnderlying(member.domain));
}

auto decodeMember(const wire::Member &source) -> Member
{
    return Member{InstanceId(source.id()), Incarnation(source.incarnation()), source.name(),
                  source.address(), DomainId(source.domain())};
}

auto encodeHeartbeat(const Heartbeat &heartbeat, wire::Heartbeat &target) -> void
{
    encodeMember(heartbeat.from, *target.mutable_from());
    target.set_sent_at_us(microseconds(heartbeat.sentAt.time_since_epoch()));
    target.set_epoch(toUnderlying(heartbeat.epoch));
    target.set_revision(toUnderlying(heartbeat.revision));
    target.set_drained(toUnderlying(heartbeat.drainedEpoch));
    target.set_leaving(heartbeat.leaving);
    target.set_store_reachable(heartbeat.storeReachable);
    for (const auto suspect : heartbeat.suspects)
        target.add_suspects(toUnderlying(suspect));
}

auto decodeHeartbeat(const wire::Heartbeat &source) -> Heartbeat
{
    auto heartbeat = Heartbeat();
    heartbeat.from = decodeMember(source.from());
    heartbeat.sentAt = TimePoint(Duration(source.sent_at_us()));
    heartbeat.epoch = Epoch(source.epoch());
    heartbeat.revision = Revision(source.revision());
    heartbeat.drainedEpoch = Epoch(source.drained());
    heartbeat.leaving = source.leaving();
    heartbeat.storeReachable = source.store_reachable();
    for (const auto suspect : source.suspects())
        heartbeat.suspects.push_back(InstanceId(suspect));
    return heartbeat;
}

auto encodeBody(const LeafRequest &request, TimePoint now, wire::PeerMessage &message) -> void
{
    auto &target = *message.mutable_leaf_request();
    target.set_attempt(toUnderlying(request.attempt));
    target.set_origin(toUnderlying(request.origin));
    target.set_service(toUnderlying(request.service));
    target.set_leaf(toUnderlying(request.leaf));
    target.set_ordinal(request.ordinal);
    target.set_shard(toUnderlying(request.shard));
    target.set_version(toUnderlying(request.version));
    target.set_layout(toUnderlying(request.layout));
    target.set_time_left_us(microseconds(request.deadline - now));
    target.set_non_idempotent(!request.idempotent);
    target.set_hedge(request.hedge);
    target.set_request_id(request.requestId);
    target.set_body(*request.body);
}

auto encodeBody(const OriginatedReply &originated, TimePoint /*now*/, wire::PeerMessage &message)
        -> void
{
    auto &target = *message.mutable_leaf_reply();
    const auto &reply = originated.reply;
    target.set_origin(toUnderlying(originated.origin));
    target.set_attempt(toUnderlying(reply.attempt));
    target.set_leaf(toUnderlying(reply.leaf));
    target.set_shard(toUnderlying(reply.shard));
    target.set_outcome(static_cast<std::uint32_t>(reply.outcome));
    target.set_reason(static_cast<std::uint32_t>(reply.reason));
    target.set_step(static_cast<std::uint32_t>(reply.step));
    target.set_peer(reply.peer);
    target.set_version(toUnderlying(reply.version));
    target.set_layout(toUnderlying(reply.layout));
    for (const auto &row : reply.rows) {
        auto &added = *target.add_rows();
        added.set_key(row.key);
        added.set_score(row.score);
        added.set_body(row.body);
    }
    for (const auto version : reply.servedVersions)
        target.add_served_versions(toUnderlying(version));
    target.set_queued_us(microseconds(reply.timings.queued));
    target.set_connecting_us(microseconds(reply.timings.connecting));
    target.set_target_us(microseconds(reply.timings.target));
    target.set_target_state(static_cast<std::uint32_t>(reply.targetState));
    target.set_queue_length(reply.queueLength);
}

auto encodeBody(const CancelLeafRequest &cancel, TimePoint /*now*/, wire::PeerMessage &message)
        -> void
{
    message.mutable_cancel()->set_origin(toUnderlying(cancel.origin));
    message.mutable_cancel()->set_attempt(toUnderlying(cancel.attempt));
}

auto encodeBody(const Heartbeat &heartbeat, TimePoint /*now*/, wire::PeerMessage &message) -> void
{
    encodeHeartbeat(heartbeat, *message.mutable_heartbeat());
}

auto encodeBody(const HeartbeatReply &reply, TimePoint /*now*/, wire::PeerMessage &message) -> void
{
    auto &target = *message.mutable_heartbeat_reply();
    encodeHeartbeat(reply.state, *target.mutable_state());
    target.set_echo_us(microseconds(reply.echo.time_since_epoch()));
}

auto encodeBody(const FetchState &fetch, TimePoint /*now*/, wire::PeerMessage &message) -> void
{
    auto &target = *message.mutable_fetch();
    target.set_from(toUnderlying(fetch.from));
    target.set_kind(static_cast<std::uint32_t>(fetch.kind));
    target.set_newer_than(fetch.newerThan);
}

auto encodeBody(const FetchedState &state, TimePoint /*now*/, wire::PeerMessage &message) -> void
{
    auto &target = *message.mutable_fetched();
    target.set_from(toUnderlying(state.from));
    if (state.configuration != nullptr) {
        target.set_revision(toUnderlying(state.configuration->revision));
        target.set_configuration_json(writeConfiguration(*state.configuration));
    }
    if (state.assignment != nullptr) {
        target.set_epoch(toUnderlying(state.assignment->epoch));
        target.set_assignment_json(writeAssignment(*state.assignment));
    }
}

auto invalid(std::string_view text) -> Error
{
    return Error{Step::PeerCall, "peer message", std::string(text)};
}

auto decodeRequest(const wire::LeafRequest &source, TimePoint now) -> Result<PeerPayload>
{
    if (source.ordinal() >= maxSharesPerLeaf)
        return invalid("leaf request: share out of range");
    auto request = LeafRequest();
    request.attempt = AttemptId(source.attempt());
    request.origin = InstanceId(source.origin());
    request.service = ServiceId(source.service());
    request.leaf = LeafId(source.leaf());
    request.ordinal = static_cast<std::uint8_t>(source.ordinal());
    request.shard = ShardNumber(source.shard());
    request.version = IndexVersion(source.version());
    request.layout = LayoutVersion(source.layout());
    request.deadline = now + Duration(source.time_left_us());
    request.idempotent = !source.non_idempotent();
    request.hedge = source.hedge();
    request.requestId = source.request_id();
    request.body = std::make_shared<const std::string>(source.body());
    return PeerPayload(std::move(request));
}

auto decodeReply(const wire::LeafReply &source) -> Result<PeerPayload>
{
    if (source.outcome() > static_cast<std::uint32_t>(Outcome::Unknown)
        || source.reason() >= static_cast<std::uint32_t>(Reason::Count)
        || source.step() >= static_cast<std::uint32_t>(Step::Count)
        || source.target_state() > static_cast<std::uint32_t>(TargetState::Draining))
        return invalid("leaf reply: value out of range");
    auto originated = OriginatedReply();
    auto &reply = originated.reply;
    originated.origin = InstanceId(source.origin());
    reply.attempt = AttemptId(source.attempt());
    reply.leaf = LeafId(source.leaf());
    reply.shard = ShardNumber(source.shard());
    reply.outcome = static_cast<Outcome>(source.outcome());
    reply.reason = static_cast<Reason>(source.reason());
    reply.step = static_cast<Step>(source.step());
    reply.peer = source.peer();
    reply.version = IndexVersion(source.version());
    reply.layout = LayoutVersion(source.layout());
    reply.rows.reserve(static_cast<std::size_t>(source.rows_size()));
    for (const auto &row : source.rows())
        reply.rows.push_back(ResultRow{row.key(), row.score(), row.body()});
    for (const auto version : source.served_versions())
        reply.servedVersions.push_back(IndexVersion(version));
    reply.timings.queued = Duration(source.queued_us());
    reply.timings.connecting = Duration(source.connecting_us());
    reply.timings.target = Duration(source.target_us());
    reply.targetState = static_cast<TargetState>(source.target_state());
    reply.queueLength = source.queue_length();
    return PeerPayload(std::move(originated));
}

auto decodeFetch(const wire::FetchState &source) -> Result<PeerPayload>
{
    if (source.kind() > static_cast<std::uint32_t>(StateKind::Assignment))
        return invalid("fetch: unknown kind of state");
    return PeerPayload(FetchState{InstanceId(source.from()), static_cast<StateKind>(source.kind()),
                                  source.newer_than()});
}

auto decodeFetched(const wire::FetchedState &source) -> Result<PeerPayload>
{
    auto state = FetchedState();
    state.from = InstanceId(source.from());
    if (!source.configuration_json().empty()) {
        auto parsed = parseConfiguration(source.configuration_json(), "peer's configuration");
        if (isError(parsed))
            return std::get<Error>(std::move(parsed));
        auto &configuration = std::get<Configuration>(parsed);
        configuration.revision = Revision(source.revision());
        state.configuration = std::make_shared<const Configuration>(std::move(configuration));
    }
    if (!source.assignment_json().empty()) {
        auto parsed = parseAssignment(source.assignment_json(), "peer's assignment");
        if (isError(parsed))
            return std::get<Error>(std::move(parsed));
        auto &assignment = std::get<Assignment>(parsed);
        assignment.epoch = Epoch(source.epoch());
        state.assignment = std::make_shared<const Assignment>(std::move(assignment));
    }
    return PeerPayload(std::move(state));
}

} // namespace

auto encode(const PeerPayload &payload, TimePoint now, wire::PeerMessage &message) -> void
{
    std::visit([&](const auto &body) { encodeBody(body, now, message); }, payload);
}

auto decode(const wire::PeerMessage &message, TimePoint now) -> Result<PeerPayload>
{
    switch (message.body_case()) {
    case wire::PeerMessage::kLeafRequest:
        return decodeRequest(message.leaf_request(), now);
    case wire::PeerMessage::kLeafReply:
        return decodeReply(message.leaf_reply());
    case wire::PeerMessage::kCancel:
        return PeerPayload(CancelLeafRequest{InstanceId(message.cancel().origin()),
                                             AttemptId(message.cancel().attempt())});
    case wire::PeerMessage::kHeartbeat:
        return PeerPayload(decodeHeartbeat(message.heartbeat()));
    case wire::PeerMessage::kHeartbeatReply:
        return PeerPayload(
                HeartbeatReply{decodeHeartbeat(message.heartbeat_reply().state()),
                               TimePoint(Duration(message.heartbeat_reply().echo_us()))});
    case wire::PeerMessage::kFetch:
        return decodeFetch(message.fetch());
    case wire::PeerMessage::kFetched:
        return decodeFetched(message.fetched());
    case wire::PeerMessage::BODY_NOT_SET:
        break;
    }
    return invalid("message without a body");
}

} // namespace crocusreach
