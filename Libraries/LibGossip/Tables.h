#pragma once

#include <LibGossip/State.h>

namespace Briarbend::Gossip
{

/// Calls the visitor with every record table, most urgent kind first.
template<typename StateType, typename Visitor>
void forEachTable(StateType &state, const Visitor &visitor)
{
    visitor(state.verdicts);
    visitor(state.quarantine);
    visitor(state.warmMarks);
    visitor(state.warmth);
    visitor(state.evidence);
}

inline Table<VerdictRecord> &tableFor(State &state, const VerdictRecord & /*record*/)
{
    return state.verdicts;
}

inline Table<QuarantineRecord> &tableFor(State &state, const QuarantineRecord & /*record*/)
{
    return state.quarantine;
}

inline Table<WarmUpStateRecord> &tableFor(State &state, const WarmUpStateRecord & /*record*/)
{
    return state.warmMarks;
}

inline Table<WarmthRecord> &tableFor(State &state, const WarmthRecord & /*record*/)
{
    return state.warmth;
}

inline Table<EvidenceRecord> &tableFor(State &state, const EvidenceRecord & /*record*/)
{
    return state.evidence;
}

/// Kinds whose news does not wait for the next probe.
constexpr bool isUrgent(const Record &record)
{
    return std::holds_alternative<VerdictRecord>(record) || std::holds_alternative<QuarantineRecord>(record)
        || std::holds_alternative<WarmUpStateRecord>(record);
}

} // namespace Briarbend::Gossip
