#pragma once

#include <LibClaims/RequestClaim.h>

#include <functional>

namespace Briarbend::Relay
{

/// Sends operations on claims to the bucket that stores them. This interface separates the relay from that I/O.
class ClaimSubmitter
{
public:
    /// The result of a claim. `isHolderGone` is true if another attempt holds the key and its instance is known to have ended.
    using ResultCallback = std::function<void(const Claims::ClaimResult &result, bool isHolderGone)>;

    virtual ~ClaimSubmitter() = default;

    virtual const Claims::Settings &settings() const = 0;
    /// Submits without waiting. The callback runs at most once, for claims only, possibly never. Records and releases are repeated until
    /// they are stored or the process ends.
    virtual void submit(const Core::ServiceName &service, const Claims::SubmitOperation &operation, ResultCallback callback) = 0;
};

} // namespace Briarbend::Relay
