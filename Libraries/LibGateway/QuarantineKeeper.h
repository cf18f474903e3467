#pragma once

#include <LibCoordination/QuarantineLink.h>
#include <LibGateway/GatewayState.h>
#include <LibNetwork/WallClock.h>
#include <LibQuarantine/Record.h>

namespace Briarbend::Gateway
{

/// Keeps the evidence against requests that crash targets among the records in the store, so that it outlives the processes. A few
/// instances write it in turn, and only where there is something to keep. Each instance reads it once when it starts, cheaply, as the store
/// may show it some seconds ago; those that write it read it as it is once they know all members, and tell the others.
class QuarantineKeeper
{
public:
    /// The arguments must outlive the object.
    QuarantineKeeper(GatewayState &gatewayState,
                     Core::TimerService &timerService,
                     RecordStore &recordStore,
                     const Coordination::PeerLink &peerLink,
                     Coordination::QuarantineLink &quarantineLink);

    /// Whether the record was read, or the store did not show it at the first attempt.
    bool hasTriedToRead() const;
    /// The store was restored from an older copy, which may lack what was written since.
    void onStoreRestored();

private:
    void tick(Core::TimePoint now);
    void updateRank();
    bool isKeeper() const;
    /// Whether this instance's turn to write has come.
    bool isWriteDue(Quarantine::RecordDifference difference, Core::TimePoint now);
    Quarantine::Record wantedRecord() const;
    boost::asio::awaitable<void> read(Freshness freshness);
    boost::asio::awaitable<void> write();
    void applyShown(const SharedRecord &record);
    void recordFailure(const std::string &reason);
    void startCall(boost::asio::awaitable<void> call);
    boost::asio::awaitable<void> runCall(boost::asio::awaitable<void> call);

    GatewayState &state;
    Core::TimerService &timers;
    RecordStore &records;
    const Coordination::PeerLink &peers;
    Coordination::QuarantineLink &quarantine;
    Network::SteadyWallClock clock;
    /// The record as this instance last read or wrote it; nothing if it has to be read.
    std::optional<Quarantine::Record> stored;
    /// Nothing if there is no record.
    std::optional<Revision> revision;
    bool hasTried{false};
    /// The record was read as it is or written since it last had to be, or this instance is none of the writers.
    bool isCurrent{false};
    bool isCalling{false};
    std::uint32_t failuresInRow{0};
    Core::TimePoint nextRead;
    /// Since when the stored record differs from what is to be kept.
    std::optional<Core::TimePoint> differsSince;
    std::optional<std::size_t> membersFingerprint;
    /// Place in the order in which instances write.
    std::size_t rank{0};
    std::unique_ptr<Core::TimerSubscription> ticking;
};

} // namespace Briarbend::Gateway
