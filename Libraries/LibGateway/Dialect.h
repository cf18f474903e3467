#pragma once

#include <LibFleet/ServiceState.h>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Briarbend::Gateway
{

namespace Http = boost::beast::http;

/// What a caller states about one attempt.
struct RequestMetadata {
    /// Identifies the attempt; empty where the caller sent none.
    std::string attemptId;
    /// How long the caller waits.
    std::optional<std::chrono::milliseconds> remaining;
};

/// What a target states with an answer.
struct ResponseMetadata {
    /// The attempt that the answer belongs to; empty where the target sent none.
    std::string attemptId;
    /// The target's own mark that the answer is its work.
    bool hasResponseStamp{false};
    /// The target did not run the request and will not.
    bool isNotRun{false};
    /// Another target has the address.
    bool isMisdirected{false};
    std::optional<Fleet::LoadReport> load;
    std::optional<std::chrono::milliseconds> coldLeft;
    /// The target takes no new requests and ends soon.
    bool isLeaving{false};
    /// The target turned the request away and wants nothing from this instance for so long.
    std::optional<std::chrono::milliseconds> quietFor;
    /// The name under which the target registered, on its health path.
    std::string targetName;
};

/// How callers and targets word what the protocol of HTTP leaves open.
struct Dialect {
    RequestMetadata (*readRequestMetadata)(const Http::fields &head);
    ResponseMetadata (*readResponseMetadata)(const Http::response_header<> &head);
    /// Sets what only a target reads: the time left for it and the name that it must have.
    void (*setTargetFields)(Http::fields &head, std::chrono::milliseconds remaining, std::string_view targetName);
    /// Removes from an answer what only instances read.
    void (*removeInternalFields)(Http::fields &head);
    /// Names an answer of this instance with the attempt that it belongs to.
    void (*setAttemptId)(Http::fields &head, std::string_view attemptId);
    /// Tells the caller when to come back.
    void (*setRetryAfter)(Http::fields &head, std::chrono::milliseconds delay);
};

} // namespace Briarbend::Gateway
