#include "Prober.h"

#include <LibRouting/Probing.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Briarbend::Daemon
{

namespace
{

constexpr std::chrono::milliseconds PROBE_TICK{10};
constexpr std::chrono::milliseconds PROBE_TIMEOUT{250};
/// Probes of one service that one tick may start.
constexpr std::size_t PROBES_PER_TICK = 8;

std::optional<Routing::LoadReport> reportOf(const Network::Response &response)
{
    const auto field = response[std::string(Routing::LOAD_REPORT_FIELD)];
    if (!field.empty()) {
        return Routing::parseLoadReport(std::string_view(field.data(), field.size()));
    }
    return Routing::parseLoadReport("JSON " + response.body());
}

} // namespace

Prober::Prober(boost::asio::io_context &ioContext, Core::TimerService &timers, Relay::RelayState &relayState)
    : context(ioContext)
    , relay(relayState)
{
    this->ticking = timers.every(PROBE_TICK, [this](Core::TimePoint now) {
        this->tick(now);
    });
}

std::uint64_t Prober::probesSent() const
{
    return this->sent;
}

void Prober::forget(const std::set<Core::TargetId> &present)
{
    std::erase_if(this->clients, [&present](const auto &entry) {
        return !present.contains(entry.first);
    });
}

void Prober::tick(Core::TimePoint now)
{
    for (const auto &[name, service] : this->relay.services) {
        const auto permission = [&service = *service, now](const Routing::TargetState &target) {
            const auto shares = service.shares.find(target.record.id);
            return shares != service.shares.end() && Limits::hasFreePermit(shares->second.probes, now);
        };
        for (const auto &target : Routing::chooseProbes(service->table, permission, PROBES_PER_TICK, now, this->relay.random)) {
            boost::asio::co_spawn(this->context, this->probe(service, target), boost::asio::detached);
        }
    }
}

boost::asio::awaitable<void> Prober::probe(std::shared_ptr<Relay::ServiceState> service, Core::TargetId target)
{
    const auto shares = service->shares.find(target);
    if (shares == service->shares.end() || !Limits::reservePermit(shares->second.probes, Core::Clock::now())) {
        co_return;
    }
    ++this->sent;
    Routing::recordProbeSent(service->table, target, Core::Clock::now());
    auto &slot = this->clients[target];
    if (!slot) {
        slot = std::make_shared<Network::HttpClient>(this->context.get_executor(), *Network::parseEndpoint(target.value));
    }
    // Kept alive by this coroutine, should the target leave the list meanwhile.
    const auto client = slot;
    std::optional<Routing::LoadReport> report;
    bool isConnectionLost = false;
    bool isRefused = false;
    try {
        auto request = Network::makeRequest(Network::Http::verb::get, service->service.probePath, target.value);
        report = reportOf(co_await client->exchange(std::move(request), PROBE_TIMEOUT));
    } catch (const boost::system::system_error &error) {
        isConnectionLost = error.code() != boost::beast::error::timeout;
        isRefused = error.code() == boost::asio::error::connection_refused;
    }
    const auto now = Core::Clock::now();
    const auto sharesNow = service->shares.find(target);
    if (sharesNow != service->shares.end()) {
        // The probe left at some time before now; the later time keeps the budget on the safe side.
        Limits::confirmPermit(sharesNow->second.probes, now);
    }
    if (report) {
        Routing::recordProbeAnswer(service->table, target, *report, now);
        Limits::recordReport(this->relay.coldGate, target, report->start, report->isCold);
        if (report->start && this->relay.guard != nullptr) {
            this->relay.guard->recordTargetStart(target, *report->start);
        }
        co_return;
    }
    Routing::recordProbeLost(service->table, target);
    if (isRefused && this->relay.guard != nullptr) {
        this->relay.guard->recordTargetExit(target);
    }
    if (isConnectionLost) {
        Limits::recordConnectionLost(this->relay.coldGate, target);
    }
}

} // namespace Briarbend::Daemon
