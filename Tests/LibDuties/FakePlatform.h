#pragma once

#include <LibCore/Random.h>
#include <LibDuties/Holder.h>

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

namespace Briarbend::Duties
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds LEASE = 3s;
constexpr WindowParameters WINDOWS{.length = 5s, .due = 10s};

/// Virtual time with events in order.
struct Events {
    void after(Core::Duration delay, std::function<void()> event)
    {
        this->events.emplace(this->now + delay, std::move(event));
    }

    void runFor(Core::Duration duration)
    {
        const auto end = this->now + duration;
        while (!this->events.empty() && this->events.begin()->first <= end) {
            auto entry = this->events.extract(this->events.begin());
            this->now = entry.key();
            entry.mapped()();
        }
        this->now = end;
    }

    Core::WallTime wall() const
    {
        return Core::WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch()));
    }

    Core::TimePoint now{std::chrono::hours{1}};
    std::multimap<Core::TimePoint, std::function<void()>> events;
};

/// The platform's side: the stored record and the endpoint of reports. Notes every broken rule as a test failure.
struct FakePlatform {
    using Response = std::variant<ReadResult, WriteResult, CallResult>;

    struct Act {
        std::string holder;
        std::uint64_t token;
        Core::TimePoint at;
    };

    ReadResult read()
    {
        ++this->reads;
        if (this->isStoreDown) {
            return NoResponse{"down"};
        }
        return this->record ? ReadResult{*this->record} : RecordAbsent{};
    }

    WriteResult write(const WriteRecord &write)
    {
        ++this->writes;
        if (this->isStoreDown) {
            return NoResponse{"down"};
        }
        if (write.expected != (this->record ? std::optional(this->record->version) : std::nullopt)) {
            return RecordConflict{this->record};
        }
        this->record = StoredRecord{.record = write.record, .version = {.era = 0, .number = ++this->revision}};
        return RecordWritten{this->record->version};
    }

    CallResult call(const std::string &holder, const SendReport &report)
    {
        if (this->isEndpointDown) {
            return CallDeferred{.reason = "status 429", .retryAfter = std::nullopt};
        }
        if (report.token < this->greatestToken) {
            this->refusals.push_back({.holder = holder, .token = report.token, .at = this->events.now});
            return TokenRefused{};
        }
        this->greatestToken = report.token;
        const auto now = this->events.now;
        EXPECT_EQ(this->holderOfToken.emplace(report.token, holder).first->second, holder) << "two holders used token " << report.token;
        EXPECT_EQ(this->reports.emplace(report.window, report.counts).first->second, report.counts)
            << "reports of window " << report.window;
        const auto other = std::find_if(this->acts.rbegin(), this->acts.rend(), [&holder](const Act &act) {
            return act.holder != holder;
        });
        const auto own = std::find_if(other, this->acts.rend(), [&holder](const Act &act) {
            return act.holder == holder;
        });
        const bool isReturn = other == this->acts.rbegin() && own != this->acts.rend();
        EXPECT_FALSE(isReturn && now - own->at < LEASE) << "A, B, A within the lease";
        this->acts.push_back({.holder = holder, .token = report.token, .at = now});
        return CallAccepted{};
    }

    Response carryOut(const std::string &holder, const Action &action, bool isLost = false)
    {
        const NoResponse lost{"lost"};
        const bool isResponseLost = isLost || (holder == this->separatedFromStore && !std::holds_alternative<SendReport>(action));
        if (const auto *report = std::get_if<SendReport>(&action)) {
            return isResponseLost ? CallResult{lost} : this->call(holder, *report);
        }
        if (const auto *write = std::get_if<WriteRecord>(&action)) {
            return isResponseLost ? WriteResult{lost} : this->write(*write);
        }
        return isResponseLost ? ReadResult{lost} : this->read();
    }

    Events events;
    std::optional<StoredRecord> record;
    std::uint64_t revision{10};
    bool isStoreDown{false};
    /// The holder from which the store cannot be reached.
    std::string separatedFromStore;
    bool isEndpointDown{false};
    std::size_t reads{0};
    std::size_t writes{0};
    std::vector<Act> acts;
    std::vector<Act> refusals;
    std::map<WindowIndex, Counts> reports;
    std::map<std::uint64_t, std::string> holderOfToken;
    std::uint64_t greatestToken{0};
};

/// One instance. Its calls take 5 ms.
class Player
{
public:
    Player(FakePlatform &fakePlatform, std::string playerName, std::size_t ownRank, std::uint64_t seed)
        : rank(ownRank)
        , platform(fakePlatform)
        , name(std::move(playerName))
        , random(seed)
    {
    }

    void start()
    {
        ++this->processes;
        this->isRunning = true;
        this->isBusy = false;
        this->state = makeHolder(
            {.name = this->name, .process = this->name + "-" + std::to_string(this->processes), .lease = LEASE, .window = WINDOWS.length},
            this->platform.events.now);
        this->stepAfter(100ms);
    }

    /// The process ends; its calls in progress may still be carried out. A new process starts after the delay.
    void crash(std::optional<Core::Duration> restartAfter)
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

    HolderState state;
    std::size_t rank;
    /// Others from which this instance hears.
    std::vector<Player *> heard;
    CountTable table;
    bool isRunning{false};
    Core::TimePoint frozenUntil;
    /// The membership shows the holder as alive.
    bool seesHolderAlive{false};
    /// Share of calls whose response is lost; half of these are carried out up to three seconds later.
    double lossRate{0};
    bool loseNextWriteResponse{false};
    /// Called before each call; false keeps the call from being made.
    std::function<bool(const Action &action)> onAction;

private:
    void stepAfter(Core::Duration delay)
    {
        this->platform.events.after(delay, [this, process = this->processes] {
            if (process == this->processes) {
                this->step();
            }
        });
    }

    void step()
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
                                  .isHolderAlive = this->seesHolderAlive,
                                  .latestClosed = latestClosed,
                                  .oldestReportable = oldestReportableWindow(events.wall(), WINDOWS),
                                  .completeFrom = NO_WINDOW},
                                 this->table));
    }

    void perform(const Action &action)
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
            apply(this->platform.carryOut(this->name, action, isLost));
        });
    }

    void apply(const FakePlatform::Response &response, Core::TimePoint began)
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

    FakePlatform &platform;
    std::string name;
    Core::Random random;
    bool isBusy{false};
    std::uint64_t processes{0};
};

} // namespace Briarbend::Duties
