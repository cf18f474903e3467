#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Briarbend::Fleet
{

/// Time for which a peer's offer holds.
constexpr std::chrono::milliseconds OFFER_LIFETIME{1000};

/// A peer that reaches targets and takes requests of an instance that reaches none.
struct PeerOffer {
    /// Where the peer accepts callers.
    Core::TargetId callerAddress;
    bool isNear{false};
    /// Requests in flight at the peer when it sent the offer.
    std::uint32_t requestsInFlight{0};
    Core::TimePoint receivedAt;
    /// Requests that were forwarded to the peer since then.
    std::uint32_t forwardedSinceOffer{0};
};

/// Offers by the address of the peer.
using PeerOffers = std::map<std::string, PeerOffer>;

/// Records an offer, which replaces an earlier one of the same peer.
void recordOffer(PeerOffers &offers, const std::string &peer, PeerOffer offer);

/// Whether the offer still holds.
bool isValid(const PeerOffer &offer, Core::TimePoint now);

/// The peer with the most room for another request, without those named; null if there is no valid offer. Peers of the own data centre are
/// preferred up to twice the load of others.
PeerOffer *findPeerWithRoom(PeerOffers &offers, const std::vector<std::string> &excludedAddresses, Core::TimePoint now);

} // namespace Briarbend::Fleet
