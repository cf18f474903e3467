#pragma once

namespace Briarbend::Limits
{

/// Why a limit refused a request. In none of these cases has any byte of it been sent to a target.
enum class RefusalReason {
    /// The queue of the request's traffic class is full.
    QueueFull,
    /// The measured drain rate shows that the request cannot be sent before its deadline.
    DeadlineTooShort,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// Retries and hedges have used up their share of the recent requests.
    RetryBudgetSpent,
    /// Every remaining target is cold and at its limit of requests.
    TargetsCold,
    /// Every remaining target is at this instance's share of its connections.
    ConnectionsUsed,
};

} // namespace Briarbend::Limits
