#pragma once

#include "core/forwardmessages.h"
#include "core/storereader.h"
#include "httplinks.h"
#include "httpmessage.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The encoding of the front's messages on one platform. The front's tasks use nothing else of it.

namespace crocusreach {

// A response to a caller.
struct CallerResponse
{
    std::uint32_t status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
};

// A request to the platform's store.
struct StoreHttpRequest
{
    std::string head;
    std::string body;
};

struct FrontCodec
{
    // A request that can't be forwarded gives the response that says why.
    // With tenants, its headers contain no key.
    std::function<auto(HttpMessage &&, bool hasTenants)
                          ->std::variant<forward::ForwardRequest, CallerResponse>>
            readRequest;
    std::function<auto(forward::CallAnswer &&)->CallerResponse> writeAnswer;
    std::function<auto(const forward::SendToLeaf &)->LinkSend> writeLeafRequest;
    std::function<auto(HttpMessage &&)->forward::LeafAnswer> readLeafAnswer;
    // Whether a leaf's response belongs to the request with this id.
    std::function<auto(const HttpMessage &, std::string_view)->bool> belongs;
    std::function<auto(const forward::StoreRequest &)->StoreHttpRequest> writeStoreRequest;
    std::function<
            auto(const forward::StoreRequest &, const HttpMessage &)->forward::StoreReplyContent>
            readStoreReply;
    // Calls of other instances to this one, which are encoded like those to the store.
    std::function<auto(const HttpMessage &)->std::optional<forward::StoreRequest>> readObjectCall;
    std::function<auto(std::span<const forward::StoredObject *const>, std::uint64_t)->std::string>
            writeObjectList;
    std::function<auto(std::span<const forward::StoredObject *const>, std::uint64_t)->std::string>
            writeObjectChanges;
    std::string eraHeader; // states the store's era in its answers and in those of relays
    std::string readyTarget; // path at which the balancer asks
};

} // namespace crocusreach
