#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibGateway/TenantShareMessage.h>

#include <functional>
#include <memory>
#include <optional>

namespace Briarbend::Gateway
{

/// Exchanges the demand of tenants and their fractions of services that are short of capacity. Each instance reports to two collectors, the
/// members with the widest links; the first of them answers all instances, the second where the first is silent. Nothing is sent while the
/// configuration has no tenants or no service is short.
class TenantShareDisseminator
{
public:
    /// The shares belong to the instance, which counts requests in them and admits by them.
    TenantShareDisseminator(Core::TimerService &timers,
                            Coordination::PeerLink &peers,
                            Tenants::InstanceShares &shares,
                            std::function<bool()> hasTenants);

private:
    void receive(std::string_view bytes);
    void update(Core::TimePoint now);
    /// The collectors, the preferred one first.
    std::vector<Core::InstanceId> collectors() const;
    void report(const std::vector<Core::InstanceId> &collectors, Core::TimePoint now);
    void answer(bool isPreferred, Core::TimePoint now);

    Core::TimerService &timers;
    Coordination::PeerLink &peers;
    Tenants::InstanceShares &shares;
    std::function<bool()> hasTenants;
    Tenants::ShareCollector collector;
    /// Since when this instance, as the second collector, has had an answer while the first has sent none.
    std::optional<Core::TimePoint> unansweredSince;
    std::unique_ptr<Core::TimerSubscription> subscription;
};

} // namespace Briarbend::Gateway
