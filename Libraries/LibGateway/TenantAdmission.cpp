#include <LibGateway/TenantAdmission.h>

namespace Briarbend::Gateway
{

namespace
{

using Rejection::Reason;

std::string_view nameOf(Tenants::Verdict verdict)
{
    return verdict == Tenants::Verdict::MissingKey ? "missing" : "unknown";
}

} // namespace

std::optional<Reason> authenticate(RequestContext &context, const std::string &key)
{
    const auto &table = context.configuration->tenants;
    if (!table) {
        return std::nullopt;
    }
    auto &state = context.state;
    state.dialect.removeCredentials(context.head);
    const auto authentication = Tenants::authenticate(*table, context.route->isPublic, key);
    if (authentication.verdict == Tenants::Verdict::Public) {
        return std::nullopt;
    }
    if (authentication.tenant == nullptr) {
        ++state.counters.unauthenticated;
        context.recordDecision("unauthenticated", {{"key", nameOf(authentication.verdict)}});
        return Reason::Unauthenticated;
    }
    context.tenant = authentication.tenant->name;
    context.tenantKey = key;
    context.priority = authentication.tenant->priority.value_or(context.priority);
    state.dialect.setTenant(context.head, context.tenant);
    return std::nullopt;
}

bool isWithinShare(RequestContext &context)
{
    if (context.tenant.empty()) {
        return true;
    }
    auto &state = context.state;
    if (Fleet::isCutOff(state.connectivity) && state.findPeer) {
        // The peer that takes the request counts it and applies the share.
        return true;
    }
    const auto &service = context.service->name;
    Tenants::countDemand(state.tenantShares, service, context.tenant);
    const auto fraction = Tenants::admittedFraction(state.tenantShares, service, context.tenant, Core::Clock::now());
    if (fraction >= 1 || state.random.unit() < fraction) {
        return true;
    }
    ++state.counters.overShare;
    context.recordDecision("over_share", {{"service", service.value}, {"fraction", fraction}});
    return false;
}

void recordTenantResult(RequestContext &context, const FlowResult &result)
{
    if (context.tenant.empty() || result.isCallerGone || !context.triedPeers.empty()) {
        return;
    }
    auto &shares = context.state.tenantShares;
    const auto &service = context.service->name;
    if (!result.refusal) {
        Tenants::countServed(shares, service);
    } else if (*result.refusal == Reason::Overloaded || *result.refusal == Reason::RefusedByTarget) {
        Tenants::countRefused(shares, service, Core::Clock::now());
    }
}

} // namespace Briarbend::Gateway
