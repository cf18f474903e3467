#include <Tests/Processes/Support/LoadRun.h>

#include <algorithm>
#include <future>
#include <gtest/gtest.h>
#include <ranges>

namespace Briarbend::Processes
{

namespace
{

constexpr std::chrono::seconds IN_FORCE_BOUND{4};
constexpr const char *DOCUMENT = "[[team.operators.service.pattern.route]]\npath = \"/\"\nkind = \"idempotent\"\n"
                                 "[team.operators.data_centre.sfax-1]\nstate = \"in\"\n";

/// Reads the version of all instances again and again and notes where one goes back.
class Watch
{
public:
    explicit Watch(const Cluster &watched)
        : cluster(watched)
        , versions(watched.instances.size(), 0)
    {
    }

    bool areAllAtLeast(std::uint64_t version)
    {
        std::size_t index = 0;
        for (const auto &instance : this->cluster.instances) {
            const auto read = versionInForce(instance, "operators");
            this->hasGoneBack = this->hasGoneBack || read < this->versions[index];
            this->versions[index++] = read;
        }
        return std::ranges::all_of(this->versions, [version](std::uint64_t seen) {
            return seen >= version;
        });
    }

    bool hasGoneBack{false};

private:
    const Cluster &cluster;
    std::vector<std::uint64_t> versions;
};

class ConfigurationInForce : public testing::Test
{
protected:
    void expectInForce(std::uint64_t version)
    {
        const auto isInForce = [this, version] {
            return this->watch.areAllAtLeast(version);
        };
        EXPECT_TRUE(eventually(isInForce, IN_FORCE_BOUND)) << "version " << version;
        EXPECT_FALSE(this->watch.hasGoneBack);
    }

    Cluster cluster{{.dataCentres = {"sfax-1"}, .targetsPerDataCentre = 1, .instances = 8, .configuration = DOCUMENT, .moreSettings = {}}};
    Watch watch{cluster};
};

} // namespace

TEST_F(ConfigurationInForce, everywhereWithinFourSecondsWhileWritersRaceAndNeverAnOlderOne)
{
    constexpr int WRITERS = 4;
    constexpr int CHANGES = 25;
    std::vector<std::future<std::uint64_t>> writers(WRITERS);
    std::ranges::generate(writers, [this] {
        return std::async(std::launch::async, [this] {
            std::uint64_t last = 0;
            for (int change = 0; change < CHANGES; ++change) {
                last = this->cluster.applyConfiguration(DOCUMENT);
                pauseBetweenChecks();
            }
            return last;
        });
    });
    std::uint64_t highest = 0;
    for (auto &writer : writers) {
        while (writer.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            this->watch.areAllAtLeast(0);
        }
        highest = std::max(highest, writer.get());
    }
    this->expectInForce(highest);
}

TEST_F(ConfigurationInForce, everywhereWithinFourSecondsWithTheStoreDownOnceOneInstanceHasIt)
{
    const auto version = this->cluster.applyConfiguration(DOCUMENT);
    const auto isSeen = [this, version] {
        return std::ranges::any_of(this->cluster.instances, [version](const EntryInstance &instance) {
            return versionInForce(instance, "operators") >= version;
        });
    };
    ASSERT_TRUE(eventually(isSeen, IN_FORCE_BOUND));
    this->cluster.controlStore({{"outage", true}});
    this->expectInForce(version);
}

TEST_F(ConfigurationInForce, everywhereWithinFourSecondsWithTheStoreDownRightAfterAcceptance)
{
    const auto version = this->cluster.applyAsOperator(std::string(DOCUMENT) + "\n# changed\n");
    this->cluster.controlStore({{"outage", true}});
    this->expectInForce(version);
}

} // namespace Briarbend::Processes
