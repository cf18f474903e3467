#include "WarmthSpread.h"

namespace Briarbend::Daemon
{

namespace
{

/// Stands between target and start in the identifier that instances exchange, since a start's number is unique only at its target.
constexpr char SEPARATOR = '/';

Core::TargetStartId globalStart(const Limits::WarmthUpdate &statement)
{
    return {statement.target.value + SEPARATOR + statement.start.value};
}

} // namespace

WarmthSpread::WarmthSpread(Coordination::PeerLink &peerLink, Limits::ColdGate &coldGate)
    : peers(peerLink)
    , gate(coldGate)
{
}

void WarmthSpread::publishChanges()
{
    auto news = Limits::warmthDeltaSince(this->gate, this->toldRevision);
    this->toldRevision = news.revision;
    for (const auto &statement : news.updates) {
        this->peers.publish(
            Gossip::WarmUpStateRecord{.start = globalStart(statement), .epoch = statement.epoch, .isWarm = statement.isWarm});
    }
}

void WarmthSpread::publishAllAgain()
{
    this->toldRevision = 0;
}

void WarmthSpread::learn(const Gossip::WarmUpStateRecord &mark)
{
    const auto separator = mark.start.value.find(SEPARATOR);
    if (separator == std::string::npos) {
        return;
    }
    Limits::applyWarmthUpdate(this->gate,
                              {.target = {mark.start.value.substr(0, separator)},
                               .start = {mark.start.value.substr(separator + 1)},
                               .epoch = static_cast<std::uint32_t>(mark.epoch),
                               .isWarm = mark.isWarm});
}

} // namespace Briarbend::Daemon
