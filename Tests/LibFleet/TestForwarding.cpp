#include <LibFleet/Forwarding.h>

#include <gtest/gtest.h>

/// Load of forwarded requests: many instances lose their targets at once, and the others share their callers by room.
namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::TimePoint NOW{100s};

PeerOffer offerOf(const std::string &address, bool isNear, std::uint32_t requestsInFlight)
{
    return {
        .callerAddress = {address}, .isNear = isNear, .requestsInFlight = requestsInFlight, .receivedAt = NOW, .forwardedSinceOffer = 0};
}

/// The peers in the order in which requests are forwarded to them.
std::map<std::string, std::size_t> forward(PeerOffers &offers, std::size_t requests)
{
    std::map<std::string, std::size_t> counts;
    for (std::size_t request = 0; request < requests; ++request) {
        auto *offer = findPeerWithRoom(offers, {}, NOW);
        ++offer->forwardedSinceOffer;
        ++counts[offer->callerAddress.value];
    }
    return counts;
}

} // namespace

TEST(Forwarding, requestsAreSharedByRoom)
{
    PeerOffers offers;
    recordOffer(offers, "idle", offerOf("idle", true, 0));
    recordOffer(offers, "busy", offerOf("busy", true, 20));
    recordOffer(offers, "usual", offerOf("usual", true, 5));
    const auto counts = forward(offers, 25);
    EXPECT_FALSE(counts.contains("busy"));
    EXPECT_GT(counts.at("idle"), counts.at("usual"));
    EXPECT_GE(counts.at("usual"), 9U);
}

TEST(Forwarding, loneNearPeerIsNotFloodedWhileFarOnesHaveRoom)
{
    PeerOffers offers;
    recordOffer(offers, "near", offerOf("near", true, 2));
    for (const auto *name : {"far-1", "far-2", "far-3", "far-4"}) {
        recordOffer(offers, name, offerOf(name, false, 2));
    }
    const auto counts = forward(offers, 60);
    EXPECT_LE(counts.at("near"), 25U);
    EXPECT_GE(counts.at("far-1"), 8U);
}

TEST(Forwarding, oldOffersAndExcludedPeersAreNotUsed)
{
    PeerOffers offers;
    recordOffer(offers, "one", offerOf("one", true, 0));
    EXPECT_EQ(findPeerWithRoom(offers, {"one"}, NOW), nullptr);
    EXPECT_NE(findPeerWithRoom(offers, {}, NOW + OFFER_LIFETIME - 1ms), nullptr);
    EXPECT_EQ(findPeerWithRoom(offers, {}, NOW + OFFER_LIFETIME), nullptr);
}

} // namespace Briarbend::Fleet
