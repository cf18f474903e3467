#pragma once

#include <LibGossip/Records.h>
#include <LibMembership/Member.h>

namespace Briarbend::Gossip
{

/// Number of buckets into which the keys of one kind are hashed.
constexpr std::size_t DIGEST_BUCKETS = 32;

/// Digest of one record. Instances that hold equal records compute equal digests.
struct RecordDigest {
    std::uint32_t keyHash{0};
    std::uint32_t contentHash{0};

    auto operator<=>(const RecordDigest &) const = default;
};

/// For each bucket, the exclusive or of the content hashes of its records.
using BucketDigests = std::array<std::uint32_t, DIGEST_BUCKETS>;

RecordDigest digestOf(const Record &record);
/// Covers only the team and the version, since these determine the text.
RecordDigest digestOf(const SectionText &section);

RecordDigest digestOf(const Membership::MemberUpdate &update);

std::size_t bucketOf(const RecordDigest &digest);

/// Adds a record to its bucket, or removes it if it was added before.
void toggle(BucketDigests &digests, const RecordDigest &digest);

/// Returns one hash over all buckets.
std::uint32_t summaryOf(const BucketDigests &digests);

} // namespace Briarbend::Gossip
