#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/system/error_code.hpp>
#include <optional>
#include <string>
#include <string_view>

/// The rules of RFC 9110 and RFC 9112 that an intermediary applies to the fields it forwards.
namespace Briarbend::Relay
{

namespace Http = boost::beast::http;

/// Name of the field that ties the log lines of caller, instance and target together.
inline constexpr std::string_view REQUEST_ID_FIELD = "X-Request-Id";
/// Name of the field that tells a target how long the caller still waits, in milliseconds.
inline constexpr std::string_view DEADLINE_FIELD = "X-Request-Deadline-Ms";
/// Name of the field that carries the target's load report (ORCA).
inline constexpr std::string_view LOAD_REPORT_FIELD = "endpoint-load-metrics";

/// Removes the fields that concern one connection only (RFC 9110, section 7.6.1), the ones that Connection names among them. The framing
/// fields stay, since the serializer needs them.
void removeHopByHopFields(Http::fields &fields);

/// Why the head of a request must not be forwarded; nothing where it may.
std::optional<std::string> findHeadProblem(const Http::request_header<> &head);

/// True where the peer's bytes break the protocol, as against a connection that ended.
bool isProtocolError(const boost::system::error_code &error);

/// True where the request must be answered with 100 (Continue) before its body comes (RFC 9110, section 10.1.1).
bool expectsContinue(const Http::request_header<> &head);

} // namespace Briarbend::Relay
