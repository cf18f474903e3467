#include <LibGateway/ReaderElection.h>

#include <algorithm>

namespace Briarbend::Gateway
{

namespace
{

/// Instances that try at once when nobody reads: the preferred one and its standby, which both go on trying.
constexpr std::size_t STANDING_READERS = 2;
/// Factor by which each group of instances that try to read is larger than all before it. Up to 512 instances have tried after four delays.
constexpr std::size_t READER_GROUP_GROWTH = 4;

bool isRecent(const Reading &reading, Core::TimePoint now)
{
    return now - reading.lastResponseAt < READING_TIMEOUT;
}

void extend(std::optional<Reading> &reading, Core::TimePoint respondedAt)
{
    if (!reading || respondedAt - reading->lastResponseAt >= READING_TIMEOUT) {
        reading = Reading{.since = respondedAt, .lastResponseAt = respondedAt};
    }
    reading->lastResponseAt = std::max(reading->lastResponseAt, respondedAt);
}

void recordResponse(ReaderElection &election, Core::TimePoint respondedAt)
{
    election.unreadSince = std::max(election.unreadSince, respondedAt + READING_TIMEOUT);
}

/// To be called after a reading has ended. If nobody else reads, the data centre is unread from now on.
void recordEnd(ReaderElection &election, Core::TimePoint now)
{
    if (now < election.unreadSince && !isRead(election, now)) {
        election.unreadSince = now;
    }
}

std::size_t rankOf(const ReaderElection &election, const std::string &peer)
{
    return static_cast<std::size_t>(std::ranges::find(election.candidates, peer) - election.candidates.begin());
}

/// The number of the group of a rank, which is also the number of delays until its turn.
std::size_t groupOf(std::size_t rank)
{
    std::size_t group = 0;
    for (auto size = STANDING_READERS; size <= rank; size *= READER_GROUP_GROWTH) {
        ++group;
    }
    return group;
}

/// When this instance last got its turn to try, as time since the data centre has been unread; nothing if it has had none.
std::optional<Core::Duration> lastTurn(const ReaderElection &election, Core::Duration unreadFor)
{
    const Core::Duration first = READER_GROUP_DELAY * groupOf(election.rank);
    if (unreadFor < first) {
        return std::nullopt;
    }
    const auto others = std::max(election.candidates.size(), election.rank + 1) - STANDING_READERS;
    const Core::Duration retries = READER_GROUP_DELAY * (groupOf(others + STANDING_READERS - 1) + 1);
    const Core::Duration ownRetry = retries + READER_RETRY_INTERVAL * (election.rank - STANDING_READERS);
    if (unreadFor < ownRetry) {
        return first;
    }
    const Core::Duration round = READER_RETRY_INTERVAL * others;
    return ownRetry + (unreadFor - ownRetry) / round * round;
}

/// Whether it is this instance's turn to try to read while nobody is known to.
bool hasTurn(const ReaderElection &election, Core::TimePoint now)
{
    if (now < election.unreadSince) {
        return false;
    }
    if (election.rank < STANDING_READERS) {
        return true;
    }
    const auto turn = lastTurn(election, now - election.unreadSince);
    return turn && (!election.ownFailureAt || *election.ownFailureAt < election.unreadSince + *turn);
}

/// Whether a peer's reading makes this instance's own needless: one that began at about the same time, or is known to last.
bool replaces(const Reading &better, const Reading &own, Core::TimePoint now)
{
    return better.since < own.since + READER_GROUP_DELAY || now - better.since >= READER_HANDOVER_PERIOD;
}

} // namespace

void updateCandidates(ReaderElection &election, std::vector<std::string> candidates, const std::string &self)
{
    // An instance that knew no other has read for itself alone.
    if (election.candidates.size() <= 1 && candidates.size() > 1) {
        election.own.reset();
    }
    election.candidates = std::move(candidates);
    election.rank = rankOf(election, self);
}

void recordOwnResponse(ReaderElection &election, Core::TimePoint now)
{
    // Other instances call the store now and then without reading on.
    if (isReader(election, now)) {
        extend(election.own, now);
        recordResponse(election, now);
    }
}

void recordOwnFailure(ReaderElection &election, Core::TimePoint now)
{
    election.own.reset();
    election.ownFailureAt = now;
    recordEnd(election, now);
}

void recordReportedResponse(ReaderElection &election, const std::string &peer, Core::TimePoint respondedAt, Core::TimePoint now)
{
    std::erase_if(election.reported, [now](const auto &entry) {
        return !isRecent(entry.second, now);
    });
    const Reading reading{.since = respondedAt, .lastResponseAt = respondedAt};
    if (!isRecent(reading, now)) {
        return;
    }
    const auto [entry, isNew] = election.reported.try_emplace(peer, reading);
    entry->second.lastResponseAt = std::max(entry->second.lastResponseAt, respondedAt);
    recordResponse(election, respondedAt);
}

void recordReportedFailure(ReaderElection &election, const std::string &peer, Core::TimePoint now)
{
    if (election.reported.erase(peer) > 0) {
        recordEnd(election, now);
    }
}

bool isReading(const ReaderElection &election, Core::TimePoint now)
{
    return election.own && isRecent(*election.own, now);
}

bool isRead(const ReaderElection &election, Core::TimePoint now)
{
    return isReading(election, now) || std::ranges::any_of(election.reported, [now](const auto &entry) {
               return isRecent(entry.second, now);
           });
}

bool isReader(const ReaderElection &election, Core::TimePoint now)
{
    if (election.rank == 0) {
        return true;
    }
    const bool isReadingItself = isReading(election, now);
    const bool isCovered = std::ranges::any_of(election.reported, [&election, isReadingItself, now](const auto &entry) {
        const auto &[peer, reading] = entry;
        const bool isBetter = rankOf(election, peer) < election.rank;
        return isRecent(reading, now) && (!isReadingItself || (isBetter && replaces(reading, *election.own, now)));
    });
    return !isCovered && (isReadingItself || hasTurn(election, now));
}

} // namespace Briarbend::Gateway
