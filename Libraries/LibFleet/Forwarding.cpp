#include <LibFleet/Forwarding.h>

#include <algorithm>

namespace Briarbend::Fleet
{

namespace
{

/// Traffic between data centres is slower and expensive.
constexpr std::uint32_t FAR_LOAD_FACTOR = 2;

std::uint32_t loadOf(const PeerOffer &offer)
{
    const auto requests = 1 + offer.requestsInFlight + offer.forwardedSinceOffer;
    return offer.isNear ? requests : requests * FAR_LOAD_FACTOR;
}

} // namespace

void recordOffer(PeerOffers &offers, const std::string &peer, PeerOffer offer)
{
    offers.insert_or_assign(peer, std::move(offer));
}

bool isValid(const PeerOffer &offer, Core::TimePoint now)
{
    return now - offer.receivedAt < OFFER_LIFETIME;
}

PeerOffer *findPeerWithRoom(PeerOffers &offers, const std::vector<std::string> &excludedAddresses, Core::TimePoint now)
{
    PeerOffer *best = nullptr;
    for (auto &[peer, offer] : offers) {
        const bool isExcluded = std::ranges::find(excludedAddresses, offer.callerAddress.value) != excludedAddresses.end();
        if (isExcluded || !isValid(offer, now)) {
            continue;
        }
        if (best == nullptr || loadOf(offer) < loadOf(*best)) {
            best = &offer;
        }
    }
    return best;
}

} // namespace Briarbend::Fleet
