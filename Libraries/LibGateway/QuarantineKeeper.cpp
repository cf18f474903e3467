#include <LibGateway/QuarantineKeeper.h>

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

namespace
{

using Log::Importance;
using Quarantine::RecordDifference;

constexpr std::chrono::milliseconds TICK_INTERVAL{250};
/// Instances that write the record. They are several, since the store may refuse some instances.
constexpr std::size_t KEEPERS = 3;
/// Delay of a write for each instance with a better rank.
constexpr std::chrono::milliseconds WRITE_STAGGER{1000};
/// The same for the removal of evidence that is no longer valid, which is less urgent.
constexpr std::chrono::milliseconds REMOVAL_DELAY{2000};
constexpr std::chrono::milliseconds REMOVAL_STAGGER{10'000};
/// Pause after a failed call, doubled with each further one.
constexpr std::chrono::milliseconds FIRST_PAUSE{500};
constexpr std::uint32_t MAXIMUM_DOUBLINGS = 4;

} // namespace

QuarantineKeeper::QuarantineKeeper(GatewayState &gatewayState,
                                   Core::TimerService &timerService,
                                   RecordStore &recordStore,
                                   const Coordination::PeerLink &peerLink,
                                   Coordination::QuarantineLink &quarantineLink)
    : state(gatewayState)
    , timers(timerService)
    , records(recordStore)
    , peers(peerLink)
    , quarantine(quarantineLink)
{
    this->ticking = this->timers.every(TICK_INTERVAL, [this](Core::TimePoint now) {
        this->tick(now);
    });
    this->startCall(this->read(Freshness::Relaxed));
}

bool QuarantineKeeper::hasTriedToRead() const
{
    return this->hasTried;
}

void QuarantineKeeper::onStoreRestored()
{
    this->updateRank();
    if (this->isKeeper()) {
        this->stored.reset();
        this->isCurrent = false;
    }
}

bool QuarantineKeeper::isKeeper() const
{
    return this->rank < KEEPERS;
}

void QuarantineKeeper::updateRank()
{
    const auto &members = this->peers.state().members;
    const auto fingerprint = Membership::aliveFingerprint(members);
    if (this->membersFingerprint != fingerprint) {
        this->membersFingerprint = fingerprint;
        const auto order = Membership::widestFirst(members, Membership::aliveMembers(members), "quarantine");
        this->rank = static_cast<std::size_t>(std::ranges::find(order, members.self) - order.begin());
    }
}

Quarantine::Record QuarantineKeeper::wantedRecord() const
{
    return Quarantine::recordOf(this->quarantine.quarantine(), this->timers.now(), this->clock.now());
}

void QuarantineKeeper::tick(Core::TimePoint now)
{
    if (this->isCalling) {
        return;
    }
    if (!this->stored) {
        if (now >= this->nextRead) {
            this->startCall(this->read(Freshness::Relaxed));
        }
        return;
    }
    if (!this->isCurrent && Membership::hasJoined(this->peers.state().members, now)) {
        this->updateRank();
        this->isCurrent = !this->isKeeper();
        if (this->isKeeper()) {
            this->startCall(this->read(Freshness::Linearizable));
            return;
        }
    }
    if (this->quarantine.quarantine().suspicions.empty() && this->stored->evidence.empty()) {
        return;
    }
    this->updateRank();
    if (this->isKeeper() && this->isWriteDue(Quarantine::compare(*this->stored, this->wantedRecord()), now)) {
        this->startCall(this->write());
    }
}

bool QuarantineKeeper::isWriteDue(RecordDifference difference, Core::TimePoint now)
{
    if (difference == RecordDifference::None) {
        this->differsSince.reset();
        return false;
    }
    if (!this->differsSince) {
        this->differsSince = now;
    }
    const auto delay
        = difference == RecordDifference::Incomplete ? WRITE_STAGGER * this->rank : REMOVAL_DELAY + REMOVAL_STAGGER * this->rank;
    return now - *this->differsSince >= delay;
}

void QuarantineKeeper::startCall(boost::asio::awaitable<void> call)
{
    this->isCalling = true;
    spawn(this->state, "quarantine", this->runCall(std::move(call)));
}

boost::asio::awaitable<void> QuarantineKeeper::runCall(boost::asio::awaitable<void> call)
{
    // A call that throws must not be the last one.
    const std::shared_ptr<void> end(nullptr, [this](void *) {
        this->isCalling = false;
        this->hasTried = true;
    });
    co_await std::move(call);
}

void QuarantineKeeper::applyShown(const SharedRecord &record)
{
    this->stored = Quarantine::decodeRecord(record.content);
    this->revision = record.revision;
    this->failuresInRow = 0;
    this->quarantine.mergeStored(Quarantine::reportsOf(*this->stored, this->clock.now()));
    this->state.log.write(
        Importance::Notable,
        "quarantine_read",
        {{"evidence", this->stored->evidence.size()}, {"era", record.revision.era}, {"revision", record.revision.number}});
}

void QuarantineKeeper::recordFailure(const std::string &reason)
{
    // A write that failed may still be carried out: the record is read before the next one.
    this->stored.reset();
    this->isCurrent = false;
    this->nextRead = this->timers.now() + FIRST_PAUSE * (1U << std::min(this->failuresInRow, MAXIMUM_DOUBLINGS));
    ++this->failuresInRow;
    this->state.log.write(Importance::Notable, "quarantine_call_failed", {{"reason", reason}});
}

boost::asio::awaitable<void> QuarantineKeeper::read(Freshness freshness)
{
    const auto result = co_await this->records.readRecord(RecordName::Quarantine, freshness);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->recordFailure(failure->reason);
        co_return;
    }
    this->isCurrent = freshness == Freshness::Linearizable;
    const auto *shared = std::get_if<SharedRecord>(&result);
    if (shared == nullptr) {
        this->stored = Quarantine::Record{};
        this->revision.reset();
        this->failuresInRow = 0;
        co_return;
    }
    this->applyShown(*shared);
    if (this->isCurrent) {
        // What others read when they started may have been older.
        this->quarantine.broadcastStored(Quarantine::reportsOf(*this->stored, this->clock.now()));
    }
}

boost::asio::awaitable<void> QuarantineKeeper::write()
{
    auto wanted = this->wantedRecord();
    const auto result = co_await this->records.writeRecord(RecordName::Quarantine, this->revision, Quarantine::encodeRecord(wanted));
    if (const auto *written = std::get_if<Written>(&result)) {
        this->state.log.write(
            Importance::Notable,
            "quarantine_written",
            {{"evidence", wanted.evidence.size()}, {"era", written->revision.era}, {"revision", written->revision.number}});
        this->stored = std::move(wanted);
        this->isCurrent = true;
        this->revision = written->revision;
        this->failuresInRow = 0;
        co_return;
    }
    const auto *conflict = std::get_if<RecordConflict>(&result);
    if (conflict != nullptr && conflict->current) {
        // What both know is merged. The next tick writes what is still missing.
        this->applyShown(*conflict->current);
        this->isCurrent = true;
    } else {
        this->recordFailure(conflict != nullptr ? "a conflict without the record" : std::get<StoreFailure>(result).reason);
    }
}

} // namespace Briarbend::Gateway
