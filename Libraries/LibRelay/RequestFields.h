#pragma once

#include <LibConfiguration/Model.h>
#include <LibCore/Random.h>
#include <LibQuarantine/Fingerprint.h>
#include <LibRelay/Exchange.h>

#include <optional>
#include <string>

/// What a request's head says to an instance.
namespace Briarbend::Relay
{

/// The caller's request id where it gave a usable one, else a new one.
std::string requestIdOf(const Http::request_header<> &head, Core::Random &random);

/// The request's Idempotency-Key; nothing where it has none, several, or one that is not allowed.
std::optional<std::string> idempotencyKeyOf(const Http::request_header<> &head);

/// The earlier of the route's deadline and the one that the caller gave in X-Request-Deadline-Ms.
Core::TimePoint deadlineOf(const Http::request_header<> &head, const Configuration::Route &route, Core::TimePoint arrivedAt);

/// Fingerprint that identifies the request in the quarantine. The length is the one that the caller gave, zero if it gave none.
Quarantine::Fingerprint fingerprintOf(const ForwardedRequest &request, std::uint64_t bodyLength);

} // namespace Briarbend::Relay
