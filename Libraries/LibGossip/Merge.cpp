#include <LibGossip/Merge.h>

#include <tuple>

namespace Briarbend::Gossip
{

const RolloutKey &keyOf(const RolloutProgressRecord &record)
{
    return record.rollout;
}

const RequestStatsKey &keyOf(const RequestStatsRecord &record)
{
    return record.key;
}

const Core::TargetStartId &keyOf(const WarmUpStateRecord &record)
{
    return record.start;
}

WarmUpProgressKey keyOf(const WarmUpProgressRecord &record)
{
    return {record.start, record.member};
}

QuarantineKey keyOf(const QuarantineRecord &record)
{
    return {record.fingerprint, record.failedTarget};
}

bool supersedes(const RolloutProgressRecord &incoming, const RolloutProgressRecord &held)
{
    return std::tie(incoming.phase, incoming.step) > std::tie(held.phase, held.step);
}

bool supersedes(const RequestStatsRecord &incoming, const RequestStatsRecord &held)
{
    return incoming.sequence > held.sequence;
}

bool supersedes(const WarmUpProgressRecord &incoming, const WarmUpProgressRecord &held)
{
    return std::tie(incoming.epoch, incoming.completedRequests) > std::tie(held.epoch, held.completedRequests);
}

bool supersedes(const WarmUpStateRecord &incoming, const WarmUpStateRecord &held)
{
    return std::tie(incoming.epoch, incoming.isWarm) > std::tie(held.epoch, held.isWarm);
}

bool supersedes(const QuarantineRecord & /*incoming*/, const QuarantineRecord & /*held*/)
{
    return false;
}

Core::Duration retentionOf(const Record &record)
{
    struct Retention {
        Core::Duration operator()(const RolloutProgressRecord &) const
        {
            return ROLLOUT_PROGRESS_RETENTION;
        }
        Core::Duration operator()(const QuarantineRecord &) const
        {
            return QUARANTINE_RETENTION;
        }
        Core::Duration operator()(const WarmUpStateRecord &) const
        {
            return WARM_UP_STATE_RETENTION;
        }
        Core::Duration operator()(const WarmUpProgressRecord &) const
        {
            return WARM_UP_PROGRESS_RETENTION;
        }
        Core::Duration operator()(const RequestStatsRecord &) const
        {
            return REQUEST_STATS_RETENTION;
        }
    };
    return std::visit(Retention{}, record);
}

} // namespace Briarbend::Gossip
