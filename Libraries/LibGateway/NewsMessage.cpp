#include <LibGateway/NewsMessage.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Gateway
{

namespace
{

using Json = nlohmann::json;

/// Tells the alternatives of Content apart.
enum class ContentTag {
    Unreadable,
    Target,
    Rollout,
    DataCentre,
};

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

Json encodeContent(const Content &content)
{
    if (const auto *record = std::get_if<Fleet::TargetRecord>(&content)) {
        return encodeTarget(*record);
    }
    if (const auto *order = std::get_if<RolloutOrder>(&content)) {
        return encodeRollout(*order);
    }
    if (const auto *dataCentre = std::get_if<Core::DataCentreName>(&content)) {
        return Json::array({ContentTag::DataCentre, dataCentre->value});
    }
    const auto *unreadable = std::get_if<Unreadable>(&content);
    return Json::array({ContentTag::Unreadable, unreadable == nullptr ? "content that is not passed on" : unreadable->reason});
}

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
    }
    throw std::invalid_argument("unknown content");
}

Json encodeChange(const Change &change)
{
    return Json::array({change.object.name, change.object.revision, change.isRemoved, encodeContent(change.object.content)});
}

Change decodeChange(const Json &row)
{
    const auto name = row.at(0).get<std::string>();
    return {.object = {.name = name, .revision = row.at(1).get<Revision>(), .content = decodeContent(name, row.at(3))},
            .isRemoved = row.at(2).get<bool>()};
}

ObjectKind decodeKind(const Json &value)
{
    const auto number = value.get<std::size_t>();
    if (number >= OBJECT_KINDS) {
        throw std::invalid_argument("unknown kind of object");
    }
    return static_cast<ObjectKind>(number);
}

} // namespace

std::string encodeNews(const NewsMessage &message)
{
    Json row;
    if (const auto *heartbeat = std::get_if<NewsHeartbeat>(&message)) {
        row = Json::array({heartbeat->latest, heartbeat->positions, heartbeat->storeSilence.count()});
    } else {
        const auto &news = std::get<ChangesNews>(message);
        auto changes = Json::array();
        std::ranges::transform(news.changes.changes, std::back_inserter(changes), encodeChange);
        row = Json::array({news.kind, news.previous, news.changes.revision, std::move(changes)});
    }
    std::string bytes;
    Json::to_cbor(row, bytes);
    return bytes;
}

NewsMessage decodeNews(std::string_view bytes)
{
    constexpr std::size_t HEARTBEAT_FIELDS = 3;
    const auto row = Json::from_cbor(bytes);
    if (row.size() == HEARTBEAT_FIELDS) {
        return NewsHeartbeat{.latest = row.at(0).get<KindRevisions>(),
                             .positions = row.at(1).get<KindRevisions>(),
                             .storeSilence = std::chrono::milliseconds(row.at(2).get<std::int64_t>())};
    }
    ChangesNews news{.kind = decodeKind(row.at(0)), .previous = row.at(1).get<Revision>(), .changes = {}};
    news.changes.revision = row.at(2).get<Revision>();
    std::ranges::transform(row.at(3), std::back_inserter(news.changes.changes), decodeChange);
    return news;
}

} // namespace Briarbend::Gateway
