#pragma once

#include <LibCoordination/ReceivedTraffic.h>
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
    /// Registers the receiver of log messages for operators, for example about dropped messages.
    void onLogMessage(LogMessageCallback callback);
    void logMessage(const std::string &text) const;
    /// Registers the receiver of one channel other than gossip.
    void onMessage(Channel channel, MessageCallback callback);
    void send(Channel channel, const std::string &peer, std::string_view bytes);
    /// Sends to each of the members that is known, except this instance.
    void sendTo(Channel channel, const std::vector<Core::InstanceId> &members, std::string_view bytes);
    /// Sends to all members that Membership::aliveMembers returns, except this instance.
    void sendToAll(Channel channel, std::string_view bytes);

    void publishSection(const Gossip::SectionText &section);
    void publish(const Gossip::Record &record, Core::Duration retention = {});
    void confirmWithStore();
    /// Sets whether this instance reports to its peers that it knows the warm-up state of targets that the fleet knows.
    void setInformed(bool isInformed);
    /// Uses the platform's list of live instances as seeds.
    void applyInstanceList(const std::set<Membership::PeerAddress> &live);
    /// Announces to the peers that this instance leaves. Call it once.
    void leave();

    const Gossip::State &state() const;
    Peers::TransportCounters counters() const;
    const SentTraffic &sentTraffic() const;
    const ReceivedTraffic &receivedTraffic() const;

private:
    void transmit(Channel channel, const std::string &peer, std::string_view bytes);
    void receive(const std::string &peer, std::string_view bytes);
    void execute(const Gossip::Decision &decision);

    Core::TimerService &timers;
    Peers::Transport &transport;
    Gossip::State gossip;
    Core::Random &random;
    SentTraffic sent;
    ReceivedTraffic received;
    ChangesCallback changesCallback;
    LogMessageCallback logMessageCallback;
    std::unordered_map<char, MessageCallback> messageCallbacks;
    std::unique_ptr<Core::TimerSubscription> ticking;
};

} // namespace Briarbend::Coordination
