#include <LibGateway/TenantShareDisseminator.h>

#include <algorithm>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;

constexpr std::size_t COLLECTORS = 2;
/// Time without an answer of the first collector after which the second answers: before the last answer expires at the instances.
constexpr std::chrono::milliseconds STANDBY_DELAY{2000};

} // namespace

TenantShareDisseminator::TenantShareDisseminator(Core::TimerService &timerService,
                                                 Coordination::PeerLink &peerLink,
                                                 Tenants::InstanceShares &instanceShares,
                                                 std::function<bool()> hasTenantsFunction)
    : timers(timerService)
    , peers(peerLink)
    , shares(instanceShares)
    , hasTenants(std::move(hasTenantsFunction))
{
    this->shares.countedSince = this->timers.now();
    this->peers.onMessage(Channel::TenantShares, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->subscription = this->timers.every(Tenants::SHARE_INTERVAL, [this](Core::TimePoint now) {
        this->update(now);
    });
}

void TenantShareDisseminator::receive(std::string_view bytes)
{
    const auto message = decodeTenantShares(bytes);
    if (const auto *report = std::get_if<Tenants::DemandReport>(&message)) {
        Tenants::addReport(this->collector, *report, this->timers.now());
        return;
    }
    this->unansweredSince.reset();
    Tenants::applyFractions(this->shares, std::get<TenantShareAnswer>(message).services, this->timers.now());
}

void TenantShareDisseminator::update(Core::TimePoint now)
{
    if (!this->hasTenants()) {
        this->shares = {.counts = {}, .countedSince = now, .shortUntil = {}, .fractions = {}};
        this->collector = {};
        return;
    }
    const auto chosen = this->collectors();
    this->report(chosen, now);
    if (std::ranges::find(chosen, this->peers.state().members.self) != chosen.end()) {
        this->answer(chosen.front() == this->peers.state().members.self, now);
    }
}

std::vector<Core::InstanceId> TenantShareDisseminator::collectors() const
{
    const auto &members = this->peers.state().members;
    auto chosen = Membership::widestFirst(members, Membership::aliveMembers(members), "tenant_shares");
    chosen.resize(std::min(chosen.size(), COLLECTORS));
    return chosen;
}

void TenantShareDisseminator::report(const std::vector<Core::InstanceId> &chosen, Core::TimePoint now)
{
    const auto &members = this->peers.state().members;
    const Tenants::DemandReport report{.reporter = members.members.at(members.self).update.address.value,
                                       .services = Tenants::takeDemand(this->shares, now)};
    if (report.services.empty()) {
        return;
    }
    this->peers.sendTo(Channel::TenantShares, chosen, encodeTenantShares(report));
    if (std::ranges::find(chosen, members.self) != chosen.end()) {
        Tenants::addReport(this->collector, report, now);
    }
}

void TenantShareDisseminator::answer(bool isPreferred, Core::TimePoint now)
{
    const auto instances = Membership::countAlive(this->peers.state().members);
    const TenantShareAnswer answer{.services = Tenants::computeFractions(this->collector, instances, now)};
    if (answer.services.empty()) {
        this->unansweredSince.reset();
        return;
    }
    this->unansweredSince = this->unansweredSince.value_or(now);
    if (isPreferred || now - *this->unansweredSince >= STANDBY_DELAY) {
        this->peers.sendToAll(Channel::TenantShares, encodeTenantShares(answer));
        Tenants::applyFractions(this->shares, answer.services, now);
    }
}

} // namespace Briarbend::Gateway
