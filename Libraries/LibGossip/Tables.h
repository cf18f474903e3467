#pragma once

#include <LibGossip/State.h>

namespace Briarbend::Gossip
{

/// Calls the visitor with each record table, most urgent kind first.
template<typename StateType, typename Visitor>
void forEachTable(StateType &state, const Visitor &visitor)
{
    visitor(state.rolloutProgress);
    visitor(state.quarantine);
    visitor(state.warmUpStates);
    visitor(state.warmUpProgress);
    visitor(state.requestStats);
}

inline Table<RolloutProgressRecord> &tableFor(State &state, const RolloutProgressRecord & /*record*/)
{
    return state.rolloutProgress;
}

inline Table<QuarantineRecord> &tableFor(State &state, const QuarantineRecord & /*record*/)
{
    return state.quarantine;
}

inline Table<WarmUpStateRecord> &tableFor(State &state, const WarmUpStateRecord & /*record*/)
{
    return state.warmUpStates;
}

inline Table<WarmUpProgressRecord> &tableFor(State &state, const WarmUpProgressRecord & /*record*/)
{
    return state.warmUpProgress;
}

inline Table<RequestStatsRecord> &tableFor(State &state, const RequestStatsRecord & /*record*/)
{
    return state.requestStats;
}

/// Returns true for kinds whose changes are pushed without waiting for the next probe.
constexpr bool isUrgent(const Record &record)
{
    return std::holds_alternative<RolloutProgressRecord>(record) || std::holds_alternative<QuarantineRecord>(record)
        || std::holds_alternative<WarmUpStateRecord>(record);
}

} // namespace Briarbend::Gossip
