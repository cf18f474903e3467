#pragma once

#include <LibGossip/Gossip.h>

namespace Briarbend::Gossip
{

/// Stores the section if its version is higher than the held one. Returns true if it was stored.
bool acceptSection(State &state, const SectionText &section, Core::TimePoint now, Changes &changes);

/// Returns the announcement of a held section, with the delta from its previous version if that is small.
SectionUpdate updateOf(const HeldSection &held);

/// Applies the delta, or requests the complete text from the sender. Returns true if the section changed.
bool applySectionUpdate(
    State &state, const SectionUpdate &update, const Membership::PeerAddress &from, Core::TimePoint now, Decision &decision);

/// Requests sections that were not delivered in time from another known holder, and gives up on those that have none left.
void requestPendingSections(State &state, Core::TimePoint now, Decision &decision);

/// Answers a RequestSection. Charged to the bulk budget.
void deliverSection(
    State &state, const RequestSection &request, const Membership::PeerAddress &to, Core::TimePoint now, Decision &decision);

} // namespace Briarbend::Gossip
