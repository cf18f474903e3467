#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibQuarantine/Fingerprint.h>

#include <boost/asio/awaitable.hpp>

namespace Briarbend::Relay
{

/// Keeps requests that crash targets from crashing more of them. This interface separates the relay from the I/O to peers.
class RequestGuard
{
public:
    enum class Verdict {
        Send,
        /// The request is suspect and has this instance's trial on the target: report its end with endTrial.
        SendAsTrial,
        Refuse,
    };

    struct Permission {
        Verdict verdict{Verdict::Send};
        /// Retry delay, if the request is refused.
        std::chrono::milliseconds retryAfter{0};
    };

    virtual ~RequestGuard() = default;

    /// True if the request is not suspect; it then needs no permission.
    virtual bool isUnsuspected(const Quarantine::Fingerprint &fingerprint) const = 0;
    /// Asks for permission to send a suspect request to a target process; waits for other trials at most until the deadline.
    virtual boost::asio::awaitable<Permission>
    awaitPermission(Quarantine::Fingerprint fingerprint, Core::TargetId target, Core::TimePoint deadline) = 0;
    /// Reports that the connection was lost while it carried the request, and waits until the peers know: the calling code may resend it
    /// elsewhere at once.
    virtual boost::asio::awaitable<void> recordConnectionLoss(Quarantine::Fingerprint fingerprint, Core::TargetId target, bool isTrial) = 0;
    virtual void recordCompletion(const Quarantine::Fingerprint &fingerprint, Core::TimePoint sentAt) = 0;
    virtual void endTrial(const Quarantine::Fingerprint &fingerprint) = 0;
    /// A report showed this start of the target.
    virtual void recordTargetStart(const Core::TargetId &target, const Core::TargetStartId &start) = 0;
    /// The target refuses connections: its process has ended.
    virtual void recordTargetExit(const Core::TargetId &target) = 0;
};

} // namespace Briarbend::Relay
