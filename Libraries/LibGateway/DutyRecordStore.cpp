#include <LibGateway/DutyRecordStore.h>

#include <LibCore/BoundedJson.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

namespace
{

using Json = nlohmann::json;

/// Throws std::exception if the content is no record of a duty.
Duties::StoredRecord storedDuty(const SharedRecord &shared)
{
    return {.record = decodeDutyRecord(shared.content), .version = {.era = shared.revision.era, .number = shared.revision.number}};
}

/// Nothing if the content is no record of a duty.
std::optional<Duties::StoredRecord> shownDuty(const std::optional<SharedRecord> &shared)
{
    try {
        return shared ? std::optional(storedDuty(*shared)) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string encodeDutyRecord(const Duties::DutyRecord &record)
{
    const Json json{{"token", record.token},
                    {"holder", record.holder},
                    {"process", record.process},
                    {"window", record.window},
                    {"counts", record.counts}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Duties::DutyRecord decodeDutyRecord(std::string_view text)
{
    const auto json = Core::parseJson(text);
    return {.token = json.at("token").get<std::uint64_t>(),
            .holder = json.at("holder").get<std::string>(),
            .process = json.at("process").get<std::string>(),
            .window = json.at("window").get<Duties::WindowIndex>(),
            .counts = json.at("counts").get<Duties::Counts>()};
}

DutyRecordStore::DutyRecordStore(RecordStore &recordStore)
    : records(recordStore)
{
}

boost::asio::awaitable<Duties::ReadResult> DutyRecordStore::readDuty()
{
    const auto result = co_await this->records.readRecord(RecordName::UsageDuty, Freshness::Linearizable);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        co_return Duties::NoResponse{failure->reason};
    }
    const auto *shared = std::get_if<SharedRecord>(&result);
    if (shared == nullptr) {
        co_return Duties::RecordAbsent{};
    }
    try {
        co_return storedDuty(*shared);
    } catch (const std::exception &exception) {
        co_return Duties::NoResponse{exception.what()};
    }
}

boost::asio::awaitable<Duties::WriteResult> DutyRecordStore::writeDuty(Duties::WriteRecord write)
{
    std::optional<Revision> expected;
    if (write.expected) {
        expected = Revision{.era = write.expected->era, .number = write.expected->number};
    }
    const auto result = co_await this->records.writeRecord(RecordName::UsageDuty, expected, encodeDutyRecord(write.record));
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        co_return Duties::NoResponse{failure->reason};
    }
    if (const auto *conflict = std::get_if<RecordConflict>(&result)) {
        co_return Duties::RecordConflict{shownDuty(conflict->current)};
    }
    const auto &revision = std::get<Written>(result).revision;
    co_return Duties::RecordWritten{{.era = revision.era, .number = revision.number}};
}

} // namespace Briarbend::Gateway
