#include <LibGateway/Attempt.h>

/// What an attempt learns from its end.
namespace Briarbend::Gateway
{

namespace
{

constexpr unsigned FIRST_SERVER_ERROR = 500;

bool isSuccess(unsigned status)
{
    return status / 100 == 2;
}

} // namespace

void Attempt::judge(const TargetStatement &statement)
{
    const auto now = Core::Clock::now();
    auto *belief = this->target();
    if (belief != nullptr && statement.load) {
        Fleet::recordLoadReport(*this->book, *belief, *statement.load, now);
    }
    if (belief != nullptr && statement.coldLeft) {
        Fleet::recordCold(*belief, *statement.coldLeft, now);
    }
    const auto status = this->answer.head.result_int();
    if (statement.isMisdirected || (statement.isNotRun && !isSuccess(status))) {
        this->end = AttemptEnd::NotRun;
        this->wasShedWithRoom = belief != nullptr && Fleet::freeSlots(*belief) > 0;
        if (belief != nullptr && statement.isMisdirected) {
            Fleet::ejectTarget(*belief, now);
        }
        this->learn(this->wasShedWithRoom ? Fleet::SendOutcome::ShedWithFreeSlots : Fleet::SendOutcome::Shed);
        return;
    }
    // A body with a coding was asked for by nobody, and a success without the target's mark is not its work.
    const bool isForged = this->answer.head.count(Http::field::content_encoding) > 0 || (isSuccess(status) && !statement.isSigned);
    if (isForged) {
        this->failure = "an answer that is not the target's";
        this->end = AttemptEnd::Unknown;
        return;
    }
    this->end = AttemptEnd::Answered;
    this->learn(status >= FIRST_SERVER_ERROR ? Fleet::SendOutcome::Failure : Fleet::SendOutcome::Success);
}

void Attempt::learn(Fleet::SendOutcome outcome)
{
    auto &state = this->context->state;
    const auto now = Core::Clock::now();
    const auto elapsed = now - this->sentAt;
    if (auto *belief = this->target()) {
        Fleet::recordOutcome(*belief, outcome, now);
    }
    if (outcome == Fleet::SendOutcome::Success) {
        auto &route = state.routes.at(this->context->route->name);
        Fleet::recordAnswer(route.statistics, *this->book, elapsed, this->answer.body.size());
        Routing::addSample(route.responseTimeQuantile, Core::milliseconds(elapsed));
    }
    using enum Fleet::SendOutcome;
    const bool isObserved = outcome == Success || outcome == Failure || outcome == Lost;
    if (state.onObserved && isObserved) {
        state.onObserved({.service = this->book->name,
                          .route = this->context->route->name,
                          .target = this->name,
                          .version = this->version,
                          .isFailure = outcome != Fleet::SendOutcome::Success,
                          .wasCold = this->isCold,
                          .elapsed = elapsed,
                          .objective = this->context->route->objective});
    }
}

void Attempt::noteEnd()
{
    const auto elapsed = Core::Clock::now() - this->sentAt;
    nlohmann::ordered_json inputs{{"target", this->name},
                                  {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()}};
    if (this->end == AttemptEnd::Answered || this->end == AttemptEnd::NotRun) {
        inputs["status"] = this->answer.head.result_int();
    }
    if (!this->failure.empty()) {
        inputs["failure"] = this->failure;
    }
    const bool isAnswered = this->end == AttemptEnd::Answered;
    const bool isNotRun = this->end == AttemptEnd::NotRun;
    this->context->note(isAnswered              ? "answered"
                            : isNotRun          ? "shed_by_target"
                            : this->isCancelled ? "cancelled"
                                                : "lost",
                        std::move(inputs));
}

} // namespace Briarbend::Gateway
