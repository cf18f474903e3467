#include <LibGossip/Codec.h>

#include <LibGossip/Wire.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Briarbend::Gossip
{

namespace
{

using Json = nlohmann::json;

template<typename Range, typename Encoder>
Json listOf(const Range &range, const Encoder &encoder)
{
    auto list = Json::array();
    std::ranges::transform(range, std::back_inserter(list), encoder);
    return list;
}

void appendLittleEndian(std::vector<std::uint8_t> &bytes, std::uint32_t value)
{
    for (std::size_t index = 0; index < sizeof value; ++index) {
        bytes.push_back(static_cast<std::uint8_t>(value >> (8 * index)));
    }
}

template<typename Range>
Json packLittleEndian(const Range &values)
{
    std::vector<std::uint8_t> bytes;
    std::ranges::for_each(values, [&bytes](std::uint32_t value) {
        appendLittleEndian(bytes, value);
    });
    return Json::binary(std::move(bytes));
}

Json encodeMemberUpdate(const Membership::MemberUpdate &update)
{
    Json encoded{update.id.value, update.address.value, update.dataCentre.value, update.incarnation, static_cast<int>(update.state)};
    if (update.linkMegabits > 0) {
        encoded.push_back(update.linkMegabits);
    }
    return encoded;
}

std::uint8_t encodeAge(std::chrono::milliseconds age)
{
    return static_cast<std::uint8_t>(std::min(age, Membership::MAX_HEARD_AGE) / Membership::HEARD_AGE_UNIT);
}

Json encodeAges(const std::vector<Membership::HeardAge> &ages)
{
    std::vector<std::uint8_t> bytes;
    for (const auto &age : ages) {
        appendLittleEndian(bytes, age.memberHash);
        bytes.push_back(encodeAge(age.heard));
        bytes.push_back(encodeAge(age.acknowledged));
    }
    return Json::binary(std::move(bytes));
}

struct BodyEncoder {
    Json operator()(std::monostate) const
    {
        return Json::array();
    }
    Json operator()(const Membership::Ping &ping) const
    {
        return {ping.sequence, ping.wantsMembers, encodeAges(ping.ages)};
    }
    Json operator()(const Membership::Acknowledgement &acknowledgement) const
    {
        return {acknowledgement.sequence, encodeAges(acknowledgement.ages)};
    }
    Json operator()(const Membership::PingRequest &request) const
    {
        return {request.sequence, request.target.value};
    }
    Json operator()(const Membership::IndirectAcknowledgement &acknowledgement) const
    {
        return {acknowledgement.sequence, acknowledgement.target.value};
    }
};

/// Encodes each count as an unsigned LEB128 varint: seven bits per byte, least significant group first, with the highest bit set on all
/// bytes but the last.
Json encodeVarints(const std::array<std::uint32_t, LATENCY_HISTOGRAM_BUCKETS> &counts)
{
    std::vector<std::uint8_t> bytes;
    for (auto count : counts) {
        while (count > VARINT_PAYLOAD_MASK) {
            bytes.push_back(static_cast<std::uint8_t>((count & VARINT_PAYLOAD_MASK) | VARINT_CONTINUATION_BIT));
            count >>= VARINT_BITS_PER_BYTE;
        }
        bytes.push_back(static_cast<std::uint8_t>(count));
    }
    return Json::binary(std::move(bytes));
}

struct RecordEncoder {
    Json operator()(const RolloutProgressRecord &record) const
    {
        const auto &rollout = record.rollout;
        return {rollout.service.value,
                rollout.from.value,
                rollout.to.value,
                rollout.start.time_since_epoch().count(),
                static_cast<int>(record.phase),
                record.step};
    }
    Json operator()(const QuarantineRecord &record) const
    {
        return {record.fingerprint, record.failedTarget.value};
    }
    Json operator()(const WarmUpStateRecord &record) const
    {
        return {record.start.value, record.epoch, record.isWarm};
    }
    Json operator()(const WarmUpProgressRecord &record) const
    {
        return {record.start.value, record.member.value, record.epoch, record.completedRequests};
    }
    Json operator()(const RequestStatsRecord &record) const
    {
        return {record.key.member, record.sequence, record.requests, record.failures, encodeVarints(record.latencyCounts)};
    }
};

Json encodeScope(const RequestStatsScope &scope)
{
    return {scope.service.value, scope.version.value, scope.routePrefix, scope.loadBucket};
}

Json encodeRecord(const CarriedRecord &carried)
{
    return {carried.record.index(), carried.remaining.count(), std::visit(RecordEncoder{}, carried.record)};
}

/// Writes each scope once, before the records of its members.
Json encodeRecords(const std::vector<CarriedRecord> &records)
{
    auto list = Json::array();
    std::optional<RequestStatsScope> scope;
    for (const auto &carried : records) {
        const auto *requestStats = std::get_if<RequestStatsRecord>(&carried.record);
        if (requestStats != nullptr && scope != requestStats->key.scope) {
            scope = requestStats->key.scope;
            list.push_back(encodeScope(*scope));
        }
        list.push_back(encodeRecord(carried));
    }
    return list;
}

Json encodeSectionUpdate(const SectionUpdate &update)
{
    auto fields = Json::array({update.team.value, update.storeVersion, update.baseVersion});
    if (update.baseVersion != 0) {
        fields.insert(fields.end(), {update.prefixLength, update.suffixLength, update.middle, update.textHash});
    }
    return fields;
}

struct ExchangeEncoder {
    Json operator()(std::monostate) const
    {
        return Json::array();
    }
    Json operator()(const CompareBuckets &compare) const
    {
        return {static_cast<int>(compare.kind), packLittleEndian(compare.digests)};
    }
    Json operator()(const CompareRecords &compare) const
    {
        std::vector<std::uint32_t> hashes;
        for (const auto &digest : compare.records) {
            hashes.push_back(digest.keyHash);
            hashes.push_back(digest.contentHash);
        }
        return {static_cast<int>(compare.kind), compare.buckets, compare.firstKeyHash, compare.lastKeyHash, packLittleEndian(hashes)};
    }
    Json operator()(const RequestRecords &request) const
    {
        return {static_cast<int>(request.kind), packLittleEndian(request.keyHashes)};
    }
    Json operator()(const RequestSection &request) const
    {
        return {request.team.value, request.storeVersion};
    }
    Json operator()(const DeliverSection &delivery) const
    {
        return {delivery.section.team.value, delivery.section.storeVersion, delivery.section.text};
    }
    Json operator()(const RequestSnapshot &) const
    {
        return Json::array();
    }
};

template<typename Variant, typename Encoder>
Json tagged(const Variant &variant, const Encoder &encoder)
{
    return Json::array({variant.index(), std::visit(encoder, variant)});
}

} // namespace

std::string encode(const Envelope &envelope)
{
    const auto &membership = envelope.membership;
    const auto document = Json::array({PROTOCOL_VERSION,
                                       encodeMemberUpdate(membership.sender),
                                       membership.isConfirmed,
                                       membership.isInformed,
                                       tagged(membership.body, BodyEncoder{}),
                                       listOf(membership.updates, encodeMemberUpdate),
                                       packLittleEndian(envelope.summaries),
                                       listOf(envelope.sections, encodeSectionUpdate),
                                       encodeRecords(envelope.records),
                                       tagged(envelope.exchange, ExchangeEncoder{})});
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

std::size_t encodedSize(const CarriedRecord &record)
{
    return Json::to_cbor(encodeRecord(record)).size();
}

std::size_t encodedSize(const SectionUpdate &update)
{
    return Json::to_cbor(encodeSectionUpdate(update)).size();
}

} // namespace Briarbend::Gossip
