#include <LibGossip/DecodeRecords.h>

#include <LibGossip/Wire.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <span>

namespace Briarbend::Gossip
{

namespace
{

RolloutProgressRecord decodeRolloutProgress(ArrayReader &fields)
{
    RolloutProgressRecord record;
    record.rollout.service.value = fields.text();
    record.rollout.from.value = fields.text();
    record.rollout.to.value = fields.text();
    record.rollout.start = Core::WallTime{std::chrono::milliseconds{fields.signedNumber()}};
    record.phase = fields.enumerator(RolloutPhase::RolledBack);
    record.step = fields.unsignedNumber<std::uint32_t>();
    return record;
}

std::uint32_t decodeVarint(std::span<const std::uint8_t> &bytes)
{
    std::uint64_t count = 0;
    for (int shift = 0; shift <= 4 * VARINT_BITS_PER_BYTE && !bytes.empty(); shift += VARINT_BITS_PER_BYTE) {
        const auto byte = bytes.front();
        bytes = bytes.subspan(1);
        count |= std::uint64_t{byte & VARINT_PAYLOAD_MASK} << shift;
        if ((byte & VARINT_CONTINUATION_BIT) == 0 && count <= std::numeric_limits<std::uint32_t>::max()) {
            return static_cast<std::uint32_t>(count);
        }
    }
    throw MalformedMessage("varint is truncated or out of range");
}

RequestStatsRecord decodeRequestStats(ArrayReader &fields, const std::optional<RequestStatsScope> &scope)
{
    if (!scope) {
        throw MalformedMessage("request statistics without a preceding scope");
    }
    RequestStatsRecord record;
    record.key.scope = *scope;
    record.key.member = fields.unsignedNumber<std::uint32_t>();
    record.sequence = fields.unsignedNumber<std::uint64_t>();
    record.requests = fields.unsignedNumber<std::uint64_t>();
    record.failures = fields.unsignedNumber<std::uint64_t>();
    std::span<const std::uint8_t> counts = fields.bytes();
    std::ranges::generate(record.latencyCounts, [&counts] {
        return decodeVarint(counts);
    });
    if (!counts.empty()) {
        throw MalformedMessage("more latency counts than histogram buckets");
    }
    return record;
}

RequestStatsScope decodeScope(const nlohmann::json &value)
{
    ArrayReader fields{value};
    RequestStatsScope scope;
    scope.service.value = fields.text();
    scope.version.value = fields.text();
    scope.routePrefix = fields.text();
    scope.loadBucket = fields.unsignedNumber<std::uint8_t>();
    fields.expectEnd();
    return scope;
}

Record decodeRecordFields(std::uint8_t tag, ArrayReader &fields, const std::optional<RequestStatsScope> &scope)
{
    switch (tag) {
    case 0:
        return decodeRolloutProgress(fields);
    case 1: {
        const auto fingerprint = fields.unsignedNumber<std::uint64_t>();
        return QuarantineRecord{fingerprint, {fields.text()}};
    }
    case 2: {
        WarmUpStateRecord warmUpState{{fields.text()}, fields.unsignedNumber<std::uint64_t>(), false};
        warmUpState.isWarm = fields.booleanValue();
        return warmUpState;
    }
    case 3: {
        WarmUpProgressRecord record;
        record.start.value = fields.text();
        record.member.value = fields.text();
        record.epoch = fields.unsignedNumber<std::uint64_t>();
        record.completedRequests = fields.unsignedNumber<std::uint64_t>();
        return record;
    }
    case 4:
        return decodeRequestStats(fields, scope);
    default:
        throw MalformedMessage("unknown record type");
    }
}

CarriedRecord decodeRecord(const nlohmann::json &value, const std::optional<RequestStatsScope> &scope)
{
    ArrayReader tagged{value};
    const auto tag = tagged.unsignedNumber<std::uint8_t>();
    const std::chrono::seconds remaining{tagged.unsignedNumber<std::uint32_t>()};
    ArrayReader fields{tagged.next()};
    tagged.expectEnd();
    CarriedRecord carried{decodeRecordFields(tag, fields, scope), remaining};
    fields.expectEnd();
    return carried;
}

bool isScope(const nlohmann::json &value)
{
    return value.is_array() && !value.empty() && value.front().is_string();
}

} // namespace

std::vector<CarriedRecord> decodeRecords(const nlohmann::json &value)
{
    if (!value.is_array()) {
        throw MalformedMessage("expected an array of records");
    }
    std::vector<CarriedRecord> records;
    std::optional<RequestStatsScope> scope;
    for (const auto &element : value) {
        if (isScope(element)) {
            scope = decodeScope(element);
        } else {
            records.push_back(decodeRecord(element, scope));
        }
    }
    return records;
}

SectionUpdate decodeSectionUpdate(const nlohmann::json &value)
{
    ArrayReader fields{value};
    SectionUpdate update;
    update.team.value = fields.text();
    update.storeVersion = fields.unsignedNumber<std::uint64_t>();
    update.baseVersion = fields.unsignedNumber<std::uint64_t>();
    if (update.baseVersion != 0) {
        update.prefixLength = fields.unsignedNumber<std::uint32_t>();
        update.suffixLength = fields.unsignedNumber<std::uint32_t>();
        update.middle = fields.text();
        update.textHash = fields.unsignedNumber<std::uint64_t>();
    }
    fields.expectEnd();
    return update;
}

} // namespace Briarbend::Gossip
