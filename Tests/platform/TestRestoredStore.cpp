#include <LibGateway/Reflector.h>
#include <Tests/Soak/SoakStore.h>
#include <platform/StoreClient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Platform
{

namespace
{

using namespace std::chrono_literals;
using namespace Gateway;
namespace Asio = boost::asio;

nlohmann::json configuration(std::uint64_t version)
{
    return {{"version", version}, {"routes", nlohmann::json::object()}, {"services", nlohmann::json::object()}};
}

/// A reflector of the routing configuration that reads a store which may be restored from a copy.
class RestoredStoreTest : public testing::Test
{
protected:
    RestoredStoreTest()
    {
        this->store.put("config", "main", configuration(1));
        this->store.takeCopy();
        this->store.put("config", "main", configuration(2));
        Asio::co_spawn(this->context, this->reflector.follow(), Asio::detached);
        this->context.run_for(500ms);
    }

    void record(const ChangeBatch &batch)
    {
        for (const auto &change : batch.newer.changes) {
            if (const auto *content = std::get_if<Fleet::RoutingConfiguration>(&change.object.content)) {
                this->versions.push_back(content->version);
            }
        }
    }

    Asio::io_context context;
    Soak::SoakStore store{this->context};
    StoreClient client{this->context.get_executor(), this->store.endpoint()};
    Core::Random random{5};
    std::vector<std::uint64_t> versions;
    Reflector reflector{this->context,
                        this->client,
                        this->random,
                        ObjectKind::RoutingConfiguration,
                        1s,
                        {.onChanges =
                             [this](const ChangeBatch &batch) {
                                 this->record(batch);
                             },
                         .onListing = [](const Listing &) {},
                         .mode =
                             [](Revision) {
                                 return ReflectorMode::Watch;
                             },
                         .onResponse = [] {},
                         .onFailure = [](const std::string &) {}}};
};

} // namespace

// CONFIG: a configuration that was written at a revision given out for the second time was taken for a known one and never applied.
TEST_F(RestoredStoreTest, configurationAtARevisionThatIsGivenOutAgainIsApplied)
{
    ASSERT_EQ(this->versions, (std::vector<std::uint64_t>{2}));
    this->store.restore();
    this->context.run_for(600ms);
    this->store.put("config", "main", configuration(3));
    this->context.run_for(600ms);
    ASSERT_FALSE(this->versions.empty());
    EXPECT_EQ(this->versions.back(), 3U);
}

// CONFIG: a change after the restore that reaches the former revision was missed where no call was made in between.
TEST_F(RestoredStoreTest, configurationWrittenBeforeTheFirstCallAfterTheRestoreIsApplied)
{
    this->store.restore();
    this->store.put("config", "main", configuration(3));
    this->context.run_for(600ms);
    EXPECT_EQ(this->versions.back(), 3U);
}

// CONFIG: a listing of the restored store was taken for one of a stale replica and requested again without end.
TEST_F(RestoredStoreTest, restoredStoreIsListedOnce)
{
    this->store.restore();
    this->store.calls = 0;
    this->context.run_for(900ms);
    // The watch that was cut off, the listing, and the watch after it.
    EXPECT_LE(this->store.calls, 4U);
}

} // namespace Briarbend::Platform
