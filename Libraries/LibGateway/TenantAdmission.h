#pragma once

#include <LibGateway/RequestFlow.h>

#include <optional>
#include <string>

/// What the gateway does for tenants on the path of a request, where the configuration has them.
namespace Briarbend::Gateway
{

/// Determines the tenant and the priority. Returns the reason for a refusal if the request has no valid key. A request that an instance
/// forwarded is checked like any other, since callers can send that field too.
std::optional<Rejection::Reason> authenticate(RequestContext &context, const std::string &key);

/// Whether the tenant's fraction of the service lets the request in. Requests without a tenant are always let in.
bool isWithinShare(RequestContext &context);

/// Counts for the tenants' shares whether the service had room for the request.
void recordTenantResult(RequestContext &context, const FlowResult &result);

} // namespace Briarbend::Gateway
