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

/// Metadata that a caller sends with one attempt.
struct RequestMetadata {
    /// Identifies the attempt; empty if the caller sent none.
    std::string attemptId;
    /// How long the caller waits.
    std::optional<std::chrono::milliseconds> remaining;
    /// The key of a tenant; empty if the caller stated none, or not exactly one. It must not reach a log, a target or a metric.
    std::string tenantKey;
};

/// Metadata that a target sends with a response.
struct ResponseMetadata {
    /// The attempt that the response belongs to; empty if the target sent none.
    std::string attemptId;
    /// The response carries the stamp with which the target marks the result of its work.
    bool hasResponseStamp{false};
    /// The target did not run the request and will not.
    bool isNotRun{false};
    /// Another target now has the address.
    bool isMisdirected{false};
    std::optional<Fleet::LoadReport> load;
    std::optional<std::chrono::milliseconds> coldLeft;
    /// The target accepts no new requests and terminates soon.
    bool isLeaving{false};
    /// The target rejected the request and asks this instance to send nothing for this time.
    std::optional<std::chrono::milliseconds> quietFor;
    /// The response states a rate, even if it is not a readable one.
    bool statesRate{false};
    /// Requests per second that the target takes from all instances together; nothing unless a readable rate is stated.
    std::optional<double> requestsPerSecond;
    /// The name under which the target registered; sent on its health path.
    std::string targetName;
};

/// Reads and writes the metadata fields that callers and targets of a platform use beyond the HTTP standard.
struct Dialect {
    RequestMetadata (*readRequestMetadata)(const Http::fields &head);
    ResponseMetadata (*readResponseMetadata)(const Http::response_header<> &head);
    /// Sets the fields that only a target reads: the remaining time and the name that the target must have.
    void (*setTargetFields)(Http::fields &head, std::chrono::milliseconds remaining, std::string_view targetName);
    /// Removes the key that a peer has added to a request.
    void (*removeForwardedKey)(Http::fields &head);
    /// Adds the key of a tenant to a request that is forwarded to a peer, which checks it too.
    void (*setForwardedKey)(Http::fields &head, std::string_view key);
    /// Removes the caller's key and whatever tenant it claims to be.
    void (*removeCredentials)(Http::fields &head);
    /// Tells the target which tenant sent the request.
    void (*setTenant)(Http::fields &head, std::string_view tenant);
    /// Sets the time for which the caller still waits.
    void (*setRemaining)(Http::fields &head, std::chrono::milliseconds remaining);
    /// Removes the fields that only instances read from a response.
    void (*removeInternalFields)(Http::fields &head);
    /// Sets the attempt that a response of this instance belongs to.
    void (*setAttemptId)(Http::fields &head, std::string_view attemptId);
    /// Sets the time after which the caller may retry.
    void (*setRetryAfter)(Http::fields &head, std::chrono::milliseconds delay);
};

} // namespace Briarbend::Gateway
