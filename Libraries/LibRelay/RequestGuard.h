#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibQuarantine/Fingerprint.h>

#include <boost/asio/awaitable.hpp>

namespace Briarbend::Relay
{

/// Keeps requests that break targets from breaking more of them. The I/O to peers begins here.
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
        /// When to come back, where the request is refused.
        std::chrono::milliseconds retryAfter{0};
    };

    virtual ~RequestGuard() = default;

    /// True where nothing is held against the request; it then needs no permission.
    virtual bool isUnsuspected(const Quarantine::Fingerprint &fingerprint) const = 0;
    /// Asks to send a suspect request to a start of a target; waits for other trials at most until the deadline.
    virtual boost::asio::awaitable<Permission>
    awaitPermission(Quarantine::Fingerprint fingerprint, Core::TargetId target, Core::TimePoint deadline) = 0;
    /// Reports that the connection died with the request on it, and waits until peers know: the caller may send again at once elsewhere.
    virtual boost::asio::awaitable<void> recordConnectionLoss(Quarantine::Fingerprint fingerprint, Core::TargetId target, bool isTrial) = 0;
    virtual void recordCompletion(const Quarantine::Fingerprint &fingerprint, Core::TimePoint sentAt) = 0;
    virtual void endTrial(const Quarantine::Fingerprint &fingerprint) = 0;
    /// A report showed this start of the target.
    virtual void recordTargetStart(const Core::TargetId &target, const Core::TargetStartId &start) = 0;
    /// The target refuses connections: its start is gone.
    virtual void recordTargetExit(const Core::TargetId &target) = 0;
};

} // namespace Briarbend::Relay
