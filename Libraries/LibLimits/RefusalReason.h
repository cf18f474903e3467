#pragma once

namespace Briarbend::Limits
{

/// Why a limit refused a request. In every case no byte of it has been sent to a target.
enum class RefusalReason {
    /// The queue of the request's traffic class is full.
    QueueFull,
    /// The measured drain rate shows that the request cannot be sent before its deadline.
    DeadlineTooShort,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// Retries and hedges have used up their share of the recent traffic.
    RetryBudgetSpent,
    /// Every target left is cold and bears no more requests now.
    TargetsCold,
    /// Every target left is at this instance's share of its connections.
    ConnectionsUsed,
};

} // namespace Briarbend::Limits
