#pragma once

#include <LibClaims/Operation.h>
#include <LibClaims/Settings.h>

#include <map>

namespace Briarbend::Claims
{

/// Wall time that an instance reported with its latest claim.
struct ClockSample {
    Core::InstanceId instance;
    Core::WallTime time;

    bool operator==(const ClockSample &) const = default;
};

/// The decoded value of one store object: the claims on all keys that map to it.
struct Bucket {
    std::map<Digest, Claim> claims;
    /// The latest sample of each instance that claimed recently, oldest first; at most CLOCK_SAMPLE_LIMIT.
    std::vector<ClockSample> clockSamples;

    bool operator==(const Bucket &) const = default;
};

inline constexpr std::size_t CLOCK_SAMPLE_LIMIT = 5;
inline constexpr std::size_t RELEASED_ATTEMPT_LIMIT = 4;

/// Upper bound in bytes of the encoded bucket.
std::size_t encodedSizeBound(const Bucket &bucket);

/// Result of applying one operation to a bucket.
struct ApplyResult {
    OperationResult result;
    /// False if the operation left the bucket as it was, so that nothing has to be written for it.
    bool isChanged{false};
};

/// Applies one operation to the bucket in memory, without I/O. The result is valid only if the changed bucket is then stored by a
/// write that is conditional on the version that was read. `sizeBound` is the size bound of the bucket and is updated with it, so that
/// the bucket is measured once for a batch.
ApplyResult apply(Bucket &bucket, const Operation &operation, std::size_t &sizeBound, const Settings &settings);

/// Removes claims that are older than the window, and released claims that are older than their retention. Claims in the state Claimed
/// are never removed. Returns true if anything was removed.
///
/// The age of a claim is computed up to the earlier of the given wall time and the median clock sample of the other instances; the
/// claim starts at the later of its own instance's clock and that median. A single wrong clock therefore shortens neither the window
/// of other instances' claims nor that of its own, provided that other instances claim in the same bucket. Otherwise, clocks are
/// trusted to agree within Settings::clockSkew.
bool evictExpired(Bucket &bucket, const Core::InstanceId &self, Core::WallTime now, const Settings &settings);

} // namespace Briarbend::Claims
