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
            ++this->refusedCalls;
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

    Response carryOut(const std::string &holder, const Action &action)
    {
        if (const auto *report = std::get_if<SendReport>(&action)) {
            return this->call(holder, *report);
        }
        const auto *write = std::get_if<WriteRecord>(&action);
        return write == nullptr ? Response{this->read()} : Response{this->write(*write)};
    }

    static Response lostResponseTo(const Action &action)
    {
        if (std::holds_alternative<SendReport>(action)) {
            return CallResult{NoResponse{"lost"}};
        }
        return std::holds_alternative<WriteRecord>(action) ? Response{WriteResult{NoResponse{"lost"}}} : ReadResult{NoResponse{"lost"}};
    }

    Events events;
    std::optional<StoredRecord> record;
    std::uint64_t revision{10};
    bool isStoreDown{false};
    bool isEndpointDown{false};
    std::size_t reads{0};
    std::size_t writes{0};
    std::size_t refusedCalls{0};
    std::vector<Act> acts;
    std::map<WindowIndex, Counts> reports;
    std::map<std::uint64_t, std::string> holderOfToken;
    std::uint64_t greatestToken{0};
};

/// One instance. Its calls take 5 ms.
class Player
{
public:
    Player(FakePlatform &platform, std::string name, std::size_t rank, std::uint64_t seed);

    void start();
    /// The process ends; its calls in progress may still be carried out. A new process starts after the delay.
    void crash(std::optional<Core::Duration> restartAfter);

    HolderState state;
    std::size_t rank;
    /// Others from which this instance hears.
    std::vector<Player *> heard;
    CountTable table;
    bool isRunning{false};
    Core::TimePoint frozenUntil;
    /// Share of calls whose response is lost; half of these are carried out up to three seconds later.
    double lossRate{0};
    bool loseNextWriteResponse{false};
    /// Called before each call; false keeps the call from being made.
    std::function<bool(const Action &action)> onAction;

private:
    void stepAfter(Core::Duration delay);
    void step();
    void perform(const Action &action);
    void apply(const FakePlatform::Response &response, Core::TimePoint began);

    FakePlatform &platform;
    std::string name;
    Core::Random random;
    bool isBusy{false};
    std::uint64_t processes{0};
};

} // namespace Briarbend::Duties
