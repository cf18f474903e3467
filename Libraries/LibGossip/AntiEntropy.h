#pragma once

#include <LibGossip/Gossip.h>

namespace Briarbend::Gossip
{

/// Starts a comparison of one kind in which the peer's summaries differ from this instance's.
void startComparison(State &state,
                     const Summaries &theirs,
                     const Membership::PeerAddress &peer,
                     Core::TimePoint now,
                     Core::Random &random,
                     Decision &decision);

/// Each answers one step of a comparison.
void handleExchange(State &state,
                    const CompareBuckets &theirs,
                    const Membership::PeerAddress &peer,
                    Core::TimePoint now,
                    Core::Random &random,
                    Decision &decision);
void handleExchange(
    State &state, const CompareRecords &theirs, const Membership::PeerAddress &peer, Core::TimePoint now, Decision &decision);
void handleExchange(
    State &state, const RequestRecords &request, const Membership::PeerAddress &peer, Core::TimePoint now, Decision &decision);

/// Sends all records and announces all sections, within the bulk budget.
void sendSnapshot(State &state, const Membership::PeerAddress &peer, Core::TimePoint now, Decision &decision);

} // namespace Briarbend::Gossip
