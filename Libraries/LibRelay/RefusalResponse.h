#pragma once

#include <LibNetwork/Http.h>
#include <LibRejection/Refusal.h>

namespace Briarbend::Relay
{

/// Builds the HTTP response for a refusal, with the request's id.
Network::Response makeRefusalResponse(const Rejection::Refusal &refusal, const std::string &instanceName, const std::string &requestId);

} // namespace Briarbend::Relay
