#pragma once

#include <LibGossip/Records.h>
#include <LibMembership/Member.h>

namespace Briarbend::Gossip
{

/// Buckets that the keys of one kind fall into.
constexpr std::size_t DIGEST_BUCKETS = 32;

/// Stands for one record: two instances that hold equal records hold equal digests of them.
struct RecordDigest {
    std::uint32_t keyHash{0};
    std::uint32_t contentHash{0};

    auto operator<=>(const RecordDigest &) const = default;
};

/// The exclusive or of the record digests that fall into each bucket.
using BucketDigests = std::array<std::uint32_t, DIGEST_BUCKETS>;

RecordDigest digestOf(const Record &record);
/// Of the team and version only: the text follows from them.
RecordDigest digestOf(const SectionText &section);

RecordDigest digestOf(const Membership::MemberNews &news);

std::size_t bucketOf(const RecordDigest &digest);

/// Adds a record to its bucket, or takes it out again.
void toggle(BucketDigests &digests, const RecordDigest &digest);

/// One value for all buckets.
std::uint32_t summaryOf(const BucketDigests &digests);

} // namespace Briarbend::Gossip
