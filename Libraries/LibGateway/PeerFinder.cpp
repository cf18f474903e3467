#include <LibGateway/ForwardingMessage.h>
#include <LibGateway/PeerFinder.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;

/// Peers that are asked at a time. The load is spread over those that answer, and hundreds of cut-off instances must not flood the others.
constexpr std::size_t NEAR_PEERS_ASKED = 8;
constexpr std::size_t FAR_PEERS_ASKED = 4;
constexpr std::chrono::milliseconds REQUEST_INTERVAL{300};
/// Some round trips between data centres, and a busy peer.
constexpr std::chrono::milliseconds OFFER_TIMEOUT{60};

} // namespace

PeerFinder::PeerFinder(GatewayState &gatewayState, Core::TimerService &timerService, Coordination::PeerLink &peerLink)
    : state(gatewayState)
    , timers(timerService)
    , peers(peerLink)
{
    this->peers.onMessage(Channel::Forwarding, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->subscription = this->timers.every(REQUEST_INTERVAL, [this](Core::TimePoint now) {
        if (Fleet::isCutOff(this->state.connectivity)) {
            this->requestOffers(now);
        }
    });
}

boost::asio::awaitable<std::optional<Core::TargetId>> PeerFinder::findPeer(std::vector<std::string> excludedAddresses)
{
    auto *offer = Fleet::findPeerWithRoom(this->offers, excludedAddresses, this->timers.now());
    if (offer == nullptr) {
        this->requestOffers(this->timers.now());
        co_await this->waitForOffer();
        offer = Fleet::findPeerWithRoom(this->offers, excludedAddresses, this->timers.now());
    }
    if (offer == nullptr) {
        co_return std::nullopt;
    }
    ++offer->forwardedSinceOffer;
    co_return offer->callerAddress;
}

boost::asio::awaitable<void> PeerFinder::waitForOffer()
{
    boost::asio::steady_timer timer(this->state.executor, OFFER_TIMEOUT);
    const auto waitingTimers = this->waiting;
    waitingTimers->insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waitingTimers->erase(&timer);
}

bool PeerFinder::hasOffers() const
{
    const auto now = this->timers.now();
    return std::ranges::any_of(this->offers, [now](const auto &entry) {
        return Fleet::isValid(entry.second, now);
    });
}

void PeerFinder::requestOffers(Core::TimePoint now)
{
    if (this->requestedAt && now - *this->requestedAt < OFFER_TIMEOUT) {
        return;
    }
    this->requestedAt = now;
    const auto &members = this->peers.state().members;
    const auto &self = members.members.at(members.self).update;
    const auto bytes = encodeForwarding(ForwardingRequest{self.address.value});
    auto others = Membership::aliveMembers(members);
    std::erase(others, members.self);
    std::size_t near = 0;
    std::size_t far = 0;
    for (std::size_t left = others.size(); left > 0 && (near < NEAR_PEERS_ASKED || far < FAR_PEERS_ASKED); --left) {
        std::swap(others[this->state.random.below(left)], others[left - 1]);
        const auto &member = Membership::find(members, others[left - 1])->update;
        const bool isNear = member.dataCentre == self.dataCentre;
        auto &asked = isNear ? near : far;
        if (asked < (isNear ? NEAR_PEERS_ASKED : FAR_PEERS_ASKED)) {
            ++asked;
            this->peers.send(Channel::Forwarding, member.address.value, bytes);
        }
    }
}

void PeerFinder::receive(std::string_view bytes)
{
    const auto message = decodeForwarding(bytes);
    const auto &members = this->peers.state().members;
    const auto &self = members.members.at(members.self).update;
    if (const auto *request = std::get_if<ForwardingRequest>(&message)) {
        const bool reachesTargets = !Fleet::mayBeCutOff(this->state.connectivity);
        if (reachesTargets && this->state.routingConfiguration && !this->state.isStopping) {
            const ForwardingOffer offer{.peer = self.address.value,
                                        .callerAddress = this->state.settings.instance.callerAddress.text(),
                                        .requestsInFlight = this->state.requestsInFlight};
            this->peers.send(Channel::Forwarding, request->requester, encodeForwarding(offer));
        }
        return;
    }
    const auto &offer = std::get<ForwardingOffer>(message);
    const auto peer = std::ranges::find_if(members.members, [&offer](const auto &entry) {
        return entry.second.update.address.value == offer.peer;
    });
    const bool isNear = peer != members.members.end() && peer->second.update.dataCentre == self.dataCentre;
    Fleet::recordOffer(this->offers,
                       offer.peer,
                       {.callerAddress = {offer.callerAddress},
                        .isNear = isNear,
                        .requestsInFlight = offer.requestsInFlight,
                        .receivedAt = this->timers.now(),
                        .forwardedSinceOffer = 0});
    for (auto *timer : *this->waiting) {
        timer->cancel();
    }
}

} // namespace Briarbend::Gateway
