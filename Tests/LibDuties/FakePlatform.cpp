#include <Tests/LibDuties/FakePlatform.h>

namespace Briarbend::Duties
{

Player::Player(FakePlatform &fakePlatform, std::string playerName, std::size_t ownRank, std::uint64_t seed)
    : rank(ownRank)
    , platform(fakePlatform)
    , name(std::move(playerName))
    , random(seed)
{
}

void Player::start()
{
    ++this->processes;
    this->isRunning = true;
    this->isBusy = false;
    this->state = makeHolder(
        {.name = this->name, .process = this->name + "-" + std::to_string(this->processes), .lease = LEASE, .window = WINDOWS.length},
        this->platform.events.now);
    // Another instance may have received counts that this one lacks.
    const auto window = windowAt(this->platform.events.wall(), WINDOWS);
    merge(this->table, {"front"}, this->processes, {{.window = window, .counts = {{"tenant", this->random.below(100)}}}});
    this->stepAfter(100ms);
}

void Player::crash(std::optional<Core::Duration> restartAfter)
{
    this->isRunning = false;
    ++this->processes;
    if (restartAfter) {
        this->platform.events.after(*restartAfter, [this, process = this->processes] {
            if (process == this->processes) {
                this->start();
            }
        });
    }
}

void Player::stepAfter(Core::Duration delay)
{
    this->platform.events.after(delay, [this, process = this->processes] {
        if (process == this->processes) {
            this->step();
        }
    });
}

void Player::step()
{
    auto &events = this->platform.events;
    this->stepAfter(events.now < this->frozenUntil ? this->frozenUntil - events.now : 100ms);
    if (events.now < this->frozenUntil) {
        return;
    }
    const auto latestClosed = latestClosedWindow(events.wall(), WINDOWS);
    const auto window = windowAt(events.wall(), WINDOWS);
    // Counts still change after their window was closed.
    for (const auto counted : {window, window - 1, window - 2}) {
        merge(this->table, {"front"}, this->processes, {{.window = counted, .counts = {{"tenant", 100 + this->random.below(50)}}}});
    }
    for (auto *other : this->heard) {
        if (other->isRunning && isHolding(other->state) && events.now >= other->frozenUntil) {
            applyHeardHolder(this->state, ownToken(other->state), !Duties::isBehind(other->state, latestClosed), events.now);
        }
    }
    if (this->isBusy) {
        return;
    }
    this->perform(nextAction(this->state,
                             {.now = events.now,
                              .rank = this->rank,
                              .isWanted = true,
                              .isHolderAlive = false,
                              .latestClosed = latestClosed,
                              .oldestReportable = oldestReportableWindow(events.wall(), WINDOWS),
                              .completeFrom = NO_WINDOW},
                             this->table));
}

void Player::perform(const Action &action)
{
    if (std::holds_alternative<Wait>(action) || (this->onAction && !this->onAction(action))) {
        return;
    }
    this->isBusy = true;
    auto &events = this->platform.events;
    const bool isLost = this->random.unit() < this->lossRate
        || (std::holds_alternative<WriteRecord>(action) && std::exchange(this->loseNextWriteResponse, false));
    const auto apply = [this, began = events.now, process = this->processes](const FakePlatform::Response &response) {
        if (process == this->processes) {
            this->isBusy = false;
            this->apply(response, began);
        }
    };
    if (isLost && this->random.unit() < 0.5) {
        events.after(std::chrono::milliseconds(this->random.below(3000)), [this, action] {
            this->platform.carryOut(this->name, action);
        });
    }
    events.after(isLost ? 700ms : 5ms, [this, action, apply, isLost] {
        apply(isLost ? FakePlatform::lostResponseTo(action) : this->platform.carryOut(this->name, action));
    });
}

void Player::apply(const FakePlatform::Response &response, Core::TimePoint began)
{
    const auto now = this->platform.events.now;
    if (const auto *read = std::get_if<ReadResult>(&response)) {
        applyRead(this->state, *read, began, now);
    } else if (const auto *write = std::get_if<WriteResult>(&response)) {
        applyWrite(this->state, *write, began, now);
    } else {
        applyCall(this->state, std::get<CallResult>(response), now);
    }
}

} // namespace Briarbend::Duties
