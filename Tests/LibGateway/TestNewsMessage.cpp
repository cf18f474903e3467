#include <LibGateway/NewsMessage.h>

#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;

} // namespace

TEST(NewsMessage, changesComeBackAsTheyWereSent)
{
    const Fleet::TargetRecord record{.name = "one",
                                     .startedAtMilliseconds = 1785029705045,
                                     .address = {"10.0.0.1:80"},
                                     .service = {"benches"},
                                     .dataCentre = {"here"},
                                     .version = {"v2"},
                                     .slots = 6,
                                     .isLeaving = true,
                                     .coldLeft = 2500ms};
    const RolloutOrder order{.service = {"benches"},
                             .version = {"v2"},
                             .ramp = 15s,
                             .progress
                             = {.state = RolloutState::Running, .version = {"v2"}, .startedAt = Core::WallTime(7ms), .share = 0.5}};
    ChangesNews news{.kind = ObjectKind::Targets, .previous = 4, .changes = {}};
    news.changes.revision = 9;
    news.changes.changes = {{{.name = "one", .revision = 7, .content = record}, false},
                            {{.name = "benches", .revision = 8, .content = order}, false},
                            {{.name = "there", .revision = 9, .content = Core::DataCentreName{"there"}}, true},
                            {{.name = "broken", .revision = 9, .content = Unreadable{"why"}}, false}};
    const auto decoded = std::get<ChangesNews>(decodeNews(encodeNews(news)));
    EXPECT_EQ(decoded.kind, ObjectKind::Targets);
    EXPECT_EQ(decoded.previous, 4U);
    EXPECT_EQ(decoded.changes.revision, 9U);
    ASSERT_EQ(decoded.changes.changes.size(), 4U);
    EXPECT_EQ(std::get<Fleet::TargetRecord>(decoded.changes.changes[0].object.content), record);
    EXPECT_EQ(std::get<RolloutOrder>(decoded.changes.changes[1].object.content).progress, order.progress);
    EXPECT_TRUE(decoded.changes.changes[2].isRemoved);
    EXPECT_TRUE(std::holds_alternative<Unreadable>(decoded.changes.changes[3].object.content));
}

TEST(NewsMessage, heartbeatsComeBackAsTheyWereSent)
{
    const auto decoded = std::get<NewsHeartbeat>(
        decodeNews(encodeNews(NewsHeartbeat{.latest = {1, 2, 3, 4}, .positions = {5, 6, 7, 8}, .storeSilence = 250ms})));
    EXPECT_EQ(decoded.latest, (KindRevisions{1, 2, 3, 4}));
    EXPECT_EQ(decoded.positions, (KindRevisions{5, 6, 7, 8}));
    EXPECT_EQ(decoded.storeSilence, 250ms);
}

TEST(NewsMessage, otherBytesAreAnError)
{
    for (const std::string bytes : {"", "x", "\x80", "\x83\x18\x63\x01\x01"}) {
        EXPECT_THROW(decodeNews(bytes), std::exception);
    }
}

} // namespace Briarbend::Gateway
