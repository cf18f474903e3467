#include <LibGateway/UsageReporter.h>

#include <LibMembership/Majority.h>
#include <LibNetwork/WallClock.h>

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

namespace
{

using Coordination::Channel;
using Log::Importance;

constexpr std::chrono::milliseconds TICK_INTERVAL{100};
/// Instances that receive the counts of all others and may hold the duty.
constexpr std::size_t COLLECTORS = 2;
/// Fraction of the lease between two messages of the holder to the other collectors. Silence for several of them makes these read the
/// record.
constexpr int ANNOUNCEMENT_DIVISOR = 8;
/// Fraction of the window over which the messages of all instances are spread: short enough for the last message of a window to arrive
/// before its report.
constexpr int SPREAD_DIVISOR = 40;
/// Windows for which a collector that was replaced still receives counts.
constexpr int FORMER_COLLECTOR_WINDOWS = 2;
/// Windows in the future from which counts are taken: clocks of instances differ.
constexpr Duties::WindowIndex WINDOWS_AHEAD = 1;

/// Milliseconds of a random delay below the bound.
std::chrono::milliseconds randomDelay(Core::Random &random, std::chrono::milliseconds bound)
{
    return std::chrono::milliseconds(random.below(static_cast<std::size_t>(std::max<std::int64_t>(1, bound.count()))));
}

std::string describe(const Duties::CallResult &result)
{
    if (const auto *deferred = std::get_if<Duties::CallDeferred>(&result)) {
        return deferred->reason;
    }
    const auto *lost = std::get_if<Duties::NoResponse>(&result);
    return lost != nullptr ? lost->reason : "a higher fencing token was seen";
}

} // namespace

HostClocks hostClocks()
{
    return {.wall = Network::wallNow, .boot = Network::bootNow};
}

UsageReporter::UsageReporter(GatewayState &gatewayState,
                             Core::TimerService &timerService,
                             Coordination::PeerLink &peerLink,
                             DutyStore &dutyStore,
                             UsageEndpoint &usageEndpoint,
                             HostClocks hostClocks)
    : state(gatewayState)
    , timers(timerService)
    , peers(peerLink)
    , store(dutyStore)
    , endpoint(usageEndpoint)
    , clocks(std::move(hostClocks))
    , windows{.length = gatewayState.settings.usage.window, .due = gatewayState.settings.usage.due}
    , holder(Duties::makeHolder({.name = gatewayState.settings.instance.name,
                                 .process = peerLink.state().members.self.value,
                                 .lease = gatewayState.settings.usage.lease,
                                 .window = gatewayState.settings.usage.window},
                                this->dutyTime()))
    , sendDelay(randomDelay(gatewayState.random, this->windows.length / SPREAD_DIVISOR))
{
    Duties::observeClock(this->clock, this->clocks.wall(), this->clocks.boot());
    this->lastTick = this->dutyTime();
    this->lastPart = Duties::partAt(this->wallTime() - this->sendDelay, this->windows);
    this->peers.onMessage(Channel::Usage, [this](const std::string &, std::string_view bytes) {
        this->receive(bytes);
    });
    this->state.countRequest = [this](const std::string &tenant) {
        const auto window = Duties::windowAt(this->wallTime(), this->windows);
        Duties::addRequest(this->local, window, tenant);
        return [this, window, tenant] {
            Duties::removeRequest(this->local, window, tenant);
        };
    };
    this->ticking = this->timers.every(TICK_INTERVAL, [this](Core::TimePoint) {
        this->tick();
    });
}

void UsageReporter::tick()
{
    Duties::observeClock(this->clock, this->clocks.wall(), this->clocks.boot());
    if (this->isFinished) {
        return;
    }
    const auto now = this->dutyTime();
    if (now - std::exchange(this->lastTick, now) >= this->windows.length) {
        // Connections may have been closed meanwhile, and messages with counts lost.
        this->completeFrom = std::max(this->completeFrom, Duties::windowAt(this->wallTime(), this->windows));
    }
    this->updateCollectors(now);
    this->resignIfReplaced(now);
    this->sendCountsWhenDue();
    if (Duties::isHolding(this->holder) && now - this->announcedAt >= this->holder.parameters.lease / ANNOUNCEMENT_DIVISOR) {
        this->announcedAt = now;
        this->announceHolding(!Duties::isBehind(this->holder, this->situation().latestClosed));
    }
    if (!this->isWorking) {
        this->isWorking = true;
        spawn(this->state, "usage", this->work());
    }
}

void UsageReporter::receive(std::string_view bytes)
{
    std::visit(
        [this](const auto &message) {
            this->handle(message);
        },
        decodeUsage(bytes));
}

