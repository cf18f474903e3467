#include <LibFleet/ConfigurationDifference.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <numeric>
#include <sstream>

namespace Briarbend::Fleet
{

namespace
{

using enum ConfigurationField;

struct FieldValue {
    ConfigurationField field;
    std::string text;
    /// What is compared: differs from the text where that is not to show the value.
    std::string identity;
};

using FieldValues = std::vector<FieldValue>;
/// The fields of the entries of one kind, by name.
using Table = std::map<std::string, FieldValues>;

FieldValue value(ConfigurationField field, const std::string &text)
{
    return {field, text, text};
}

template<typename Number>
FieldValue number(ConfigurationField field, Number amount)
{
    std::ostringstream text;
    text.precision(std::numeric_limits<double>::max_digits10 - 2);
    text << amount;
    return value(field, text.str());
}

std::string servicesText(const std::vector<WeightedService> &services)
{
    std::ostringstream text;
    for (const auto &part : services) {
        text << (text.view().empty() ? "" : ", ") << part.service.value << " " << part.weight;
    }
    return text.str();
}

FieldValues fieldsOf(const RouteConfiguration &route)
{
    return {value(Host, route.host),
            value(PathPrefix, route.pathPrefix),
            value(Kind, route.kind == Configuration::RouteKind::Once ? "runs at most once" : "may run more than once"),
            value(Timeout, secondsText(route.timeout)),
            value(Objective, secondsText(route.objective)),
            number(MaximumSends, route.maximumSends),
            number(Priority, route.priority),
            value(Services, servicesText(route.services))};
}

FieldValues fieldsOf(const ServiceConfiguration &service)
{
    return {value(HealthPath, service.healthPath),
            number(ConnectionsPerTarget, service.connectionsPerTarget),
            number(ColdRequestsPerSecond, service.coldRequestsPerSecond)};
}

FieldValues fieldsOf(const CallerLimits &limits)
{
    return {number(HeaderBytes, limits.headerBytes),
            number(BodyBytes, limits.bodyBytes),
            value(HeaderTimeout, secondsText(limits.headerTimeout)),
            value(IdleTimeout, secondsText(limits.idleTimeout))};
}

FieldValues fieldsOf(const ConfiguredTenant &tenant)
{
    auto keys = tenant.keys;
    std::ranges::sort(keys);
    // The length in front tells lists of keys apart that are the same text when they are put together.
    const auto identity = std::accumulate(keys.begin(), keys.end(), std::string{}, [](const std::string &before, const std::string &key) {
        return before + std::to_string(key.size()) + ":" + key;
    });
    return {{ApiKeys, std::to_string(keys.size()) + (keys.size() == 1 ? " key" : " keys"), identity},
            value(Priority, tenant.priority ? std::to_string(*tenant.priority) : "that of the route")};
}

Table routesOf(const ConfigurationDocument &document)
{
    Table table;
    std::ranges::transform(document.configuration.routes, std::inserter(table, table.end()), [](const RouteConfiguration &route) {
        return std::pair(route.name, fieldsOf(route));
    });
    return table;
}

Table servicesOf(const ConfigurationDocument &document)
{
    Table table;
    std::ranges::transform(document.configuration.services, std::inserter(table, table.end()), [](const auto &service) {
        return std::pair(service.first.value, fieldsOf(service.second));
    });
    return table;
}

Table tenantsOf(const ConfigurationDocument &document)
{
    Table table;
    const auto tenants = document.tenants.value_or(std::vector<ConfiguredTenant>{});
    std::ranges::transform(tenants, std::inserter(table, table.end()), [](const ConfiguredTenant &tenant) {
        return std::pair(tenant.name, fieldsOf(tenant));
    });
    return table;
}

void compareFields(const ConfigurationEntry &entry,
                   const FieldValues &before,
                   const FieldValues &after,
                   std::vector<ConfigurationDifference> &differences)
{
    for (std::size_t index = 0; index < before.size(); ++index) {
        if (before[index].identity != after[index].identity) {
            differences.push_back({.kind = ChangeKind::Changed,
                                   .entry = entry,
                                   .field = before[index].field,
                                   .before = before[index].text,
                                   .after = after[index].text});
        }
    }
}

void compareTables(EntryKind kind, const Table &before, const Table &after, std::vector<ConfigurationDifference> &differences)
{
    for (const auto &[name, fields] : before) {
        const ConfigurationEntry entry{.kind = kind, .name = name};
        if (const auto found = after.find(name); found != after.end()) {
            compareFields(entry, fields, found->second, differences);
        } else {
            differences.push_back({.kind = ChangeKind::Removed, .entry = entry, .field = None, .before = {}, .after = {}});
        }
    }
    for (const auto &[name, fields] : after) {
        if (!before.contains(name)) {
            const ConfigurationEntry entry{.kind = kind, .name = name};
            differences.push_back({.kind = ChangeKind::Added, .entry = entry, .field = None, .before = {}, .after = {}});
        }
    }
}

} // namespace

std::vector<ConfigurationDifference> findDifferences(const ConfigurationDocument &inForce, const ConfigurationDocument &document)
{
    std::vector<ConfigurationDifference> differences;
    compareTables(EntryKind::Route, routesOf(inForce), routesOf(document), differences);
    compareTables(EntryKind::Service, servicesOf(inForce), servicesOf(document), differences);
    compareFields({.kind = EntryKind::Limits, .name = {}},
                  fieldsOf(inForce.configuration.limits),
                  fieldsOf(document.configuration.limits),
                  differences);
    if (inForce.tenants.has_value() != document.tenants.has_value()) {
        // With a table of tenants, even an empty one, requests need a key.
        const auto *const absent = "any request without a key";
        const auto *const present = "requests with a tenant's key";
        differences.push_back({.kind = ChangeKind::Changed,
                               .entry = {.kind = EntryKind::Document, .name = {}},
                               .field = ApiKeys,
                               .before = inForce.tenants ? present : absent,
                               .after = document.tenants ? present : absent});
    }
    compareTables(EntryKind::Tenant, tenantsOf(inForce), tenantsOf(document), differences);
    return differences;
}

std::string secondsText(std::chrono::milliseconds duration)
{
    std::ostringstream text;
    text.precision(15);
    text << std::chrono::duration<double>(duration).count() << " s";
    return text.str();
}

} // namespace Briarbend::Fleet
