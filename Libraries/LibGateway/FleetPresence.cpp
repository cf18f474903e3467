#include <LibGateway/FleetPresence.h>

#include <LibMembership/Majority.h>
#include <LibMembership/Membership.h>

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

namespace
{

/// Instances of the majority that show it to the others. The second one suffices where the store refuses the first.
constexpr std::size_t WRITERS_OF_MAJORITY = 2;
/// Time until a write is repeated after another instance was first.
constexpr std::chrono::milliseconds CONFLICT_PAUSE{100};

} // namespace

FleetPresence::FleetPresence(GatewayState &gatewayState,
                             const Core::TimerService &timerService,
                             RecordStore &recordStore,
                             const Coordination::PeerLink &peerLink)
    : state(gatewayState)
    , timers(timerService)
    , records(recordStore)
    , peers(peerLink)
{
}

void FleetPresence::advance(std::optional<std::size_t> rank, Core::TimePoint now)
{
    const auto &members = this->peers.state().members;
    const bool isWriter = rank && (*rank < WRITERS_OF_MAJORITY || !Membership::isAmongMajority(members));
    if (!isWriter || this->isRenewing || now < this->nextRenewal || Membership::missingMembers(members).empty()) {
        return;
    }
    this->isRenewing = true;
    this->nextRenewal = now + Membership::PRESENCE_INTERVAL;
    spawn(this->state, "presence", this->renew());
}

bool FleetPresence::mayDecideForAll(Core::TimePoint now) const
{
    return Membership::mayDecideForAll(this->presence, this->peers.state().members, now);
}

std::size_t FleetPresence::countShownElsewhere(Core::TimePoint now) const
{
    return Membership::countShownElsewhere(this->presence, this->peers.state().members, now);
}

void FleetPresence::applyShown(const SharedRecord &record)
{
    this->isRevisionKnown = true;
    this->revision = record.revision;
    const auto &members = this->peers.state().members;
    Membership::applyTable(
        this->presence, Membership::decodePresence(record.content), members.members.at(members.self).update.address, this->timers.now());
}

boost::asio::awaitable<void> FleetPresence::renew()
{
    // A call that throws must not end the renewals for good.
    const std::shared_ptr<void> end(nullptr, [this](void *) {
        this->isRenewing = false;
    });
    if (!this->isRevisionKnown) {
        const auto read = co_await this->records.readRecord(RecordName::FleetPresence, Freshness::Linearizable);
        if (const auto *shared = std::get_if<SharedRecord>(&read)) {
            this->applyShown(*shared);
        }
        this->isRevisionKnown = !std::holds_alternative<StoreFailure>(read);
        if (!this->isRevisionKnown) {
            co_return;
        }
    }
    const auto &members = this->peers.state().members;
    const auto began = this->timers.now();
    const auto table = Membership::renewedTable(this->presence, members, began);
    const auto result = co_await this->records.writeRecord(RecordName::FleetPresence, this->revision, Membership::encodePresence(table));
    if (const auto *written = std::get_if<Written>(&result)) {
        // No other instance has written since the entries were read.
        this->revision = written->revision;
        Membership::applyTable(this->presence, table, members.members.at(members.self).update.address, began);
        co_return;
    }
    const auto *conflict = std::get_if<RecordConflict>(&result);
    this->isRevisionKnown = false;
    this->revision.reset();
    if (conflict != nullptr && conflict->current) {
        this->applyShown(*conflict->current);
    }
    if (conflict != nullptr) {
        this->nextRenewal = this->timers.now() + CONFLICT_PAUSE;
    }
}

} // namespace Briarbend::Gateway