void UsageReporter::handle(const UsageCounts &counts)
{
    const auto time = this->wallTime();
    const auto oldest = Duties::oldestReportableWindow(time, this->windows);
    const auto latest = Duties::windowAt(time, this->windows) + WINDOWS_AHEAD;
    std::vector<Duties::WindowCounts> usable;
    std::ranges::copy_if(counts.windows, std::back_inserter(usable), [oldest, latest](const Duties::WindowCounts &window) {
        return window.window >= oldest && window.window <= latest;
    });
    Duties::merge(this->table, counts.reporter, counts.sequence, usable);
}

void UsageReporter::handle(const UsageHolder &message)
{
    Duties::applyHeardHolder(this->holder, message.token, message.isActing, this->dutyTime());
}

void UsageReporter::updateCollectors(Core::TimePoint now)
{
    const auto &members = this->peers.state().members;
    const auto fingerprint = Membership::aliveFingerprint(members);
    if (fingerprint == this->membersFingerprint || !Membership::hasJoined(members, this->timers.now())) {
        return;
    }
    this->membersFingerprint = fingerprint;
    auto selected = Membership::widestFirst(members, Membership::aliveMembers(members), "usage");
    selected.resize(std::min(selected.size(), COLLECTORS));
    if (selected != this->collectors) {
        this->replaceCollectors(std::move(selected), now);
    }
}

void UsageReporter::replaceCollectors(std::vector<Core::InstanceId> selected, Core::TimePoint now)
{
    const bool wasCollector = this->rank().has_value();
    const auto earlier = std::exchange(this->collectors, std::move(selected));
    if (now >= this->formerCollectorsUntil) {
        this->formerCollectors.clear();
    }
    std::ranges::copy_if(earlier, std::back_inserter(this->formerCollectors), [this](const Core::InstanceId &id) {
        return !std::ranges::count(this->formerCollectors, id);
    });
    std::erase_if(this->formerCollectors, [this](const Core::InstanceId &id) {
        return std::ranges::count(this->collectors, id) > 0;
    });
    this->formerCollectorsUntil = now + FORMER_COLLECTOR_WINDOWS * this->windows.length;
    this->mustSendAll = true;
    if (!wasCollector && this->rank()) {
        // The others send this instance the counts of the window before the running one as soon as they select it, too.
        this->completeFrom = Duties::windowAt(this->wallTime(), this->windows) - 1;
    }
}

void UsageReporter::resignIfReplaced(Core::TimePoint now)
{
    if (!Duties::isHolding(this->holder) || this->rank()) {
        this->replacedSince.reset();
        return;
    }
    if (!this->replacedSince) {
        this->replacedSince = now;
    }
    if (now - *this->replacedSince >= this->holder.parameters.lease) {
        this->announceHolding(false);
        Duties::resign(this->holder, now);
        this->recordProgress();
    }
}

void UsageReporter::sendCountsWhenDue()
{
    const auto part = Duties::partAt(this->wallTime() - this->sendDelay, this->windows);
    if (part == std::exchange(this->lastPart, part)) {
        return;
    }
    const bool isAfterLastMessage = part % Duties::REPORTS_PER_WINDOW == 1;
    const bool isAll = std::exchange(this->mustSendAll, false);
    this->sendCounts(isAll ? Duties::Repetition::All : isAfterLastMessage ? Duties::Repetition::LastWindow : Duties::Repetition::None);
    Duties::forgetBefore(this->table, Duties::oldestReportableWindow(this->wallTime(), this->windows));
}

void UsageReporter::sendCounts(Duties::Repetition repetition)
{
    const auto running = Duties::windowAt(this->wallTime(), this->windows);
    UsageCounts message{.reporter = this->peers.state().members.self,
                        .sequence = ++this->sequence,
                        .windows = Duties::takeUnsent(this->local, running, repetition)};
    if (message.windows.empty()) {
        return;
    }
    if (this->rank() || Duties::isHolding(this->holder)) {
        this->handle(message);
    }
    this->sendToCollectors(message);
}

void UsageReporter::announceHolding(bool isActing)
{
    this->sendToCollectors(UsageHolder{.token = Duties::ownToken(this->holder), .isActing = isActing});
}

void UsageReporter::sendToCollectors(const UsageMessage &message)
{
    const auto bytes = encodeUsage(message);
    this->peers.sendTo(Channel::Usage, this->collectors, bytes);
    if (this->dutyTime() < this->formerCollectorsUntil) {
        this->peers.sendTo(Channel::Usage, this->formerCollectors, bytes);
    }
}

Duties::Situation UsageReporter::situation() const
{
    const auto time = this->wallTime();
    return {.now = this->dutyTime(),
            .rank = this->rank(),
            .isWanted = this->table.hasCounted || this->holder.greatestToken > 0,
            .isHolderAlive = this->isHolderAlive(),
            .latestClosed = Duties::latestClosedWindow(time, this->windows),
            .oldestReportable = Duties::oldestReportableWindow(time, this->windows),
            .completeFrom = this->completeFrom};
}

