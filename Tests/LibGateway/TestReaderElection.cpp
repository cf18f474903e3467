#include <LibCore/Random.h>
#include <LibGateway/ReaderElection.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;

/// Time within which changes have to be in force, less a round of messages between instances and what a busy instance needs.
constexpr std::chrono::milliseconds TAKEOVER_BOUND{1900};
constexpr std::chrono::milliseconds STEP{50};

/// A data centre whose instances hear each other after one step, and call the store as their election says.
class DataCentre
{
public:
    explicit DataCentre(std::size_t size)
        : elections(size)
    {
        std::vector<std::string> names;
        for (std::size_t rank = 0; rank < size; ++rank) {
            names.push_back(std::to_string(rank));
        }
        for (std::size_t rank = 0; rank < size; ++rank) {
            updateCandidates(this->elections[rank], names, names[rank]);
            this->elections[rank].unreadSince = this->now + 3s;
        }
    }

    /// Every instance that is to read calls the store once; the others hear how that ended.
    void step()
    {
        for (std::size_t rank = 0; rank < this->elections.size(); ++rank) {
            auto &election = this->elections[rank];
            if (!isReader(election, this->now)) {
                continue;
            }
            ++this->calls;
            if (this->refusesReaders && this->refused.size() < this->maximumRefused) {
                this->refused.insert(rank);
            }
            const bool isServed = !this->refused.contains(rank);
            if (isServed || !this->isSilent) {
                (isServed ? recordOwnResponse : recordOwnFailure)(election, this->now);
                this->tellOthers(rank, isServed);
            }
        }
        this->now += STEP;
    }

    /// Runs until an instance reads. Returns how long it took.
    Core::Duration timeUntilRead()
    {
        const auto start = this->now;
        do {
            this->step();
        } while (!this->isReadByAnyone() && this->now - start < 20s);
        return this->now - start;
    }

    void runFor(Core::Duration duration)
    {
        for (const auto end = this->now + duration; this->now < end;) {
            this->step();
        }
    }

    bool isReadByAnyone() const
    {
        return std::ranges::any_of(this->elections, [this](const ReaderElection &election) {
            return isReader(election, this->now) && isReading(election, this->now) && !this->refused.contains(election.rank);
        });
    }

    std::vector<std::size_t> readers() const
    {
        std::vector<std::size_t> ranks;
        for (const auto &election : this->elections) {
            if (isReader(election, this->now)) {
                ranks.push_back(election.rank);
            }
        }
        return ranks;
    }

    std::set<std::size_t> refused;
    bool isSilent{false};
    /// The store refuses each instance that calls it, up to the maximum.
    bool refusesReaders{false};
    std::size_t maximumRefused{0};
    std::size_t calls{0};

private:
    void tellOthers(std::size_t sender, bool isServed)
    {
        for (auto &election : this->elections) {
            if (election.rank != sender && isServed) {
                recordReportedResponse(election, std::to_string(sender), this->now, this->now);
            } else if (election.rank != sender) {
                recordReportedFailure(election, std::to_string(sender), this->now);
            }
        }
    }

    Core::TimePoint now{1h};
    std::vector<ReaderElection> elections;
};

/// Draws which of the instances the store refuses; the preferred one is among them.
std::set<std::size_t> drawRefused(Core::Random &random, std::size_t size, std::size_t count)
{
    std::set<std::size_t> refused{0};
    while (refused.size() < count) {
        refused.insert(random.below(size));
    }
    return refused;
}

} // namespace

TEST(ReaderElection, onlyThePreferredInstanceReadsInCalm)
{
    DataCentre dataCentre(7);
    dataCentre.runFor(10s);
    EXPECT_EQ(dataCentre.readers(), (std::vector<std::size_t>{0}));
    EXPECT_EQ(dataCentre.calls, 10s / STEP);
}

