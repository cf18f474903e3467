#pragma once

#include <LibGateway/RequestContext.h>

#include <optional>
#include <string>

/// What the gateway does for tenants on the path of a request, where the configuration has them.
namespace Briarbend::Gateway
{

/// Determines the tenant and the priority. Returns the reason for a refusal if the request has no valid key. A request that an instance
/// forwarded is checked like any other, since callers can send that field too.
std::optional<Rejection::Reason> authenticate(RequestContext &context, const std::string &key);

} // namespace Briarbend::Gateway
