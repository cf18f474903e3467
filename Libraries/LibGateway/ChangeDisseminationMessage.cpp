#include <LibCore/BoundedJson.h>
#include <LibGateway/ChangeDisseminationMessage.h>
#include <LibGateway/RoutingConfigurationMessage.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Gateway
{

namespace
{

using Json = nlohmann::json;

/// Identifies the alternative of ChangeDisseminationMessage; the first value of a message.
enum class MessageTag {
    Changes,
    Heartbeat,
    SnapshotRequest,
    Snapshot,
};

/// Positions in a heartbeat of what earlier versions of the program leave out.
constexpr std::size_t LINEARIZABLE_INDEX = 6;
constexpr std::size_t SENDER_INDEX = 7;

/// Identifies the alternative of Content.
enum class ContentTag {
    Unreadable,
    Target,
    Rollout,
    DataCentre,
    RoutingConfiguration,
};

Json encodeRevision(const Revision &revision)
{
    return Json::array({revision.era, revision.number});
}

Revision decodeRevision(const Json &value)
{
    return {.era = value.at(0).get<std::uint64_t>(), .number = value.at(1).get<std::uint64_t>()};
}

Json encodeRevisions(const KindRevisions &revisions)
{
    auto row = Json::array();
    std::ranges::transform(revisions, std::back_inserter(row), encodeRevision);
    return row;
}

KindRevisions decodeRevisions(const Json &row)
{
    KindRevisions revisions;
    for (std::size_t index = 0; index < OBJECT_KIND_COUNT; ++index) {
        revisions[index] = decodeRevision(row.at(index));
    }
    return revisions;
}

Json encodeTarget(const Fleet::TargetRecord &record)
{
    return Json::array({ContentTag::Target,
                        record.startedAtMilliseconds,
                        record.address.value,
                        record.service.value,
                        record.dataCentre.value,
                        record.version.value,
                        record.slots,
                        record.isLeaving,
                        record.coldLeft.count()});
}

Fleet::TargetRecord decodeTarget(const std::string &name, const Json &row)
{
    return {.name = name,
            .startedAtMilliseconds = row.at(1).get<std::int64_t>(),
            .address = {row.at(2).get<std::string>()},
            .service = {row.at(3).get<std::string>()},
            .dataCentre = {row.at(4).get<std::string>()},
            .version = {row.at(5).get<std::string>()},
            .slots = row.at(6).get<std::uint32_t>(),
            .isLeaving = row.at(7).get<bool>(),
            .coldLeft = std::chrono::milliseconds(row.at(8).get<std::int64_t>())};
}

Json encodeRollout(const RolloutOrder &order)
{
    return Json::array({ContentTag::Rollout,
                        order.service.value,
                        order.version.value,
                        order.ramp.count(),
                        order.progress.state,
                        order.progress.version.value,
                        order.progress.startedAt.time_since_epoch().count(),
                        order.progress.share});
}

RolloutOrder decodeRollout(const Json &row)
{
    return {.service = {row.at(1).get<std::string>()},
            .version = {row.at(2).get<std::string>()},
            .ramp = std::chrono::milliseconds(row.at(3).get<std::int64_t>()),
            .progress = {.state = row.at(4).get<RolloutState>(),
                         .version = {row.at(5).get<std::string>()},
                         .startedAt = Core::WallTime(std::chrono::milliseconds(row.at(6).get<std::int64_t>())),
                         .share = row.at(7).get<double>()}};
}

struct ContentEncoder {
    Json operator()(const Unreadable &unreadable) const
    {
        return Json::array({ContentTag::Unreadable, unreadable.reason});
    }

    Json operator()(const Fleet::RoutingConfiguration &plan) const
    {
        return Json::array({ContentTag::RoutingConfiguration, encodeRoutingConfiguration(plan)});
    }

    Json operator()(const Fleet::TargetRecord &record) const
    {
        return encodeTarget(record);
    }

    Json operator()(const RolloutOrder &order) const
    {
        return encodeRollout(order);
    }

    Json operator()(const Core::DataCentreName &dataCentre) const
    {
        return Json::array({ContentTag::DataCentre, dataCentre.value});
    }
};

Content decodeContent(const std::string &name, const Json &row)
{
    switch (row.at(0).get<ContentTag>()) {
    case ContentTag::Unreadable:
        return Unreadable{row.at(1).get<std::string>()};
    case ContentTag::Target:
        return decodeTarget(name, row);
    case ContentTag::Rollout:
        return decodeRollout(row);
    case ContentTag::DataCentre:
        return Core::DataCentreName{row.at(1).get<std::string>()};
    case ContentTag::RoutingConfiguration:
        return decodeRoutingConfiguration(row.at(1));
    }
    throw std::invalid_argument("unknown content");
}

Json encodeObject(const StoredObject &object)
{
    return Json::array({object.name, encodeRevision(object.revision), std::visit(ContentEncoder{}, object.content)});
}

StoredObject decodeObject(const Json &row)
{
    const auto name = row.at(0).get<std::string>();
    return {.name = name, .revision = decodeRevision(row.at(1)), .content = decodeContent(name, row.at(2))};
}

Json encodeChange(const Change &change)
{
    return Json::array({encodeObject(change.object), change.isRemoved});
}

Change decodeChange(const Json &row)
{
    return {.object = decodeObject(row.at(0)), .isRemoved = row.at(1).get<bool>(), .mayBeOutdated = false};
}

ObjectKind decodeKind(const Json &value)
{
    const auto number = value.get<std::size_t>();
    if (number >= OBJECT_KIND_COUNT) {
        throw std::invalid_argument("unknown kind of object");
    }
    return static_cast<ObjectKind>(number);
}

struct MessageEncoder {
    Json operator()(const ChangeNotification &news) const
    {
        auto changes = Json::array();
        std::ranges::transform(news.changes.changes, std::back_inserter(changes), encodeChange);
        return Json::array({MessageTag::Changes,
                            news.kind,
                            encodeRevision(news.previous),
                            encodeRevision(news.changes.revision),
                            std::move(changes),
                            news.sourceDataCentre.value});
    }

    Json operator()(const WatcherHeartbeat &heartbeat) const
    {
        return Json::array({MessageTag::Heartbeat,
                            encodeRevisions(heartbeat.latest),
                            encodeRevisions(heartbeat.positions),
                            heartbeat.timeSinceStoreResponse.count(),
                            heartbeat.activeForDataCentre.value,
                            heartbeat.kindsAheadOfStore,
                            heartbeat.isLinearizable,
                            heartbeat.sender});
    }

    Json operator()(const SnapshotRequest &request) const
    {
        return Json::array({MessageTag::SnapshotRequest, request.requester, request.kinds});
    }

    Json operator()(const Snapshot &snapshot) const
    {
        auto objects = Json::array();
        std::ranges::transform(snapshot.listing.objects, std::back_inserter(objects), encodeObject);
        return Json::array(
            {MessageTag::Snapshot, snapshot.kind, encodeRevision(snapshot.listing.revision), std::move(objects), snapshot.isAsListed});
    }
};

ChangeNotification decodeChangeNotification(const Json &row)
{
    ChangeNotification news{.kind = decodeKind(row.at(1)), .previous = decodeRevision(row.at(2)), .changes = {}, .sourceDataCentre = {}};
    news.changes.revision = decodeRevision(row.at(3));
    std::ranges::transform(row.at(4), std::back_inserter(news.changes.changes), decodeChange);
    news.sourceDataCentre = {row.at(5).get<std::string>()};
    return news;
}

WatcherHeartbeat decodeHeartbeat(const Json &row)
{
    WatcherHeartbeat heartbeat{.latest = decodeRevisions(row.at(1)),
                               .positions = decodeRevisions(row.at(2)),
                               .timeSinceStoreResponse = std::chrono::milliseconds(row.at(3).get<std::int64_t>()),
                               .activeForDataCentre = {row.at(4).get<std::string>()},
                               .kindsAheadOfStore = {},
                               .isLinearizable = row.size() > LINEARIZABLE_INDEX && row.at(LINEARIZABLE_INDEX).get<bool>(),
                               .sender = row.size() > SENDER_INDEX ? row.at(SENDER_INDEX).get<std::string>() : std::string{}};
    std::ranges::transform(row.at(5), std::back_inserter(heartbeat.kindsAheadOfStore), decodeKind);
    return heartbeat;
}

SnapshotRequest decodeSnapshotRequest(const Json &row)
{
    SnapshotRequest request{.requester = row.at(1).get<std::string>(), .kinds = {}};
    std::ranges::transform(row.at(2), std::back_inserter(request.kinds), decodeKind);
    return request;
}

Snapshot decodeSnapshot(const Json &row)
{
    Snapshot snapshot{.kind = decodeKind(row.at(1)),
                      .listing = {.objects = {}, .revision = decodeRevision(row.at(2))},
                      .isAsListed = row.at(4).get<bool>()};
    std::ranges::transform(row.at(3), std::back_inserter(snapshot.listing.objects), decodeObject);
    return snapshot;
}

} // namespace

std::string encodeChangeDissemination(const ChangeDisseminationMessage &message)
{
    std::string bytes;
    Json::to_cbor(std::visit(MessageEncoder{}, message), bytes);
    return bytes;
}

ChangeDisseminationMessage decodeChangeDissemination(std::string_view bytes)
{
    const auto row = Core::parseCbor(bytes);
    switch (row.at(0).get<MessageTag>()) {
    case MessageTag::Changes:
        return decodeChangeNotification(row);
    case MessageTag::Heartbeat:
        return decodeHeartbeat(row);
    case MessageTag::SnapshotRequest:
        return decodeSnapshotRequest(row);
    case MessageTag::Snapshot:
        return decodeSnapshot(row);
    }
    throw std::invalid_argument("unknown message");
}

} // namespace Briarbend::Gateway
