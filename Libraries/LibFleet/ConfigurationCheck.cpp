#include <LibFleet/ConfigurationCheck.h>
#include <LibFleet/ConfigurationDifference.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <set>

namespace Briarbend::Fleet
{

namespace
{

using enum ConfigurationField;
using std::chrono::milliseconds;

/// A send of an at-most-once request after the first one needs a target's word that the request has not run. More than two such refusals in
/// a row show a full service, which further sends only load.
constexpr std::uint32_t MAXIMUM_ONCE_SENDS = 3;
/// A response that takes this many times the objective is worth little, while its request occupies a slot.
constexpr int MAXIMUM_TIMEOUT_OBJECTIVES = 10;
/// A negative number in a document is read as one above this.
constexpr std::uint64_t MAXIMUM_NUMBER = std::numeric_limits<std::int32_t>::max();

/// Collects the findings on one entry.
class EntryFindings
{
public:
    EntryFindings(std::vector<ConfigurationFinding> &allFindings, EntryKind kind, std::string name)
        : findings(allFindings)
        , entry{.kind = kind, .name = std::move(name)}
    {
    }

    void errorIf(bool isWrong, ConfigurationField field, const std::string &text)
    {
        this->add(isWrong, Severity::Error, field, text);
    }

    void warnIf(bool isDoubtful, ConfigurationField field, const std::string &text)
    {
        this->add(isDoubtful, Severity::Warning, field, text);
    }

    void checkNumber(std::uint64_t number, ConfigurationField field, std::uint64_t minimum)
    {
        this->errorIf(number > MAXIMUM_NUMBER, field, "is negative or above " + std::to_string(MAXIMUM_NUMBER));
        this->errorIf(number < minimum, field, "is zero");
    }

    void checkPositive(milliseconds duration, ConfigurationField field)
    {
        this->errorIf(duration <= milliseconds{0}, field, secondsText(duration) + " is no positive duration");
    }

private:
    void add(bool isFound, Severity severity, ConfigurationField field, const std::string &text)
    {
        if (isFound) {
            this->findings.push_back({.severity = severity, .entry = this->entry, .field = field, .text = text});
        }
    }

    std::vector<ConfigurationFinding> &findings;
    ConfigurationEntry entry;
};

/// A port in a request's host is ignored when routes are compared with it; colons in brackets belong to an address.
bool hasPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    return colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
}

void checkMatch(const RouteConfiguration &route, const std::vector<RouteConfiguration> &routes, EntryFindings &findings)
{
    findings.warnIf(route.host.empty(), Host, "is empty, so that no request matches");
    findings.warnIf(hasPort(route.host), Host, "has a port, so that no request matches");
    findings.warnIf(
        !route.pathPrefix.empty() && !route.pathPrefix.starts_with('/'), PathPrefix, "does not begin with /, so that no request matches");
    findings.warnIf(route.pathPrefix.find('?') != std::string::npos, PathPrefix, "has a query, so that no request matches");
    // Of routes with the same host and prefix, the first one gets all requests.
    const auto first = std::ranges::find_if(routes, [&route](const RouteConfiguration &other) {
        return other.host == route.host && other.pathPrefix == route.pathPrefix;
    });
    const bool isCovered = first != routes.end() && first->name != route.name;
    findings.warnIf(isCovered, None, isCovered ? "never matches: route " + first->name + " has the same host and path prefix" : "");
}

void checkServices(const RouteConfiguration &route, const RoutingConfiguration &configuration, EntryFindings &findings)
{
    const auto sum = std::accumulate(route.services.begin(), route.services.end(), 0.0, [](double total, const WeightedService &part) {
        return total + part.weight;
    });
    findings.errorIf(route.services.empty(), Services, "names no service");
    findings.errorIf(!route.services.empty() && !(sum > 0 && std::isfinite(sum)), Services, "the sum of the weights is not positive");
    for (const auto &part : route.services) {
        const auto &name = part.service.value;
        findings.errorIf(!configuration.services.contains(part.service), Services, "there is no service " + name);
        findings.errorIf(part.weight < 0, Services, "the weight of " + name + " is negative");
        findings.warnIf(part.weight == 0, Services, "the weight of " + name + " is zero, so that it gets no request of this route");
    }
}

void checkRoute(const RouteConfiguration &route, const RoutingConfiguration &configuration, std::vector<ConfigurationFinding> &all)
{
    EntryFindings findings(all, EntryKind::Route, route.name);
    checkMatch(route, configuration.routes, findings);
    checkServices(route, configuration, findings);
    findings.errorIf(route.timeout < milliseconds{0}, Timeout, secondsText(route.timeout) + " is negative");
    findings.checkPositive(route.objective, Objective);
    findings.checkNumber(route.maximumSends, MaximumSends, 1);
    findings.checkNumber(route.priority, Priority, 0);
    const auto comparison = secondsText(route.timeout) + " against an objective of " + secondsText(route.objective);
    const bool hasBoth = route.timeout > milliseconds{0} && route.objective > milliseconds{0};
    findings.warnIf(hasBoth && route.timeout < route.objective, Timeout, "is below the objective: " + comparison);
    findings.warnIf(hasBoth && route.timeout > MAXIMUM_TIMEOUT_OBJECTIVES * route.objective,
                    Timeout,
                    "is above " + std::to_string(MAXIMUM_TIMEOUT_OBJECTIVES) + " times the objective: " + comparison);
    const bool isOnce = route.kind == Configuration::RouteKind::Once;
    findings.warnIf(isOnce && route.maximumSends > MAXIMUM_ONCE_SENDS && route.maximumSends <= MAXIMUM_NUMBER,
                    MaximumSends,
                    std::to_string(route.maximumSends) + " sends of a request that runs at most once; more than "
                        + std::to_string(MAXIMUM_ONCE_SENDS) + " hardly ever help");
}

void checkService(const Core::ServiceName &name,
                  const ServiceConfiguration &service,
                  const std::vector<RouteConfiguration> &routes,
                  std::vector<ConfigurationFinding> &all)
{
    EntryFindings findings(all, EntryKind::Service, name.value);
    const bool isUsed = std::ranges::any_of(routes, [&name](const RouteConfiguration &route) {
        return std::ranges::find(route.services, name, &WeightedService::service) != route.services.end();
    });
    findings.warnIf(!isUsed, None, "no route names it");
    findings.errorIf(!service.healthPath.starts_with('/'), HealthPath, "does not begin with /");
    findings.checkNumber(service.connectionsPerTarget, ConnectionsPerTarget, 1);
    const auto rate = service.coldRequestsPerSecond;
    findings.errorIf(!(rate >= 0 && std::isfinite(rate)), ColdRequestsPerSecond, "is negative");
    findings.warnIf(rate == 0, ColdRequestsPerSecond, "is zero, so that a cold target gets no request that would warm it");
}

void checkLimits(const CallerLimits &limits, std::vector<ConfigurationFinding> &all)
{
    EntryFindings findings(all, EntryKind::Limits, {});
    findings.checkNumber(limits.headerBytes, HeaderBytes, 1);
    // Bodies may be larger than the other numbers, but not than a negative number that was read as one without a sign.
    findings.errorIf(limits.bodyBytes > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()), BodyBytes, "is negative");
    findings.warnIf(limits.bodyBytes == 0, BodyBytes, "is zero, so that no request may have a body");
    findings.checkPositive(limits.headerTimeout, HeaderTimeout);
    findings.checkPositive(limits.idleTimeout, IdleTimeout);
    findings.warnIf(limits.headerTimeout > limits.idleTimeout,
                    HeaderTimeout,
                    secondsText(limits.headerTimeout) + " is above the idle time-out of " + secondsText(limits.idleTimeout));
}

