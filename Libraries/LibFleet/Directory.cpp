#include <LibFleet/Directory.h>

namespace Briarbend::Fleet
{

namespace
{

bool mayHaveLapsed(const Directory &directory, Core::TimePoint now)
{
    return directory.outageEndedAt && now - *directory.outageEndedAt < REREGISTRATION_TIME;
}

} // namespace

void recordStoreAnswer(Directory &directory, Core::TimePoint now)
{
    if (directory.storeLostSince && now - *directory.storeLostSince >= SHORTEST_LEASE) {
        directory.outageEndedAt = now;
    }
    directory.storeLostSince.reset();
}

void recordStoreFailure(Directory &directory, Core::TimePoint now)
{
    if (!directory.storeLostSince) {
        directory.storeLostSince = now;
    }
}

void expectRemovals(Directory &directory, std::size_t removals, Core::TimePoint now)
{
    if (removals > 0 && static_cast<double>(removals) >= LAPSED_SHARE * static_cast<double>(directory.entries.size())) {
        directory.outageEndedAt = now;
    }
}

void applyRecord(Directory &directory, const TargetRecord &record)
{
    directory.entries.insert_or_assign(record.name, DirectoryEntry{record, std::nullopt});
}

void applyRemoval(Directory &directory, const std::string &name, Core::TimePoint now)
{
    const auto found = directory.entries.find(name);
    if (found == directory.entries.end()) {
        return;
    }
    if (!mayHaveLapsed(directory, now) || found->second.record.isLeaving) {
        directory.entries.erase(found);
    } else if (!found->second.missingSince) {
        found->second.missingSince = now;
    }
}

bool expireMissing(Directory &directory, Core::TimePoint now)
{
    if (mayHaveLapsed(directory, now)) {
        return false;
    }
    return std::erase_if(directory.entries,
                         [](const auto &entry) {
                             return entry.second.missingSince.has_value();
                         })
        > 0;
}

} // namespace Briarbend::Fleet
