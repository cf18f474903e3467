#include <LibGateway/TargetReports.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

namespace
{

/// The belief about the start of the target, or null.
Fleet::TargetState *findStart(Fleet::ServiceState &book, const std::string &target, std::int64_t startedAtMilliseconds)
{
    auto *belief = Fleet::findTarget(book, target);
    return belief != nullptr && belief->record.startedAtMilliseconds == startedAtMilliseconds ? belief : nullptr;
}

void apply(GatewayState &state, Fleet::ServiceState &book, const std::string &target, std::int64_t startedAtMilliseconds)
{
    auto *belief = findStart(book, target, startedAtMilliseconds);
    const auto *report = belief == nullptr ? nullptr : Fleet::findSelfReport(state.directory, belief->record);
    if (report == nullptr) {
        return;
    }
    Fleet::applySelfReport(*belief, *report);
    if (report->isLeaving) {
        state.pool.closeIdle(belief->record.address);
    }
}

} // namespace

void learnReport(GatewayState &state,
                 Fleet::ServiceState &book,
                 const std::string &target,
                 std::int64_t startedAtMilliseconds,
                 const TargetStatement &statement)
{
    // Whoever has the address now says nothing about the target that was meant.
    if (statement.isMisdirected) {
        return;
    }
    const auto now = Core::Clock::now();
    if (statement.quietFor) {
        Fleet::recordQuiet(state.directory, target, startedAtMilliseconds, now + *statement.quietFor, now);
        state.log.write(Log::Importance::Routine, "target_asks_for_quiet", {{"target", target}, {"for_ms", statement.quietFor->count()}});
    }
    const bool isNewlyLeaving = statement.isLeaving && Fleet::recordLeaving(state.directory, target, startedAtMilliseconds, now);
    if (isNewlyLeaving) {
        state.log.write(Log::Importance::Routine, "target_says_it_leaves", {{"target", target}, {"service", book.name.value}});
    }
    if (statement.quietFor || isNewlyLeaving) {
        apply(state, book, target, startedAtMilliseconds);
    }
    if (isNewlyLeaving && state.onTargetLeaving) {
        state.onTargetLeaving(target, startedAtMilliseconds);
    }
}

bool takeLeaving(GatewayState &state, const std::string &target, std::int64_t startedAtMilliseconds)
{
    if (!Fleet::recordLeaving(state.directory, target, startedAtMilliseconds, Core::Clock::now())) {
        return false;
    }
    for (const auto &[name, book] : state.services) {
        apply(state, *book, target, startedAtMilliseconds);
    }
    return true;
}

} // namespace Briarbend::Gateway
