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
    /// Latest marks of the instances that claimed last, oldest first; at most CLOCK_SAMPLE_LIMIT.
    std::vector<ClockSample> clockSamples;

    bool operator==(const Bucket &) const = default;
};

inline constexpr std::size_t CLOCK_SAMPLE_LIMIT = 5;
inline constexpr std::size_t RELEASED_ATTEMPT_LIMIT = 4;

/// Upper bound in bytes of the encoded bucket.
std::size_t encodedSizeBound(const Bucket &bucket);

/// What one operation did.
struct ApplyResult {
    OperationResult result;
    /// False where the bucket already said all that the operation wants stored.
    bool isChanged{false};
};

/// Applies one operation to the bucket. Pure: the result holds only if the changed bucket is stored under the version it was read
/// at. The size bound of the bucket is passed along so that a batch is measured once.
ApplyResult apply(Bucket &bucket, const Operation &operation, std::size_t &sizeBound, const Settings &settings);

/// Removes claims that are older than the window, and released ones that are older than their retention. A claim in the state Claimed
/// stays. Returns true where something was removed.
///
/// Age is judged by the earlier of the given wall time and the median of the marks of other instances, and the start of a claim by
/// the later of its own instance's clock and that median. One wrong clock therefore neither shortens the window of others' claims
/// nor of its own as long as other instances claim in the same bucket; beyond that clocks are trusted within Settings::clockSkew.
bool evictExpired(Bucket &bucket, const Core::InstanceId &self, Core::WallTime now, const Settings &settings);

} // namespace Briarbend::Claims