boost::asio::awaitable<void> UsageReporter::work()
{
    // A call that throws must not end the work for good.
    const std::shared_ptr<void> end(nullptr, [this](void *) {
        this->isWorking = false;
    });
    while (!this->isFinished) {
        const auto action = Duties::nextAction(this->holder, this->situation(), this->table);
        if (std::holds_alternative<Duties::Wait>(action)) {
            break;
        }
        co_await std::visit(
            [this](const auto &call) {
                return this->perform(call);
            },
            action);
        this->recordProgress();
    }
}

boost::asio::awaitable<void> UsageReporter::perform(Duties::ReadRecord)
{
    const auto began = this->dutyTime();
    const auto result = co_await this->store.readDuty();
    Duties::applyRead(this->holder, result, began, this->dutyTime());
}

boost::asio::awaitable<void> UsageReporter::perform(Duties::WriteRecord write)
{
    const auto began = this->dutyTime();
    const auto result = co_await this->store.writeDuty(std::move(write));
    Duties::applyWrite(this->holder, result, began, this->dutyTime());
}

boost::asio::awaitable<void> UsageReporter::perform(Duties::SendReport report)
{
    const auto result = co_await this->endpoint.sendReport(this->holder.parameters.name, report);
    this->recordResult(report, result);
    Duties::applyCall(this->holder, result, this->dutyTime());
}

boost::asio::awaitable<void> UsageReporter::perform(Duties::Wait)
{
    co_return;
}

void UsageReporter::recordResult(const Duties::SendReport &report, const Duties::CallResult &result)
{
    const auto end = Duties::endOf(report.window, this->windows);
    nlohmann::ordered_json values{{"window", report.window},
                                  {"token", report.token},
                                  {"tenants", report.counts.size()},
                                  {"after_end_ms", (this->wallTime() - end).count()}};
    if (std::holds_alternative<Duties::CallAccepted>(result)) {
        ++this->state.counters.usageReports;
        this->state.counters.usageReportsLate += this->wallTime() > end + this->windows.due ? 1 : 0;
        this->state.log.write(Importance::Routine, "usage_reported", values);
        return;
    }
    ++this->state.counters.usageReportsRefused;
    values["reason"] = describe(result);
    this->state.log.write(Importance::Notable, "usage_report_failed", values);
}

void UsageReporter::recordProgress()
{
    const bool isHolding = Duties::isHolding(this->holder);
    if (isHolding != std::exchange(this->wasHolding, isHolding)) {
        const auto *stored = Duties::observedRecord(this->holder);
        nlohmann::ordered_json values = nlohmann::ordered_json::object();
        if (stored != nullptr) {
            values = {{"holder", stored->record.holder}, {"token", stored->record.token}, {"window", stored->record.window}};
        }
        this->state.log.write(Importance::Notable, isHolding ? "usage_duty_taken" : "usage_duty_lost", values);
    }
    this->state.holdsUsageDuty = isHolding;
    const auto skipped = this->holder.skipped - std::exchange(this->skippedBefore, this->holder.skipped);
    if (skipped > 0) {
        this->state.counters.usageReportsLate += skipped;
        this->state.log.write(Importance::Notable, "usage_skipped", {{"windows", skipped}, {"window", this->holder.lastSkipped}});
    }
}

void UsageReporter::finish()
{
    this->isFinished = true;
    this->sendCounts(Duties::Repetition::None);
    if (Duties::isHolding(this->holder)) {
        this->announceHolding(false);
        Duties::resign(this->holder, this->dutyTime());
        this->recordProgress();
    }
}

std::optional<std::size_t> UsageReporter::rank() const
{
    const auto found = std::ranges::find(this->collectors, this->peers.state().members.self);
    return found == this->collectors.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - this->collectors.begin()));
}

bool UsageReporter::isHolderAlive() const
{
    const auto *stored = Duties::observedRecord(this->holder);
    const auto &members = this->peers.state().members;
    if (!Membership::isAmongMajority(members)) {
        // The holder may be on the other side of a network partition, where the counts of most instances arrive.
        return true;
    }
    const auto *member = stored == nullptr ? nullptr : Membership::find(members, {stored->record.process});
    return member != nullptr && member->update.state == Membership::MemberState::Alive;
}

Core::WallTime UsageReporter::wallTime() const
{
    return Duties::timeOf(this->clock, this->clocks.boot());
}

Core::TimePoint UsageReporter::dutyTime() const
{
    return Core::TimePoint(std::chrono::duration_cast<Core::Duration>(this->clocks.boot()));
}

} // namespace Briarbend::Gateway
