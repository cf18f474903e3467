#include <LibTenants/FairShare.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <set>
#include <utility>

namespace Briarbend::Tenants
{

namespace
{

/// Steps of the bisection for the water level; each halves its error.
constexpr int LEVEL_STEPS = 50;
/// More is admitted than was served lately, so that the estimate follows a capacity that grows. Without room for them a tenth of the
/// admitted requests are refused; with less the estimate falls where some searches find only full targets although others have room.
constexpr double CAPACITY_HEADROOM = 1.1;
/// Factor by which the estimate grows in an interval with hardly a refusal, so that limits end soon after the demand that caused them.
constexpr double HEADROOM_GROWTH = 1.5;
/// Share of refused requests from which a service becomes short. Any refusal keeps it short.
constexpr double SHORTAGE_SHARE = 0.02;
/// Weight of the last interval in the means, which a single instance's few requests would make noisy.
constexpr double LAST_INTERVAL_WEIGHT = 0.5;
/// Older reports are left out: two intervals and a late message.
constexpr std::chrono::milliseconds REPORT_LIFETIME{2500};
/// A mean demand below this, in requests per second, is forgotten.
constexpr double NEGLIGIBLE_DEMAND = 0.01;
/// A larger fraction is no limit.
constexpr double FULL_FRACTION = 0.99;

/// What the tenant gets at a water level.
double shareAt(const TenantDemand &tenant, double level, double minimumFraction)
{
    return std::max(minimumFraction * tenant.demand, std::min(tenant.demand, tenant.weight * level));
}

/// The sum over all reports on one service in requests per second.
struct ServiceSum {
    std::map<std::string, double, std::less<>> demand;
    double served{0};
    double refused{0};
    std::size_t reporters{0};
};

std::map<Core::ServiceName, ServiceSum> sumUp(const ShareCollector &collector)
{
    std::map<Core::ServiceName, ServiceSum> sums;
    for (const auto &[reporter, report] : collector.reports) {
        for (const auto &row : report.services) {
            const auto seconds = std::chrono::duration<double>(std::max(row.span, SHARE_INTERVAL / 4)).count();
            auto &sum = sums[row.service];
            ++sum.reporters;
            sum.served += row.counts.served / seconds;
            sum.refused += row.counts.refused / seconds;
            for (const auto &[tenant, count] : row.counts.byTenant) {
                sum.demand[tenant] += count / seconds;
            }
        }
    }
    return sums;
}

double totalOf(const std::map<std::string, double, std::less<>> &demand)
{
    return std::transform_reduce(demand.begin(), demand.end(), 0.0, std::plus{}, [](const auto &entry) {
        return entry.second;
    });
}

double averaged(double mean, double last, double weight)
{
    return mean + weight * (last - mean);
}

/// Moves the means towards the sums of the last interval. The first interval sets them.
void update(ShareCollector::ServiceMean &mean, const ServiceSum &sum)
{
    const auto weight = mean.demand.empty() ? 1 : LAST_INTERVAL_WEIGHT;
    const bool hasRoom = sum.refused <= SHORTAGE_SHARE * (sum.served + sum.refused);
    mean.headroom = hasRoom ? mean.headroom * HEADROOM_GROWTH : CAPACITY_HEADROOM;
    mean.served = averaged(mean.served, sum.served, weight);
    for (const auto &[tenant, demand] : sum.demand) {
        mean.demand.try_emplace(tenant, 0);
    }
    for (auto &[tenant, demand] : mean.demand) {
        const auto last = sum.demand.find(tenant);
        demand = averaged(demand, last == sum.demand.end() ? 0 : last->second, weight);
    }
    std::erase_if(mean.demand, [](const auto &entry) {
        return entry.second < NEGLIGIBLE_DEMAND;
    });
}

std::vector<TenantFraction> fractionsOf(const ShareCollector::ServiceMean &mean)
{
    std::vector<TenantDemand> tenants;
    std::ranges::transform(mean.demand, std::back_inserter(tenants), [](const auto &entry) {
        return TenantDemand{.tenant = entry.first, .demand = entry.second, .weight = 1};
    });
    return divideFairly(tenants, mean.served * mean.headroom);
}

} // namespace

std::vector<TenantFraction> divideFairly(const std::vector<TenantDemand> &tenants, double capacity)
{
    const auto total = std::transform_reduce(tenants.begin(), tenants.end(), 0.0, std::plus{}, [](const TenantDemand &tenant) {
        return tenant.demand;
    });
    if (total <= capacity || capacity <= 0) {
        return {};
    }
    const auto minimumFraction = MINIMUM_SERVED_PART * capacity / total;
    const auto usedAt = [&](double level) {
        return std::transform_reduce(tenants.begin(), tenants.end(), 0.0, std::plus{}, [&](const TenantDemand &tenant) {
            return shareAt(tenant, level, minimumFraction);
        });
    };
    double low = 0;
    double high = 0;
    for (const auto &tenant : tenants) {
        high = std::max(high, tenant.demand / tenant.weight);
    }
    for (int step = 0; step < LEVEL_STEPS; ++step) {
        const auto middle = (low + high) / 2;
        (usedAt(middle) > capacity ? high : low) = middle;
    }
    std::vector<TenantFraction> limited;
    for (const auto &tenant : tenants) {
        const auto fraction = tenant.demand > 0 ? shareAt(tenant, low, minimumFraction) / tenant.demand : 1;
        if (fraction < FULL_FRACTION) {
            limited.push_back({.tenant = tenant.tenant, .fraction = fraction});
        }
    }
    return limited;
}

void countDemand(InstanceShares &shares, const Core::ServiceName &service, std::string_view tenant)
{
    auto &byTenant = shares.counts[service].byTenant;
    const auto found = byTenant.find(tenant);
    ++(found == byTenant.end() ? byTenant.emplace(tenant, 0).first : found)->second;
}

void countServed(InstanceShares &shares, const Core::ServiceName &service)
{
    ++shares.counts[service].served;
}

void countRefused(InstanceShares &shares, const Core::ServiceName &service, Core::TimePoint now)
{
    ++shares.counts[service].refused;
    shares.shortUntil[service] = now + SHORTAGE_HOLD_TIME;
}

std::vector<ServiceDemand> takeDemand(InstanceShares &shares, Core::TimePoint now)
{
    std::erase_if(shares.shortUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
    std::erase_if(shares.fractions, [now](const auto &entry) {
        return entry.second.expiresAt <= now;
    });
    std::set<Core::ServiceName> shortServices;
    for (const auto &[service, until] : shares.shortUntil) {
        shortServices.insert(service);
    }
    for (const auto &[service, fractions] : shares.fractions) {
        shortServices.insert(service);
    }
    auto counts = std::exchange(shares.counts, {});
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(now - std::exchange(shares.countedSince, now));
    std::vector<ServiceDemand> demand;
    std::ranges::transform(shortServices, std::back_inserter(demand), [&](const Core::ServiceName &service) {
        return ServiceDemand{.service = service, .span = span, .counts = std::move(counts[service])};
    });
    return demand;
}

void applyFractions(InstanceShares &shares, const std::vector<ServiceFractions> &answer, Core::TimePoint now)
{
    for (const auto &[service, limited] : answer) {
        InstanceShares::Fractions fractions{.byTenant = {}, .expiresAt = now + FRACTION_LIFETIME};
        for (const auto &[tenant, fraction] : limited) {
            fractions.byTenant[tenant] = fraction;
        }
        shares.fractions[service] = std::move(fractions);
    }
}

double admittedFraction(const InstanceShares &shares, const Core::ServiceName &service, std::string_view tenant, Core::TimePoint now)
{
    const auto fractions = shares.fractions.find(service);
    if (fractions == shares.fractions.end() || fractions->second.expiresAt <= now) {
        return 1;
    }
    const auto found = fractions->second.byTenant.find(tenant);
    return found == fractions->second.byTenant.end() ? 1 : found->second;
}

void addReport(ShareCollector &collector, const DemandReport &report, Core::TimePoint now)
{
    collector.reports.insert_or_assign(report.reporter, ShareCollector::Report{.services = report.services, .receivedAt = now});
}

std::vector<ServiceFractions> computeFractions(ShareCollector &collector, std::size_t instances, Core::TimePoint now)
{
    std::erase_if(collector.reports, [now](const auto &entry) {
        return now - entry.second.receivedAt > REPORT_LIFETIME;
    });
    std::vector<ServiceFractions> answer;
    for (const auto &[service, sum] : sumUp(collector)) {
        const auto known = collector.services.find(service);
        const bool wasShort = known != collector.services.end() && known->second.shortUntil > now;
        const bool isShort = sum.refused > (wasShort ? 0 : SHORTAGE_SHARE * totalOf(sum.demand));
        if (!wasShort && !isShort) {
            collector.services.erase(service);
            continue;
        }
        auto &mean = collector.services[service];
        mean.shortUntil = isShort ? now + SHORTAGE_HOLD_TIME : mean.shortUntil;
        ServiceFractions fractions{.service = service, .limited = {}};
        if (2 * sum.reporters >= instances) {
            update(mean, sum);
            fractions.limited = fractionsOf(mean);
        }
        answer.push_back(std::move(fractions));
    }
    std::erase_if(collector.services, [now](const auto &entry) {
        return entry.second.shortUntil <= now;
    });
    return answer;
}

} // namespace Briarbend::Tenants
