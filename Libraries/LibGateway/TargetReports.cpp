#include <LibGateway/TargetReports.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

namespace
{

std::string_view nameOf(ReportSource source)
{
    switch (source) {
    case ReportSource::Response:
        return "answer";
    case ReportSource::OtherResponse:
        return "other_answer";
    case ReportSource::HealthCheck:
        return "health_check";
    case ReportSource::Peer:
        return "peer";
    }
    return "";
}

void logLeaving(GatewayState &state, const std::string &target, std::int64_t startedAtMilliseconds, ReportSource source)
{
    const auto entry = state.directory.entries.find(target);
    const auto service = entry == state.directory.entries.end() ? std::string() : entry->second.record.service.value;
    state.log.write(Log::Importance::Routine,
                    "target_says_it_leaves",
                    {{"target", target}, {"service", service}, {"started_at", startedAtMilliseconds}, {"via", nameOf(source)}});
}

/// The state of the target if it still has the given start, otherwise null.
Fleet::TargetState *findTargetStart(Fleet::ServiceState &service, const std::string &target, std::int64_t startedAtMilliseconds)
{
    auto *targetState = Fleet::findTarget(service, target);
    return targetState != nullptr && targetState->record.startedAtMilliseconds == startedAtMilliseconds ? targetState : nullptr;
}

void apply(GatewayState &state, Fleet::ServiceState &service, const std::string &target, std::int64_t startedAtMilliseconds)
{
    auto *targetState = findTargetStart(service, target, startedAtMilliseconds);
    const auto *report = targetState == nullptr ? nullptr : Fleet::findSelfReport(state.directory, targetState->record);
    if (report == nullptr) {
        return;
    }
    Fleet::applySelfReport(*targetState, *report);
    if (report->isLeaving) {
        state.pool.closeIdle(targetState->record.address);
    }
}

void logRate(GatewayState &state, const std::string &target, std::optional<double> requestsPerSecond, ReportSource source)
{
    nlohmann::ordered_json fields{{"target", target}, {"via", nameOf(source)}};
    if (requestsPerSecond) {
        fields["requests_per_second"] = *requestsPerSecond;
    }
    state.log.write(Log::Importance::Notable, requestsPerSecond ? "target_states_rate" : "target_states_no_rate", fields);
}

void shareRate(GatewayState &state, const std::string &target, std::int64_t startedAtMilliseconds, Core::TimePoint now)
{
    auto &report = state.directory.selfReports.at({target, startedAtMilliseconds});
    if (!state.onTargetRate || !report.rate || now - report.rate->sharedAt < Fleet::RATE_SHARING_INTERVAL) {
        return;
    }
    report.rate->sharedAt = now;
    state.onTargetRate(target, startedAtMilliseconds, report.rate->requestsPerSecond);
}

/// Returns true if the target's rate changed, or was stated again.
bool recordRate(GatewayState &state,
                const std::string &target,
                std::int64_t startedAtMilliseconds,
                ReportSource source,
                const ResponseMetadata &metadata)
{
    const auto now = Core::Clock::now();
    if (metadata.requestsPerSecond) {
        if (Fleet::recordRate(state.directory, target, startedAtMilliseconds, *metadata.requestsPerSecond, now)) {
            logRate(state, target, metadata.requestsPerSecond, source);
        }
        shareRate(state, target, startedAtMilliseconds, now);
        return true;
    }
    // Targets may state their rate in responses to requests only, so a health check without one says nothing.
    const bool isWithdrawn = !metadata.statesRate && source == ReportSource::Response && metadata.hasResponseStamp
        && Fleet::withdrawRate(state.directory, target, startedAtMilliseconds);
    if (isWithdrawn) {
        logRate(state, target, std::nullopt, source);
        if (state.onTargetRate) {
            state.onTargetRate(target, startedAtMilliseconds, std::nullopt);
        }
    }
    return isWithdrawn;
}

} // namespace

void recordTargetReport(GatewayState &state,
                        Fleet::ServiceState &service,
                        const std::string &target,
                        std::int64_t startedAtMilliseconds,
                        ReportSource source,
                        const ResponseMetadata &metadata)
{
    // Another target has the address; its response says nothing about the intended one.
    if (metadata.isMisdirected) {
        return;
    }
    const auto now = Core::Clock::now();
    if (metadata.quietFor) {
        Fleet::recordQuiet(state.directory, target, startedAtMilliseconds, now + *metadata.quietFor, now);
        state.log.write(Log::Importance::Routine, "target_asks_for_quiet", {{"target", target}, {"for_ms", metadata.quietFor->count()}});
    }
    const bool isNewlyLeaving = metadata.isLeaving && Fleet::recordLeaving(state.directory, target, startedAtMilliseconds, now);
    if (isNewlyLeaving) {
        logLeaving(state, target, startedAtMilliseconds, source);
    }
    const bool hasRateChanged = recordRate(state, target, startedAtMilliseconds, source, metadata);
    if (metadata.quietFor || isNewlyLeaving || hasRateChanged) {
        apply(state, service, target, startedAtMilliseconds);
    }
    if (isNewlyLeaving && state.onTargetLeaving) {
        state.onTargetLeaving(target, startedAtMilliseconds);
    }
}

void applyPeerRate(GatewayState &state,
                   const std::string &target,
                   std::int64_t startedAtMilliseconds,
                   std::optional<double> requestsPerSecond)
{
    const auto now = Core::Clock::now();
    const bool isNew = requestsPerSecond ? Fleet::recordRate(state.directory, target, startedAtMilliseconds, *requestsPerSecond, now)
                                         : Fleet::withdrawRate(state.directory, target, startedAtMilliseconds);
    if (isNew) {
        logRate(state, target, requestsPerSecond, ReportSource::Peer);
    }
    const auto report = state.directory.selfReports.find({target, startedAtMilliseconds});
    if (report != state.directory.selfReports.end() && report->second.rate) {
        report->second.rate->sharedAt = now;
    }
    for (const auto &[name, service] : state.services) {
        apply(state, *service, target, startedAtMilliseconds);
    }
}

bool markLeaving(GatewayState &state, const std::string &target, std::int64_t startedAtMilliseconds)
{
    if (!Fleet::recordLeaving(state.directory, target, startedAtMilliseconds, Core::Clock::now())) {
        return false;
    }
    logLeaving(state, target, startedAtMilliseconds, ReportSource::Peer);
    for (const auto &[name, service] : state.services) {
        apply(state, *service, target, startedAtMilliseconds);
    }
    return true;
}

} // namespace Briarbend::Gateway
