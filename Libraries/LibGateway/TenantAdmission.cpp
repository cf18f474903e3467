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

} // namespace Briarbend::Gateway