// Guards against review/7: nobody reads while the store refuses some instances, whichever they are and however it refuses them.
TEST(ReaderElection, someoneReadsWhicheverInstancesTheStoreRefuses)
{
    constexpr std::size_t SIZE = 7;
    for (unsigned subset = 0; subset + 1 < (1U << SIZE); ++subset) {
        for (const bool isSilent : {false, true}) {
            DataCentre dataCentre(SIZE);
            dataCentre.runFor(5s);
            dataCentre.isSilent = isSilent;
            for (std::size_t rank = 0; rank < SIZE; ++rank) {
                if ((subset >> rank & 1U) != 0) {
                    dataCentre.refused.insert(rank);
                }
            }
            EXPECT_LE(dataCentre.timeUntilRead(), TAKEOVER_BOUND) << "refused " << subset << (isSilent ? ", silent" : "");
        }
    }
}

// The store has 0.35 of 107 and of 472 instances in three data centres to refuse, and may spend them all on one.
TEST(ReaderElection, someoneReadsInLargeDataCentres)
{
    Core::Random random(44);
    for (const auto &[size, share] : {std::pair<std::size_t, std::size_t>{36, 35}, {36, 18}, {158, 157}, {158, 55}}) {
        for (int draw = 0; draw < 20; ++draw) {
            DataCentre dataCentre(size);
            dataCentre.runFor(5s + STEP * random.below(20));
            dataCentre.isSilent = draw % 2 == 0;
            dataCentre.refused = drawRefused(random, size, share);
            EXPECT_LE(dataCentre.timeUntilRead(), TAKEOVER_BOUND) << size << " instances, draw " << draw;
        }
    }
}

// As the store's stand-in of review/7: whoever calls the store is refused from then on.
TEST(ReaderElection, someoneReadsWhileTheStoreRefusesEachNewReader)
{
    for (const bool isSilent : {false, true}) {
        for (const std::size_t size : {6, 7, 36, 158}) {
            DataCentre dataCentre(size);
            dataCentre.runFor(5s);
            dataCentre.isSilent = isSilent;
            dataCentre.refusesReaders = true;
            dataCentre.maximumRefused = size - 1;
            EXPECT_LE(dataCentre.timeUntilRead(), TAKEOVER_BOUND) << size << " instances" << (isSilent ? ", silent" : "");
        }
    }
}

TEST(ReaderElection, preferredInstanceReadsAgainOnceTheStoreServesIt)
{
    DataCentre dataCentre(7);
    dataCentre.runFor(5s);
    dataCentre.refused = {0, 1, 2};
    dataCentre.runFor(5s);
    EXPECT_EQ(dataCentre.readers(), (std::vector<std::size_t>{0, 3})) << "the preferred instance goes on trying";
    dataCentre.refused.clear();
    dataCentre.runFor(3s);
    EXPECT_EQ(dataCentre.readers(), (std::vector<std::size_t>{0}));
}

// The store may serve an instance on and off; the reader that replaces it stays until it is known to last.
TEST(ReaderElection, roleDoesNotAlternateWhileTheStoreServesThePreferredInstanceOnAndOff)
{
    DataCentre dataCentre(7);
    dataCentre.refused = {0, 1};
    dataCentre.runFor(5s);
    for (int round = 0; round < 10; ++round) {
        dataCentre.refused = {1};
        dataCentre.runFor(400ms);
        EXPECT_TRUE(std::ranges::count(dataCentre.readers(), 2)) << round;
        dataCentre.refused = {0, 1};
        dataCentre.runFor(400ms);
        EXPECT_TRUE(std::ranges::count(dataCentre.readers(), 2)) << round;
        EXPECT_LE(dataCentre.readers().size(), 3U) << round;
    }
}

// Every call of a store that is away is priced, and all instances would call it at once when it is back.
TEST(ReaderElection, fewCallAStoreThatIsAway)
{
    DataCentre dataCentre(158);
    for (std::size_t rank = 0; rank < 158; ++rank) {
        dataCentre.refused.insert(rank);
    }
    dataCentre.runFor(5s);
    dataCentre.calls = 0;
    dataCentre.runFor(10s);
    const auto standing = 2 * (10s / STEP);
    EXPECT_LE(dataCentre.calls, standing + 10s / READER_RETRY_INTERVAL + 1);
    dataCentre.refused = {0, 1};
    EXPECT_LE(dataCentre.timeUntilRead(), READER_RETRY_INTERVAL + STEP);
}

} // namespace Briarbend::Gateway
