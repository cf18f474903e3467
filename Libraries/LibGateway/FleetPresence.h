#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibGateway/GatewayState.h>
#include <LibMembership/Presence.h>

namespace Briarbend::Gateway
{

/// Keeps this instance's entry among the records in the store while members are missing, and learns there whether these are alive.
class FleetPresence
{
public:
    /// The arguments must outlive the object.
    FleetPresence(GatewayState &gatewayState,
                  const Core::TimerService &timerService,
                  RecordStore &recordStore,
                  const Coordination::PeerLink &peerLink);

    /// Call at each tick, with this instance's place among those that may decide something, the first one at zero; nothing if there is
    /// nothing to decide.
    void advance(std::optional<std::size_t> rank, Core::TimePoint now);
    /// Whether the members that this instance reaches may decide for all.
    bool mayDecideForAll(Core::TimePoint now) const;
    /// Number of members that are alive and that this instance does not reach.
    std::size_t countShownElsewhere(Core::TimePoint now) const;

private:
    boost::asio::awaitable<void> renew();
    void applyShown(const SharedRecord &record);

    GatewayState &state;
    const Core::TimerService &timers;
    RecordStore &records;
    const Coordination::PeerLink &peers;
    Membership::PresenceState presence;
    /// Whether the revision below is that of the record as far as is known.
    bool isRevisionKnown{false};
    /// Nothing if there is no record.
    std::optional<Revision> revision;
    bool isRenewing{false};
    Core::TimePoint nextRenewal;
};

} // namespace Briarbend::Gateway
