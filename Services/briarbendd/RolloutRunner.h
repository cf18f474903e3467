#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibCoordination/RolloutMessage.h>
#include <LibCoordination/RolloutRoles.h>

#include <LibConfiguration/Model.h>
#include <LibRelay/RelayState.h>
#include <LibRollout/Rollout.h>
#include <LibStore/ObjectStore.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace Briarbend::Daemon
{

/// Carries out the moves of the configuration: passes what the relay sees to their judges, their status to the peers and the store, and
/// the shares of the versions back to the relay.
class RolloutRunner
{
public:
    RolloutRunner(boost::asio::io_context &context,
                  Core::TimerService &timers,
                  Store::ObjectStore &store,
                  Coordination::PeerLink &peers,
                  Relay::RelayState &relay);

    /// Takes over the moves of the sections in force. A move that stays the same keeps its state.
    void update(const Configuration::Sections &sections);
    /// Statuses for the dump.
    std::vector<Rollout::Status> statuses() const;

private:
    struct Running {
        Running(Configuration::Rollout move, Core::InstanceId self)
            : state(std::move(move), std::move(self), Rollout::Settings{})
        {
        }

        Rollout::RolloutState state;
        Rollout::LoadLevel level{Rollout::LoadLevel::Low};
        Coordination::RolloutRoles roles;
    };

    void begin(const Configuration::Rollout &move);
    void observe(const Relay::ExchangeObservation &observation);
    void decideAll();
    void decide(Running &running);
    void sendEvidence(Running &running);
    void refreshTargets();
    void tellStatus(const Rollout::Status &status);
    void tellOnePeer();
    void receive(std::string_view bytes);
    Relay::VersionChoice choose(const Core::ServiceName &service, const std::string &routePrefix) const;
    boost::asio::awaitable<void> keepInStore(std::shared_ptr<Running> running);

    boost::asio::io_context &context;
    Store::ObjectStore &store;
    Coordination::PeerLink &peers;
    Relay::RelayState &relay;
    std::map<Core::ServiceName, std::shared_ptr<Running>> moves;
    std::vector<std::unique_ptr<Core::TimerSubscription>> subscriptions;
    std::size_t nextTurn{0};
};

} // namespace Briarbend::Daemon
