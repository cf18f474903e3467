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
    if (metadata.quietFor || isNewlyLeaving) {
        apply(state, service, target, startedAtMilliseconds);
    }
    if (isNewlyLeaving && state.onTargetLeaving) {
        state.onTargetLeaving(target, startedAtMilliseconds);
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
