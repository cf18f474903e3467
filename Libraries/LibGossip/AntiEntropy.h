#pragma once

#include <LibGossip/Gossip.h>

namespace Briarbend::Gossip
{

/// Starts an anti-entropy comparison with the peer for one random kind whose summaries differ.
void startComparison(State &state,
                     const Summaries &theirs,
                     const Membership::PeerAddress &peer,
                     Core::TimePoint now,
                     Core::Random &random,
                     Decision &decision);

/// Each overload replies to one step of a comparison.
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

/// Sends all records and announces all sections. Charged to the bulk budget.
void sendSnapshot(State &state, const Membership::PeerAddress &peer, Core::TimePoint now, Decision &decision);

} // namespace Briarbend::Gossip
