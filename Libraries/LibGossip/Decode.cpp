#include <LibCore/BoundedJson.h>
#include <LibGossip/Codec.h>

#include <LibGossip/DecodeRecords.h>
#include <LibGossip/Wire.h>

#include <algorithm>

namespace Briarbend::Gossip
{

namespace
{

using Json = nlohmann::json;

/// Array nesting depth of the most deeply nested message.
constexpr int MAX_ARRAY_DEPTH = 6;
/// Size of a member hash and two ages.
constexpr std::size_t ENCODED_AGE_BYTES = 6;

/// Rejects malicious input whose nesting would exhaust the stack, before the document is built. Accepts only the types that messages use.
struct StructureValidator : nlohmann::json_sax<Json> {
    int depth{0};

    bool null() override
    {
        return false;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return false;
    }
    bool string(string_t & /*value*/) override
    {
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return false;
    }
    bool key(string_t & /*value*/) override
    {
        return false;
    }
    bool end_object() override
    {
        return false;
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return ++this->depth <= MAX_ARRAY_DEPTH;
    }
    bool end_array() override
    {
        --this->depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }
};

std::vector<std::uint32_t> unpackLittleEndian(const std::vector<std::uint8_t> &bytes)
{
    constexpr std::size_t WIDTH = sizeof(std::uint32_t);
    if (bytes.size() % WIDTH != 0) {
        throw MalformedMessage("byte string does not hold a whole number of integers");
    }
    std::vector<std::uint32_t> values(bytes.size() / WIDTH, 0);
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        values[index / WIDTH] |= std::uint32_t{bytes[index]} << (8 * (index % WIDTH));
    }
    return values;
}

template<std::size_t SIZE>
std::array<std::uint32_t, SIZE> toFixedArray(const std::vector<std::uint32_t> &values)
{
    if (values.size() != SIZE) {
        throw MalformedMessage("byte string holds an unexpected number of integers");
    }
    std::array<std::uint32_t, SIZE> exact{};
    std::ranges::copy(values, exact.begin());
    return exact;
}

Membership::MemberUpdate decodeMemberUpdate(const Json &value)
{
    ArrayReader fields{value};
    Membership::MemberUpdate update;
    update.id.value = fields.text();
    update.address.value = fields.text();
    update.dataCentre.value = fields.text();
    update.incarnation = fields.unsignedNumber<std::uint64_t>();
    update.state = fields.enumerator(Membership::MemberState::Gone);
    update.linkMegabits = fields.isAtEnd() ? 0 : fields.unsignedNumber<std::uint32_t>();
    fields.expectEnd();
    return update;
}

std::vector<Membership::HeardAge> decodeAges(const std::vector<std::uint8_t> &bytes)
{
    if (bytes.size() % ENCODED_AGE_BYTES != 0) {
        throw MalformedMessage("byte string does not hold a whole number of member ages");
    }
    std::vector<Membership::HeardAge> ages;
    for (auto at = bytes.begin(); at != bytes.end(); at += ENCODED_AGE_BYTES) {
        const auto hash = unpackLittleEndian({at, at + sizeof(std::uint32_t)}).front();
        ages.push_back(
            {hash, Membership::HEARD_AGE_UNIT * at[ENCODED_AGE_BYTES - 2], Membership::HEARD_AGE_UNIT * at[ENCODED_AGE_BYTES - 1]});
    }
    return ages;
}

Membership::Body decodeBody(const Json &value)
{
    ArrayReader tagged{value};
    const auto tag = tagged.unsignedNumber<std::uint8_t>();
    ArrayReader fields{tagged.next()};
    tagged.expectEnd();
    Membership::Body body;
    switch (tag) {
    case 0:
        break;
    case 1: {
        const auto sequence = fields.unsignedNumber<std::uint64_t>();
        const bool wantsMembers = fields.booleanValue();
        body = Membership::Ping{sequence, wantsMembers, decodeAges(fields.bytes())};
        break;
    }
    case 2: {
        const auto sequence = fields.unsignedNumber<std::uint64_t>();
        body = Membership::Acknowledgement{sequence, decodeAges(fields.bytes())};
        break;
    }
    case 3: {
        const auto sequence = fields.unsignedNumber<std::uint64_t>();
        body = Membership::PingRequest{sequence, {fields.text()}};
        break;
    }
    case 4: {
        const auto sequence = fields.unsignedNumber<std::uint64_t>();
        body = Membership::IndirectAcknowledgement{sequence, {fields.text()}};
        break;
    }
    default:
        throw MalformedMessage("unknown membership message type");
    }
    fields.expectEnd();
    return body;
}

CompareRecords decodeCompareRecords(ArrayReader &fields)
{
    CompareRecords compare;
    compare.kind = fields.enumerator(DigestKind::WarmUpStates);
    compare.buckets = fields.unsignedNumber<std::uint32_t>();
    compare.firstKeyHash = fields.unsignedNumber<std::uint32_t>();
    compare.lastKeyHash = fields.unsignedNumber<std::uint32_t>();
    const auto hashes = unpackLittleEndian(fields.bytes());
    if (hashes.size() % 2 != 0) {
        throw MalformedMessage("record digest without content hash");
    }
    for (std::size_t index = 0; index < hashes.size(); index += 2) {
        compare.records.push_back({hashes[index], hashes[index + 1]});
    }
    return compare;
}

Exchange decodeExchangeFields(std::uint8_t tag, ArrayReader &fields)
{
    switch (tag) {
    case 0:
        return std::monostate{};
    case 1: {
        const auto kind = fields.enumerator(DigestKind::WarmUpStates);
        return CompareBuckets{kind, toFixedArray<DIGEST_BUCKETS>(unpackLittleEndian(fields.bytes()))};
    }
    case 2:
        return decodeCompareRecords(fields);
    case 3: {
        const auto kind = fields.enumerator(DigestKind::WarmUpStates);
        return RequestRecords{kind, unpackLittleEndian(fields.bytes())};
    }
    case 4: {
        const Core::TeamName team{fields.text()};
        return RequestSection{team, fields.unsignedNumber<std::uint64_t>()};
    }
    case 5: {
        SectionText section{{fields.text()}, fields.unsignedNumber<std::uint64_t>(), {}};
        section.text = fields.text();
        return DeliverSection{std::move(section)};
    }
    case 6:
        return RequestSnapshot{};
    default:
        throw MalformedMessage("unknown exchange type");
    }
}

Exchange decodeExchange(const Json &value)
{
    ArrayReader tagged{value};
    const auto tag = tagged.unsignedNumber<std::uint8_t>();
    ArrayReader fields{tagged.next()};
    tagged.expectEnd();
    auto exchange = decodeExchangeFields(tag, fields);
    fields.expectEnd();
    return exchange;
}

Envelope decodeEnvelope(const Json &document)
{
    ArrayReader fields{document};
    if (fields.unsignedNumber<std::uint32_t>() != PROTOCOL_VERSION) {
        throw MalformedMessage("unsupported protocol version");
    }
    Envelope envelope;
    envelope.membership.sender = decodeMemberUpdate(fields.next());
    envelope.membership.isConfirmed = fields.booleanValue();
    envelope.membership.isInformed = fields.booleanValue();
    envelope.membership.body = decodeBody(fields.next());
    envelope.membership.updates = fields.list(decodeMemberUpdate);
    envelope.summaries = toFixedArray<DIGEST_KINDS>(unpackLittleEndian(fields.bytes()));
    envelope.sections = fields.list(decodeSectionUpdate);
    envelope.records = decodeRecords(fields.next());
    envelope.exchange = decodeExchange(fields.next());
    fields.expectEnd();
    return envelope;
}

} // namespace

Envelope decode(std::string_view bytes)
{
    StructureValidator check;
    if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor)) {
        throw MalformedMessage("message is not valid CBOR, is nested too deeply or contains a type that the protocol does not use");
    }
    try {
        return decodeEnvelope(Core::parseCbor(bytes));
    } catch (const Json::exception &error) {
        throw MalformedMessage(error.what());
    }
}

} // namespace Briarbend::Gossip
