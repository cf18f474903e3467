#include "SampleSection.h"

#include <gtest/gtest.h>

namespace Briarbend::Gossip
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Parameters: fleet size, share of lost messages, text size and whether each version rewrites the text.
struct SpreadCase {
    std::size_t size;
    double lossShare;
    std::size_t textBytes;
    bool isRewritten;
};

/// Keeps gtest from printing the parameters as raw bytes in test names.
void PrintTo(const SpreadCase &parameters, std::ostream *stream)
{
    *stream << parameters.size << " instances, " << parameters.lossShare << " lost, " << parameters.textBytes << " bytes"
            << (parameters.isRewritten ? ", rewritten" : "");
}

class SectionSpread : public testing::TestWithParam<SpreadCase>
{
};

TEST_P(SectionSpread, publishedVersionReachesAllInstancesWithinTheLatencyBounds)
{
    const auto &parameters = GetParam();
    // If an instance does not hold a version after 4 s, its delay is recorded as ten seconds.
    std::vector<milliseconds> delays;
    bool isMonotone = true;
    bool isWhole = true;
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
        Fleet fleet{parameters.size, seed};
        fleet.settle();
        fleet.loop.lossShare = parameters.lossShare;
        Core::Random random{seed};
        const std::uint64_t versions = parameters.isRewritten ? 8 : 25;
        for (std::uint64_t version = 1; version <= versions; ++version) {
            auto &origin = *std::next(fleet.nodes.begin(), static_cast<std::ptrdiff_t>(random.below(fleet.nodes.size())));
            std::set<std::string> missing;
            for (auto &[address, node] : fleet.nodes) {
                missing.insert(address);
                node.onChanges = [&, address = address, started = fleet.loop.now, version, held = versionAt(node.state)](
                                     const Changes &changes) mutable {
                    for (const auto &section : changes.sections) {
                        isWhole &= section == sectionText(section.storeVersion, parameters.textBytes, parameters.isRewritten);
                        isMonotone &= section.storeVersion > std::exchange(held, section.storeVersion);
                        if (section.storeVersion == version && missing.erase(address) == 1) {
                            delays.push_back(std::chrono::ceil<milliseconds>(fleet.loop.now - started));
                        }
                    }
                };
            }
            const auto section = sectionText(version, parameters.textBytes, parameters.isRewritten);
            fleet.send(origin.first, publishSection(origin.second.state, section, fleet.loop.now, origin.second.random));
            fleet.timeUntil(
                [&] {
                    return missing.empty();
                },
                seconds{4});
            fleet.run(seconds{2});
            delays.insert(delays.end(), missing.size(), seconds{10});
        }
    }
    EXPECT_TRUE(isMonotone && isWhole);
    std::ranges::sort(delays);
    const auto share = [&](double quantile) {
        return delays[static_cast<std::size_t>(quantile * static_cast<double>(delays.size() - 1))].count();
    };
    std::cout << parameters.size << " instances, " << parameters.lossShare << " lost, " << parameters.textBytes << " bytes"
              << (parameters.isRewritten ? " rewritten" : "") << ": median " << share(0.5) << " ms, 99th percentile " << share(0.99)
              << " ms, maximum " << delays.back().count() << " ms\n";
    EXPECT_LE(share(0.99), 1000);
    EXPECT_LE(delays.back().count(), 4000);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         SectionSpread,
                         testing::Values(SpreadCase{19, 0, 2000, false},
                                         SpreadCase{19, 0.05, 2000, false},
                                         SpreadCase{32, 0, 2000, false},
                                         SpreadCase{32, 0.05, 2000, false},
                                         SpreadCase{32, 0.2, 2000, false},
                                         SpreadCase{32, 0.05, 200'000, true}));

} // namespace Briarbend::Gossip
