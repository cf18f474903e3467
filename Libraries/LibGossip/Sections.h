#pragma once

#include <LibGossip/Gossip.h>

namespace Briarbend::Gossip
{

/// Keeps the section where its version is higher than the held one. True where it was.
bool acceptSection(State &state, const SectionText &section, Core::TimePoint now, Changes &changes);

/// Announces a held section, with the difference to its previous version where that is small.
SectionUpdate updateOf(const HeldSection &held);

/// Applies the difference, or asks the sender for the whole text. True where the section changed.
bool applySectionUpdate(
    State &state, const SectionUpdate &update, const Membership::PeerAddress &from, Core::TimePoint now, Decision &decision);

/// Asks again, another holder where there is one, for sections that did not come.
void requestPendingSections(State &state, Core::TimePoint now, Decision &decision);

/// Answers a RequestSection within the bulk budget.
void deliverSection(
    State &state, const RequestSection &request, const Membership::PeerAddress &to, Core::TimePoint now, Decision &decision);

} // namespace Briarbend::Gossip
