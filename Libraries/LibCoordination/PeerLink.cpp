#include <LibCoordination/PeerLink.h>

namespace Briarbend::Coordination
{

namespace
{

std::string frameMessage(Channel channel, std::string_view bytes)
{
    std::string message;
    message.reserve(bytes.size() + 1);
    message.push_back(static_cast<char>(channel));
    message.append(bytes);
    return message;
}

} // namespace

PeerLink::PeerLink(Core::TimerService &timerService,
                   Peers::Transport &peerTransport,
                   Gossip::State initialState,
                   Core::Random &randomSource)
    : timers(timerService)
    , transport(peerTransport)
    , gossip(std::move(initialState))
    , random(randomSource)
{
    this->transport.onMessage([this](const std::string &peer, std::string_view bytes) {
        this->receive(peer, bytes);
    });
    this->transport.onClosed([this](const std::string &peer) {
        Membership::onPeerUnreachable(this->gossip.members, {peer});
    });
    this->ticking = this->timers.every(Membership::TICK_INTERVAL, [this](Core::TimePoint now) {
        this->execute(Gossip::tick(this->gossip, now, this->random));
    });
}

void PeerLink::onChanges(ChangesCallback callback)
{
    this->changesCallback = std::move(callback);
}

void PeerLink::onLogMessage(LogMessageCallback callback)
{
    this->logMessageCallback = std::move(callback);
}

void PeerLink::logMessage(const std::string &text) const
{
    if (this->logMessageCallback) {
        this->logMessageCallback(text);
    }
}

void PeerLink::onMessage(Channel channel, MessageCallback callback)
{
    this->messageCallbacks[static_cast<char>(channel)] = std::move(callback);
}

void PeerLink::send(Channel channel, const std::string &peer, std::string_view bytes)
{
    this->transmit(channel, peer, bytes);
}

void PeerLink::transmit(Channel channel, const std::string &peer, std::string_view bytes)
{
    countSent(this->sent, this->gossip.members, channel, peer, bytes.size());
    this->transport.send(peer, frameMessage(channel, bytes));
}

void PeerLink::sendTo(Channel channel, const std::vector<Core::InstanceId> &members, std::string_view bytes)
{
    for (const auto &address : Membership::addressesOf(this->gossip.members, members)) {
        this->send(channel, address, bytes);
    }
}

void PeerLink::sendToAll(Channel channel, std::string_view bytes)
{
    this->sendTo(channel, Membership::aliveMembers(this->gossip.members), bytes);
}

void PeerLink::publishSection(const Gossip::SectionText &section)
{
    this->execute(Gossip::publishSection(this->gossip, section, this->timers.now(), this->random));
}

void PeerLink::publish(const Gossip::Record &record, Core::Duration retention)
{
    this->execute(Gossip::publish(this->gossip, record, this->timers.now(), this->random, retention));
}

void PeerLink::confirmWithStore()
{
    Gossip::confirmWithStore(this->gossip, this->timers.now());
}

void PeerLink::setInformed(bool isInformed)
{
    this->gossip.members.isInformed = isInformed;
}

void PeerLink::applyInstanceList(const std::set<Membership::PeerAddress> &live)
{
    Membership::applyInstanceList(this->gossip.members, live);
}

void PeerLink::leave()
{
    this->execute(Gossip::leave(this->gossip, this->timers.now()));
}

const Gossip::State &PeerLink::state() const
{
    return this->gossip;
}

Peers::TransportCounters PeerLink::counters() const
{
    return this->transport.counters();
}

const SentTraffic &PeerLink::sentTraffic() const
{
    return this->sent;
}

const ReceivedTraffic &PeerLink::receivedTraffic() const
{
    return this->received;
}

void PeerLink::receive(const std::string &peer, std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    const auto channel = static_cast<Channel>(bytes.front());
    const auto callback = this->messageCallbacks.find(bytes.front());
    if (channel != Channel::Gossip && callback == this->messageCallbacks.end()) {
        return;
    }
    bytes.remove_prefix(1);
    const auto startedAt = this->timers.now();
    try {
        if (channel == Channel::Gossip) {
            this->execute(Gossip::receive(this->gossip, bytes, startedAt, this->random));
        } else {
            callback->second(peer, bytes);
        }
    } catch (const std::exception &exception) {
        this->logMessage("dropped a message from " + peer + " that could not be processed: " + exception.what());
    }
    auto &total = this->received[channel];
    ++total.messages;
    total.handling += this->timers.now() - startedAt;
}

void PeerLink::execute(const Gossip::Decision &decision)
{
    for (const auto &outgoingMessage : decision.outgoingMessages) {
        this->transmit(Channel::Gossip, outgoingMessage.to.value, outgoingMessage.bytes);
    }
    const auto &changes = decision.changes;
    const bool hasChanges = !changes.members.empty() || !changes.sections.empty() || !changes.records.empty();
    if (hasChanges && this->changesCallback) {
        this->changesCallback(changes);
    }
}

} // namespace Briarbend::Coordination
