#pragma once

#include <LibTenants/FairShare.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Briarbend::Gateway
{

/// The fractions of the services that are short of capacity, sent by a collector to all instances.
struct TenantShareAnswer {
    std::vector<Tenants::ServiceFractions> services;
};

using TenantShareMessage = std::variant<Tenants::DemandReport, TenantShareAnswer>;

/// CBOR (RFC 8949).
std::string encodeTenantShares(const TenantShareMessage &message);

/// Throws std::exception if the bytes are not a valid message.
TenantShareMessage decodeTenantShares(std::string_view bytes);

} // namespace Briarbend::Gateway
