#pragma once

#include <LibFleet/RoutingConfiguration.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Checks of a whole configuration before it is submitted. Field names of a document belong to the program that reads it.
namespace Briarbend::Fleet
{

struct ConfiguredTenant {
    std::string name;
    /// Secret: findings and differences never show them.
    std::vector<std::string> keys;
    /// Replaces the priority of the route.
    std::optional<std::uint32_t> priority;
};

/// A configuration and the entries that only its document has.
struct ConfigurationDocument {
    RoutingConfiguration configuration;
    /// Nothing where the document has no table of tenants, which then need no key.
    std::optional<std::vector<ConfiguredTenant>> tenants;
};

enum class EntryKind {
    Document,
    Route,
    Service,
    Limits,
    Tenant,
};

struct ConfigurationEntry {
    EntryKind kind{EntryKind::Document};
    /// Empty for the document and its limits, of which there is one each.
    std::string name;

    bool operator==(const ConfigurationEntry &) const = default;
};

enum class ConfigurationField {
    /// The whole entry.
    None,
    Version,
    Host,
    PathPrefix,
    Kind,
    Timeout,
    Objective,
    MaximumSends,
    Priority,
    Services,
    HealthPath,
    ConnectionsPerTarget,
    ColdRequestsPerSecond,
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
    ApiKeys,
};

} // namespace Briarbend::Fleet