void checkTenants(const std::vector<ConfiguredTenant> &tenants, std::vector<ConfigurationFinding> &all)
{
    std::map<std::string, std::string> ownerByKey;
    for (const auto &tenant : tenants) {
        EntryFindings findings(all, EntryKind::Tenant, tenant.name);
        findings.warnIf(tenant.keys.empty(), ApiKeys, "there is no key, so that no request is this tenant's");
        findings.checkNumber(tenant.priority.value_or(0), Priority, 0);
        std::set<std::string> owners;
        for (const auto &key : tenant.keys) {
            findings.errorIf(key.empty(), ApiKeys, "a key is empty");
            const auto [owner, isNew] = ownerByKey.try_emplace(key, tenant.name);
            if (!isNew && !key.empty() && owners.insert(owner->second).second) {
                const bool isOwn = owner->second == tenant.name;
                findings.warnIf(isOwn, ApiKeys, "a key is listed twice");
                findings.errorIf(!isOwn, ApiKeys, "a key is also one of tenant " + owner->second);
            }
        }
    }
}

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const ConfigurationDocument &document)
{
    const auto &configuration = document.configuration;
    std::vector<ConfigurationFinding> findings;
    for (const auto &route : configuration.routes) {
        checkRoute(route, configuration, findings);
    }
    for (const auto &[name, service] : configuration.services) {
        checkService(name, service, configuration.routes, findings);
    }
    checkLimits(configuration.limits, findings);
    if (document.tenants) {
        checkTenants(*document.tenants, findings);
    }
    return findings;
}

std::vector<ConfigurationFinding> checkSuccession(const ConfigurationDocument &inForce, const ConfigurationDocument &document)
{
    const auto before = inForce.configuration.version;
    const auto after = document.configuration.version;
    std::vector<ConfigurationFinding> findings;
    EntryFindings onDocument(findings, EntryKind::Document, {});
    onDocument.errorIf(
        after < before, Version, std::to_string(after) + " is below " + std::to_string(before) + " in force, so that no instance takes it");
    onDocument.errorIf(after == before && !findDifferences(inForce, document).empty(),
                       Version,
                       std::to_string(after) + " is in force with other content, so that no instance takes it");
    return findings;
}

} // namespace Briarbend::Fleet
