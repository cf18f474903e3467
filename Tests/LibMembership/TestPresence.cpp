#include <LibMembership/Majority.h>
#include <LibMembership/Membership.h>
#include <LibMembership/Presence.h>

#include <gtest/gtest.h>

namespace Briarbend::Membership
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Core::TimePoint START{seconds{100}};
constexpr milliseconds STEP{100};

MemberUpdate updateOf(std::size_t index)
{
    const auto name = "front-" + std::to_string(index);
    return {.id = {name}, .address = {name + ":1"}, .dataCentre = {"a"}};
}

/// The table of one member of which others are gone since the start.
State stateOf(std::size_t self, std::size_t members, const std::set<std::size_t> &reached)
{
    auto state = makeState(updateOf(self), {}, START);
    for (std::size_t index = 0; index < members; ++index) {
        if (index != self) {
            Member member;
            member.update = updateOf(index);
            member.update.state = reached.contains(index) ? MemberState::Alive : MemberState::Gone;
            member.lastHeard = START;
            member.stateSince = START;
            state.members.emplace(member.update.id, member);
        }
    }
    return state;
}

/// The store, and the writer of one part of the fleet.
struct Writer {
    State state;
    PresenceState presence;
    Core::TimePoint nextRenewal{START};

    void advance(PresenceTable &store, Core::TimePoint now)
    {
        if (now < this->nextRenewal) {
            return;
        }
        this->nextRenewal = now + PRESENCE_INTERVAL;
        applyTable(this->presence, store, this->state.members.at(this->state.self).update.address, now);
        store = decodePresence(encodePresence(renewedTable(this->presence, this->state, now)));
    }

    bool mayDecide(Core::TimePoint now) const
    {
        return mayDecideForAll(this->presence, this->state, now);
    }
};

Writer writerOf(std::size_t members, const std::set<std::size_t> &part)
{
    return {.state = stateOf(*part.begin(), members, part), .presence = {}};
}

std::set<std::size_t> range(std::size_t first, std::size_t end)
{
    std::set<std::size_t> part;
    for (auto index = first; index < end; ++index) {
        part.insert(index);
    }
    return part;
}

} // namespace

// Guards against decisions that wait for members which are gone for good.
TEST(Presence, whoeverIsLeftDecidesOnceNobodyElseShowsToBeAlive)
{
    for (const std::size_t left : {1U, 3U, 9U}) {
        PresenceTable store;
        auto writer = writerOf(19, range(0, left));
        ASSERT_FALSE(isAmongMajority(writer.state));
        auto now = START;
        for (; now < START + PRESENCE_TIMEOUT; now += STEP) {
            writer.advance(store, now);
            EXPECT_FALSE(writer.mayDecide(now)) << "others may not have noticed yet that members are missing";
        }
        for (; now < START + 2 * PRESENCE_TIMEOUT; now += STEP) {
            writer.advance(store, now);
        }
        EXPECT_TRUE(writer.mayDecide(now));
    }
}

// Guards against two parts that decide at the same time, whatever the sizes and however many were lost besides.
TEST(Presence, neverMoreThanOnePartDecides)
{
    constexpr std::size_t MEMBERS = 13;
    for (std::size_t first = 1; first < MEMBERS; ++first) {
        for (std::size_t second = 1; first + second <= MEMBERS; ++second) {
            PresenceTable store;
            auto one = writerOf(MEMBERS, range(0, first));
            auto other = writerOf(MEMBERS, range(first, first + second));
            // The second part notices later that members are missing.
            other.nextRenewal = START + PRESENCE_INTERVAL * 2;
            auto now = START;
            for (; now < START + seconds{20}; now += STEP) {
                one.advance(store, now);
                other.advance(store, now);
                EXPECT_FALSE(one.mayDecide(now) && other.mayDecide(now)) << first << " and " << second;
            }
            EXPECT_EQ(one.mayDecide(now), first > second) << first << " and " << second;
            EXPECT_EQ(other.mayDecide(now), second > first) << first << " and " << second;
        }
    }
}

TEST(Presence, partThatIsLostLaterNoLongerCounts)
{
    PresenceTable store;
    auto smaller = writerOf(19, range(0, 4));
    auto larger = writerOf(19, range(4, 10));
    auto now = START;
    for (; now < START + seconds{10}; now += STEP) {
        smaller.advance(store, now);
        larger.advance(store, now);
    }
    EXPECT_FALSE(smaller.mayDecide(now));
    for (; now < START + seconds{20}; now += STEP) {
        smaller.advance(store, now);
    }
    EXPECT_TRUE(smaller.mayDecide(now));
}

// An instance that does not read the entries knows nothing of other parts.
TEST(Presence, absenceCountsOnlyWhileTheEntriesAreRead)
{
    PresenceTable store;
    auto writer = writerOf(19, range(0, 3));
    auto now = START;
    for (; now < START + seconds{10}; now += STEP) {
        writer.advance(store, now);
    }
    ASSERT_TRUE(writer.mayDecide(now));
    now += PRESENCE_TIMEOUT * 2;
    EXPECT_FALSE(writer.mayDecide(now));
    writer.advance(store, now);
    EXPECT_FALSE(writer.mayDecide(now + STEP)) << "others may have come and shown themselves meanwhile";
}

TEST(Presence, entriesStayBoundedAndThoseOfOtherProgramsAreLeftOut)
{
    const auto table = decodePresence(R"({"reached":{"a:1":[3,[1,2]],"b:1":"x","c:1":[-1],"d:1":[1,[2,{}]],"e:1":null}})");
    EXPECT_EQ(table, (PresenceTable{{{"a:1"}, {.sequence = 3, .members = {1, 2}}}}));
    EXPECT_TRUE(decodePresence("[[[").empty());
    EXPECT_TRUE(decodePresence(R"({"reached":7})").empty());
    EXPECT_TRUE(decodePresence(std::string(100'000, '[')).empty());

    constexpr std::size_t MANY = 200;
    PresenceTable store;
    for (std::size_t index = 0; index < MANY; ++index) {
        store[updateOf(1000 + index).address] = {.sequence = 1, .members = {7}};
    }
    auto writer = writerOf(19, range(0, 3));
    writer.advance(store, START);
    EXPECT_LT(store.size(), MANY / 4);
    for (auto now = START; now < START + seconds{40}; now += STEP) {
        writer.advance(store, now);
    }
    EXPECT_EQ(store.size(), 1U) << "entries that nobody renews are removed";
}

} // namespace Briarbend::Membership
