#pragma once

#include <LibCoordination/SentTraffic.h>
#include <LibCore/Random.h>
#include <LibCore/TimerService.h>
#include <LibGossip/Gossip.h>
#include <LibPeers/Transport.h>

#include <functional>
#include <unordered_map>
#include <vector>

namespace Briarbend::Coordination
{

/// Connects the gossip state to the transport and the timer service.
class PeerLink
{
public:
    using ChangesCallback = std::function<void(const Gossip::Changes &)>;
    using MessageCallback = std::function<void(const std::string &peer, std::string_view bytes)>;
    using LogMessageCallback = std::function<void(const std::string &text)>;

    PeerLink(Core::TimerService &timers, Peers::Transport &transport, Gossip::State initialState, Core::Random &random);

    void onChanges(ChangesCallback callback);
    /// Takes notes for people: what was dropped and why.
    void onLogMessage(LogMessageCallback callback);
    void logMessage(const std::string &text) const;
    /// Registers the receiver of one channel other than gossip.
    void onMessage(Channel channel, MessageCallback callback);
    void send(Channel channel, const std::string &peer, std::string_view bytes);
    /// Sends to each of the members that is known, this instance left out.
    void sendTo(Channel channel, const std::vector<Core::InstanceId> &members, std::string_view bytes);
    /// Sends to all members that have certainly run.
    void sendToAll(Channel channel, std::string_view bytes);

    void publishSection(const Gossip::SectionText &section);
    void publish(const Gossip::Record &record, Core::Duration retention = {});
    void confirmWithStore();
    /// Tells peers from now on that this instance knows what the fleet knows of targets' warmth.
    void setInformed(bool isInformed);
    /// Takes the platform's list of entry instances as seeds.
    void applyInstanceList(const std::set<Membership::PeerAddress> &live);
    /// Says goodbye; call once.
    void leave();

    const Gossip::State &state() const;
    Peers::TransportCounters counters() const;
    const SentTraffic &sentTraffic() const;

private:
    void transmit(Channel channel, const std::string &peer, std::string_view bytes);
    void receive(const std::string &peer, std::string_view bytes);
    void execute(const Gossip::Decision &decision);

    Core::TimerService &timers;
    Peers::Transport &transport;
    Gossip::State gossip;
    Core::Random &random;
    SentTraffic sent;
    ChangesCallback changesCallback;
    LogMessageCallback logMessageCallback;
    std::unordered_map<char, MessageCallback> messageCallbacks;
    std::unique_ptr<Core::TimerSubscription> ticking;
};

} // namespace Briarbend::Coordination
