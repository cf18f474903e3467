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
Json packed(const Range &values)
{
    std::vector<std::uint8_t> bytes;
    std::ranges::for_each(values, [&bytes](std::uint32_t value) {
        appendLittleEndian(bytes, value);
    });
    return Json::binary(std::move(bytes));
}

Json encodeNews(const Membership::MemberNews &news)
{
    Json encoded{news.id.value, news.address.value, news.dataCentre.value, news.incarnation, static_cast<int>(news.state)};
    if (news.linkMegabits > 0) {
        encoded.push_back(news.linkMegabits);
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
        bytes.push_back(encodeAge(age.proven));
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

/// Seven bits a byte, the lowest first; the highest bit tells that more follow.
Json packCounts(const std::array<std::uint32_t, EVIDENCE_LATENCY_BUCKETS> &counts)
{
    std::vector<std::uint8_t> bytes;
    for (auto count : counts) {
        while (count > LOW_BITS) {
            bytes.push_back(static_cast<std::uint8_t>((count & LOW_BITS) | MORE_FOLLOWS));
            count >>= BITS_PER_BYTE;
        }
        bytes.push_back(static_cast<std::uint8_t>(count));
    }
    return Json::binary(std::move(bytes));
}

struct RecordEncoder {
    Json operator()(const VerdictRecord &record) const
    {
        const auto &rollout = record.rollout;
        return {rollout.service.value,
                rollout.from.value,
                rollout.to.value,
                rollout.start.time_since_epoch().count(),
                static_cast<int>(record.outcome),
                record.step};
    }
    Json operator()(const QuarantineRecord &record) const
    {
        return {record.fingerprint, record.brokenTarget.value};
    }
    Json operator()(const WarmUpStateRecord &record) const
    {
        return {record.start.value, record.epoch, record.isWarm};
    }
    Json operator()(const WarmthRecord &record) const
    {
        return {record.start.value, record.member.value, record.epoch, record.completedRequests};
    }
    Json operator()(const EvidenceRecord &record) const
    {
        return {record.key.member, record.sequence, record.requests, record.failures, packCounts(record.latencyCounts)};
    }
};

Json encodeSubject(const EvidenceSubject &subject)
{
    return {subject.service.value, subject.version.value, subject.routePrefix, subject.loadBucket};
}

Json encodeRecord(const CarriedRecord &carried)
{
    return {carried.record.index(), carried.remaining.count(), std::visit(RecordEncoder{}, carried.record)};
}

/// A subject is written once, before the records of its members.
Json encodeRecords(const std::vector<CarriedRecord> &records)
{
    auto list = Json::array();
    std::optional<EvidenceSubject> subject;
    for (const auto &carried : records) {
        const auto *evidence = std::get_if<EvidenceRecord>(&carried.record);
        if (evidence != nullptr && subject != evidence->key.subject) {
            subject = evidence->key.subject;
            list.push_back(encodeSubject(*subject));
        }
        list.push_back(encodeRecord(carried));
    }
    return list;
}

Json encodeSectionNews(const SectionNews &news)
{
    auto fields = Json::array({news.team.value, news.storeVersion, news.baseVersion});
    if (news.baseVersion != 0) {
        fields.insert(fields.end(), {news.prefixLength, news.suffixLength, news.middle, news.textHash});
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
        return {static_cast<int>(compare.kind), packed(compare.digests)};
    }
    Json operator()(const CompareRecords &compare) const
    {
        std::vector<std::uint32_t> hashes;
        for (const auto &digest : compare.records) {
            hashes.push_back(digest.keyHash);
            hashes.push_back(digest.contentHash);
        }
        return {static_cast<int>(compare.kind), compare.buckets, compare.firstKeyHash, compare.lastKeyHash, packed(hashes)};
    }
    Json operator()(const RequestRecords &request) const
    {
        return {static_cast<int>(request.kind), packed(request.keyHashes)};
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
                                       encodeNews(membership.sender),
                                       membership.isConfirmed,
                                       membership.isInformed,
                                       tagged(membership.body, BodyEncoder{}),
                                       listOf(membership.news, encodeNews),
                                       packed(envelope.summaries),
                                       listOf(envelope.sections, encodeSectionNews),
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

std::size_t encodedSize(const SectionNews &news)
{
    return Json::to_cbor(encodeSectionNews(news)).size();
}

} // namespace Briarbend::Gossip
