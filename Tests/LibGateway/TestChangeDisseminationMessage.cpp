#include <LibGateway/ChangeDisseminationMessage.h>
#include <Tests/LibGateway/Revisions.h>

#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;

} // namespace

TEST(ChangeDisseminationMessage, roundTripsChanges)
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
    ChangeNotification news{.kind = ObjectKind::Targets, .previous = at(4), .changes = {}, .sourceDataCentre = {"there"}};
    news.changes.revision = at(9);
    news.changes.changes = {{{.name = "one", .revision = at(7), .content = record}, false},
                            {{.name = "benches", .revision = at(8), .content = order}, false},
                            {{.name = "there", .revision = at(9), .content = Core::DataCentreName{"there"}}, true},
                            {{.name = "broken", .revision = at(9), .content = Unreadable{"why"}}, false}};
    const auto decoded = std::get<ChangeNotification>(decodeChangeDissemination(encodeChangeDissemination(news)));
    EXPECT_EQ(decoded.kind, ObjectKind::Targets);
    EXPECT_EQ(decoded.previous, at(4));
    EXPECT_EQ(decoded.changes.revision, at(9));
    EXPECT_EQ(decoded.sourceDataCentre.value, "there");
    ASSERT_EQ(decoded.changes.changes.size(), 4U);
    EXPECT_EQ(std::get<Fleet::TargetRecord>(decoded.changes.changes[0].object.content), record);
    EXPECT_EQ(std::get<RolloutOrder>(decoded.changes.changes[1].object.content).progress, order.progress);
    EXPECT_TRUE(decoded.changes.changes[2].isRemoved);
    EXPECT_TRUE(std::holds_alternative<Unreadable>(decoded.changes.changes[3].object.content));
}

TEST(ChangeDisseminationMessage, roundTripsHeartbeats)
{
    const auto decoded = std::get<WatcherHeartbeat>(decodeChangeDissemination(
        encodeChangeDissemination(WatcherHeartbeat{.latest = {at(1), at(2), at(3), at(4)},
                                                   .positions = {at(5), at(6), at(7), Revision{.era = 2, .number = 1}},
                                                   .timeSinceStoreResponse = 250ms,
                                                   .activeForDataCentre = {"a"},
                                                   .kindsAheadOfStore = {ObjectKind::Rollouts},
                                                   .isLinearizable = true,
                                                   .sender = "10.0.0.1:7003"})));
    EXPECT_EQ(decoded.latest, (KindRevisions{at(1), at(2), at(3), at(4)}));
    EXPECT_EQ(decoded.positions, (KindRevisions{at(5), at(6), at(7), Revision{.era = 2, .number = 1}}));
    EXPECT_EQ(decoded.timeSinceStoreResponse, 250ms);
    EXPECT_EQ(decoded.activeForDataCentre.value, "a");
    EXPECT_EQ(decoded.kindsAheadOfStore, (std::vector{ObjectKind::Rollouts}));
    EXPECT_TRUE(decoded.isLinearizable);
    EXPECT_EQ(decoded.sender, "10.0.0.1:7003");
}

TEST(ChangeDisseminationMessage, roundTripsSnapshotRequests)
{
    const auto decoded = std::get<SnapshotRequest>(decodeChangeDissemination(encodeChangeDissemination(
        SnapshotRequest{.requester = "10.0.0.1:7000", .kinds = {ObjectKind::RoutingConfiguration, ObjectKind::Rollouts}})));
    EXPECT_EQ(decoded.requester, "10.0.0.1:7000");
    EXPECT_EQ(decoded.kinds, (std::vector{ObjectKind::RoutingConfiguration, ObjectKind::Rollouts}));
}

TEST(ChangeDisseminationMessage, roundTripsRoutingConfiguration)
{
    Fleet::RoutingConfiguration plan;
    plan.version = 17;
    plan.routes = {{.name = "route",
                    .host = "a.example",
                    .pathPrefix = "/x/",
                    .kind = Configuration::RouteKind::Idempotent,
                    .timeout = 1500ms,
                    .objective = 300ms,
                    .maximumSends = 3,
                    .priority = 2,
                    .services = {{{"benches"}, 1}, {{"stores"}, 0.25}}}};
    plan.services[{"benches"}] = {.healthPath = "/healthz", .connectionsPerTarget = 260, .coldRequestsPerSecond = 2.5};
    plan.limits = {.headerBytes = 1, .bodyBytes = 2, .headerTimeout = 3ms, .idleTimeout = 4ms};
    const Snapshot snapshot{.kind = ObjectKind::RoutingConfiguration,
                            .listing = {.objects = {{.name = "main", .revision = at(7), .content = plan}}, .revision = at(9)},
                            .isAsListed = true};
    const auto decoded = std::get<Snapshot>(decodeChangeDissemination(encodeChangeDissemination(snapshot)));
    EXPECT_EQ(decoded.kind, ObjectKind::RoutingConfiguration);
    EXPECT_EQ(decoded.listing.revision, at(9));
    EXPECT_TRUE(decoded.isAsListed);
    ASSERT_EQ(decoded.listing.objects.size(), 1U);
    EXPECT_EQ(decoded.listing.objects[0].name, "main");
    EXPECT_EQ(decoded.listing.objects[0].revision, at(7));
    const auto &received = std::get<Fleet::RoutingConfiguration>(decoded.listing.objects[0].content);
    EXPECT_EQ(received.version, plan.version);
    EXPECT_EQ(received.routes, plan.routes);
    EXPECT_EQ(received.services, plan.services);
    EXPECT_EQ(received.limits, plan.limits);
}

TEST(ChangeDisseminationMessage, rejectsMalformedMessages)
{
    for (const std::string bytes : {"", "x", "\x80", "\x83\x18\x63\x01\x01", "\x83\x02\x61\x78\x81\x09", "\x84\x03\x09\x01\x80"}) {
        EXPECT_THROW(decodeChangeDissemination(bytes), std::exception);
    }
}

} // namespace Briarbend::Gateway
