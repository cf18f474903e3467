#include <LibGossip/AntiEntropy.h>

#include <LibGossip/Dispatch.h>
#include <LibGossip/Sections.h>
#include <LibGossip/Tables.h>
#include <LibGossip/Wire.h>
#include <LibMembership/Table.h>

#include <algorithm>
#include <limits>
#include <unordered_set>

namespace Briarbend::Gossip
{

namespace
{

/// Maximum number of records that one step compares; later comparisons cover the rest.
constexpr std::size_t MAX_COMPARED_RECORDS = 24;
/// Once the records in one step reach this size, no more are added to it.
constexpr std::size_t MAX_REPAIR_BYTES = 250;
constexpr std::uint32_t ALL_BUCKETS = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t MAX_KEY_HASH = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t SNAPSHOT_MESSAGE_BYTES = 100'000;

/// Calls the visitor with the digest of each item of the kind and the item itself.
template<typename Visitor>
void forEachItem(const State &state, DigestKind kind, const Visitor &visitor)
{
    const auto visitTable = [&visitor](const auto &table) {
        for (const auto &[key, entry] : table.entries) {
            visitor(digestOf(entry.record), entry);
        }
    };
    switch (kind) {
    case DigestKind::Members:
        for (const auto &[id, member] : state.members.members) {
            visitor(digestOf(member.update), member);
        }
        return;
    case DigestKind::Sections:
        for (const auto &[team, held] : state.sections.held) {
            visitor(digestOf(held.section), held);
        }
        return;
    case DigestKind::RolloutProgress:
        return visitTable(state.rolloutProgress);
    case DigestKind::Quarantine:
        return visitTable(state.quarantine);
    case DigestKind::WarmUpStates:
        return visitTable(state.warmUpStates);
    }
}

BucketDigests digestsOf(const State &state, DigestKind kind)
{
    switch (kind) {
    case DigestKind::Members:
        return memberDigests(state);
    case DigestKind::Sections:
        break;
    case DigestKind::RolloutProgress:
        return state.rolloutProgress.digests;
    case DigestKind::Quarantine:
        return state.quarantine.digests;
    case DigestKind::WarmUpStates:
        return state.warmUpStates.digests;
    }
    return state.sections.digests;
}

bool isInBuckets(const RecordDigest &digest, std::uint32_t buckets)
{
    return ((buckets >> bucketOf(digest)) & 1U) != 0;
}

template<typename Item>
bool isCompared(const Item & /*item*/)
{
    return true;
}

/// Gone members are gossiped but not compared, because instances forget them at different times.
bool isCompared(const Membership::Member &member)
{
    return member.update.state != Membership::MemberState::Gone;
}

/// Returns the digests of the items in the given buckets, sorted by key hash.
std::vector<RecordDigest> digestsIn(const State &state, DigestKind kind, std::uint32_t buckets)
{
    std::vector<RecordDigest> digests;
    forEachItem(state, kind, [&](const RecordDigest &digest, const auto &item) {
        if (isCompared(item) && isInBuckets(digest, buckets)) {
            digests.push_back(digest);
        }
    });
    std::ranges::sort(digests);
    return digests;
}

void append(Envelope &envelope, const Membership::Member &member, Core::TimePoint /*now*/)
{
    envelope.membership.updates.push_back(member.update);
}

/// Adds the item to the message. A section is announced without its full text, which the receiver requests if it is missing.
void append(Envelope &envelope, const HeldSection &held, Core::TimePoint /*now*/)
{
    envelope.sections.push_back(updateOf(held));
}

template<typename RecordType>
void append(Envelope &envelope, const Entry<RecordType> &entry, Core::TimePoint now)
{
    const auto remaining = remainingTime(entry.expires, now);
    if (remaining.count() > 0) {
        envelope.records.push_back({entry.record, remaining});
    }
}

std::size_t sizeOfLastItem(const Envelope &envelope)
{
    const auto records = envelope.records.empty() ? 0 : encodedSize(envelope.records.back());
    constexpr std::size_t MEMBER_UPDATE_BYTES = 60;
    const auto members = envelope.membership.updates.empty() ? 0 : MEMBER_UPDATE_BYTES;
    const auto sections = envelope.sections.empty() ? 0 : encodedSize(envelope.sections.back());
    return std::max({records, sections, members});
}

/// Adds the items with the given key hashes until the size limit is reached.
void appendItems(
    const State &state, DigestKind kind, const std::unordered_set<std::uint32_t> &keyHashes, Core::TimePoint now, Envelope &envelope)
{
    std::size_t bytes = 0;
    forEachItem(state, kind, [&](const RecordDigest &digest, const auto &item) {
        if (bytes < MAX_REPAIR_BYTES && keyHashes.contains(digest.keyHash)) {
            append(envelope, item, now);
            bytes += sizeOfLastItem(envelope);
        }
    });
}

Envelope makeEnvelope(const State &state)
{
    Envelope envelope;
    envelope.membership = Membership::makeMessage(state.members, std::monostate{});
    return envelope;
}

bool contains(const std::vector<RecordDigest> &digests, const RecordDigest &digest)
{
    return std::ranges::find(digests, digest) != digests.end();
}

} // namespace

void startComparison(State &state,
                     const Summaries &theirs,
                     const Membership::PeerAddress &peer,
                     Core::TimePoint now,
                     Core::Random &random,
                     Decision &decision)
{
    const auto mine = summariesOf(state);
    std::vector<DigestKind> different;
    for (std::size_t index = 0; index < mine.size(); ++index) {
        if (mine.at(index) != theirs.at(index)) {
            different.push_back(static_cast<DigestKind>(index));
        }
    }
    if (different.empty()) {
        return;
    }
    const auto kind = different[random.below(different.size())];
    auto digests = digestsIn(state, kind, ALL_BUCKETS);
    // A small number of records is compared directly, which saves the message that carries the bucket digests.
    if (digests.size() <= MAX_COMPARED_RECORDS) {
        CompareRecords compare{kind, ALL_BUCKETS, 0, MAX_KEY_HASH, std::move(digests)};
        dispatchExchange(state, peer, std::move(compare), MessageClass::Background, now, decision);
    } else {
        dispatchExchange(state, peer, CompareBuckets{kind, digestsOf(state, kind)}, MessageClass::Background, now, decision);
    }
}

void handleExchange(State &state,
                    const CompareBuckets &theirs,
                    const Membership::PeerAddress &peer,
                    Core::TimePoint now,
                    Core::Random &random,
                    Decision &decision)
{
    const auto mine = digestsOf(state, theirs.kind);
    CompareRecords reply{theirs.kind, 0, 0, MAX_KEY_HASH, {}};
    for (std::size_t bucket = 0; bucket < DIGEST_BUCKETS; ++bucket) {
        reply.buckets |= std::uint32_t{mine.at(bucket) != theirs.digests.at(bucket)} << bucket;
    }
    if (reply.buckets == 0) {
        return;
    }
    auto digests = digestsIn(state, theirs.kind, reply.buckets);
    if (digests.size() > MAX_COMPARED_RECORDS) {
        const auto start = digests.begin() + static_cast<std::ptrdiff_t>(random.below(digests.size() - MAX_COMPARED_RECORDS + 1));
        const auto end = start + MAX_COMPARED_RECORDS;
        reply.firstKeyHash = start == digests.begin() ? 0 : start->keyHash;
        reply.lastKeyHash = end == digests.end() ? MAX_KEY_HASH : std::prev(end)->keyHash;
        reply.records.assign(start, end);
    } else {
        reply.records = std::move(digests);
    }
    dispatchExchange(state, peer, std::move(reply), MessageClass::Background, now, decision);
}

void handleExchange(
    State &state, const CompareRecords &theirs, const Membership::PeerAddress &peer, Core::TimePoint now, Decision &decision)
{
    const auto mine = digestsIn(state, theirs.kind, theirs.buckets);
    std::unordered_set<std::uint32_t> offered;
    for (const auto &digest : mine) {
        const bool isInRange = digest.keyHash >= theirs.firstKeyHash && digest.keyHash <= theirs.lastKeyHash;
        if (isInRange && !contains(theirs.records, digest)) {
            offered.insert(digest.keyHash);
        }
    }
    RequestRecords request{theirs.kind, {}};
    for (const auto &digest : theirs.records) {
        if (!contains(mine, digest)) {
            request.keyHashes.push_back(digest.keyHash);
            offered.insert(digest.keyHash);
        }
    }
    auto envelope = makeEnvelope(state);
    appendItems(state, theirs.kind, offered, now, envelope);
    if (!request.keyHashes.empty()) {
        envelope.exchange = std::move(request);
    }
    dispatch(state, {peer, std::move(envelope), MessageClass::Background, std::nullopt}, now, decision);
}

void handleExchange(
    State &state, const RequestRecords &request, const Membership::PeerAddress &peer, Core::TimePoint now, Decision &decision)
{
    auto envelope = makeEnvelope(state);
    appendItems(state, request.kind, {request.keyHashes.begin(), request.keyHashes.end()}, now, envelope);
    dispatch(state, {peer, std::move(envelope), MessageClass::Background, std::nullopt}, now, decision);
}

void sendSnapshot(State &state, const Membership::PeerAddress &peer, Core::TimePoint now, Decision &decision)
{
    auto envelope = makeEnvelope(state);
    for (const auto &[team, held] : state.sections.held) {
        envelope.sections.push_back({team, held.section.storeVersion, 0, 0, 0, {}, 0});
    }
    std::size_t bytes = 0;
    forEachTable(state, [&](auto &table) {
        for (const auto &[key, entry] : table.entries) {
            append(envelope, entry, now);
            bytes += sizeOfLastItem(envelope);
            if (bytes > SNAPSHOT_MESSAGE_BYTES) {
                dispatch(state, {peer, std::exchange(envelope, makeEnvelope(state)), MessageClass::Bulk, std::nullopt}, now, decision);
                bytes = 0;
            }
        }
    });
    dispatch(state, {peer, std::move(envelope), MessageClass::Bulk, std::nullopt}, now, decision);
}

} // namespace Briarbend::Gossip
