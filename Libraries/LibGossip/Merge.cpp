#include <LibGossip/Merge.h>

#include <tuple>

namespace Briarbend::Gossip
{

const RolloutKey &keyOf(const VerdictRecord &record)
{
    return record.rollout;
}

const EvidenceKey &keyOf(const EvidenceRecord &record)
{
    return record.key;
}

const Core::TargetStartId &keyOf(const WarmUpStateRecord &record)
{
    return record.start;
}

WarmthKey keyOf(const WarmthRecord &record)
{
    return {record.start, record.member};
}

QuarantineKey keyOf(const QuarantineRecord &record)
{
    return {record.fingerprint, record.brokenTarget};
}

bool supersedes(const VerdictRecord &incoming, const VerdictRecord &held)
{
    return std::tie(incoming.outcome, incoming.step) > std::tie(held.outcome, held.step);
}

bool supersedes(const EvidenceRecord &incoming, const EvidenceRecord &held)
{
    return incoming.sequence > held.sequence;
}

bool supersedes(const WarmthRecord &incoming, const WarmthRecord &held)
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
        Core::Duration operator()(const VerdictRecord &) const
        {
            return VERDICT_RETENTION;
        }
        Core::Duration operator()(const QuarantineRecord &) const
        {
            return QUARANTINE_RETENTION;
        }
        Core::Duration operator()(const WarmUpStateRecord &) const
        {
            return WARM_MARK_RETENTION;
        }
        Core::Duration operator()(const WarmthRecord &) const
        {
            return WARMTH_RETENTION;
        }
        Core::Duration operator()(const EvidenceRecord &) const
        {
            return EVIDENCE_RETENTION;
        }
    };
    return std::visit(Retention{}, record);
}

} // namespace Briarbend::Gossip
