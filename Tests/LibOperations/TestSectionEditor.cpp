#include <LibConfiguration/StoredSection.h>
#include <LibDocument/DocumentProblem.h>
#include <LibOperations/SectionEditor.h>
#include <Tests/LibStore/FakeObjectStore.h>
#include <Tests/LibStore/MockObjectStore.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Operations
{

namespace
{

namespace Asio = boost::asio;
using Configuration::DataCentreState;
using Store::Fault;

constexpr RetryPolicy AT_ONCE{.maximumAttempts = 8, .pause = Core::Duration::zero()};

std::string sectionText(const std::string &state, const std::string &comment = "")
{
    return "[team.a.data_centre.x]\nstate = \"" + state + "\"\n" + (comment.empty() ? "" : "# " + comment + "\n");
}

/// Runs edits side by side on one store.
struct Editors {
    Asio::io_context context;
    std::vector<std::optional<EditResult>> results;

    void start(Asio::awaitable<EditResult> edit)
    {
        const auto index = this->results.size();
        this->results.emplace_back();
        Asio::co_spawn(this->context, std::move(edit), [this, index](const std::exception_ptr &exception, EditResult result) {
            EXPECT_FALSE(exception);
            this->results[index] = std::move(result);
        });
    }

    EditResult run(Asio::awaitable<EditResult> edit)
    {
        this->start(std::move(edit));
        this->context.restart();
        this->context.run();
        return this->results.back().value();
    }
};

SectionEdit editOf(const std::string &identifier, EditBase base)
{
    return {.team = {"a"}, .edit = identifier, .text = sectionText("in", identifier), .base = base};
}

std::string storedEdit(Store::FakeObjectStore &store)
{
    return Configuration::parseStoredSection(store.objects.at("configuration/a").value, "configuration/a").edit;
}

Store::Version putSection(Store::FakeObjectStore &store, const std::string &edit, const std::string &text, const std::string &team = "a")
{
    return store.put("configuration/" + team, Configuration::formatStoredSection({.edit = edit, .text = text}));
}

} // namespace

RC_GTEST_PROP(SectionEditor, aRaceUnderFaultsHasAtMostOneWinnerAndReportsWhatTheStoreHolds, ())
{
    Store::FakeObjectStore store;
    store.faults = *rc::gen::container<std::deque<Fault>>(
        rc::gen::element(Fault::None, Fault::None, Fault::None, Fault::LostAnswer, Fault::LostRequest, Fault::Outage));
    Editors editors;
    editors.start(applySection(store, editOf("first", OnlyAbsent{}), AT_ONCE));
    editors.start(applySection(store, editOf("second", OnlyAbsent{}), AT_ONCE));
    editors.context.run();
    const std::array<std::string, 2> names{"first", "second"};
    RC_ASSERT(store.writes <= 1);
    for (const auto index : {std::size_t{0}, std::size_t{1}}) {
        const auto &result = editors.results[index].value();
        const bool isStored = store.writes == 1 && storedEdit(store) == names[index];
        if (std::holds_alternative<EditAccepted>(result)) {
            RC_ASSERT(isStored);
        } else if (!std::holds_alternative<EditUnknown>(result)) {
            RC_ASSERT(!isStored);
        }
    }
}

TEST(SectionEditor, aRaceOfTwoAppliesEndsInOneClearConflict)
{
    Store::FakeObjectStore store;
    const auto base = putSection(store, "zero", sectionText("in"));
    Editors editors;
    editors.start(applySection(store, editOf("first", OnlyVersion{base}), AT_ONCE));
    editors.start(applySection(store, editOf("second", OnlyVersion{base}), AT_ONCE));
    editors.context.run();
    EXPECT_EQ(editors.results[0], EditResult(EditAccepted{.version = base + 1}));
    EXPECT_EQ(editors.results[1],
              EditResult(EditConflict{.currentVersion = base + 1, .currentText = sectionText("in", "first"), .mayHaveBeenInForce = false}));
}

TEST(SectionEditor, aLostAnswerIsSettledByReadingBackTheEdit)
{
    for (const auto fault : {Fault::LostAnswer, Fault::LostRequest}) {
        Store::FakeObjectStore store;
        store.faults = {Fault::None, Fault::None, fault, Fault::Outage, Fault::Outage};
        Editors editors;
        EXPECT_EQ(editors.run(applySection(store, editOf("mine", OnlyAbsent{}), AT_ONCE)), EditResult(EditAccepted{.version = 1}));
        EXPECT_EQ(store.writes, 1U);
    }
}

TEST(SectionEditor, saysUnknownOnlyAfterALostAnswerThatCanNotBeReadBack)
{
    Store::FakeObjectStore store;
    store.faults = {Fault::None, Fault::None, Fault::LostAnswer};
    store.faults.resize(100, Fault::Outage);
    Editors editors;
    EXPECT_EQ(editors.run(applySection(store, editOf("mine", OnlyAbsent{}), AT_ONCE)),
              EditResult(EditUnknown{.edit = "mine", .reason = "fault"}));
    testing::StrictMock<Store::MockObjectStore> down;
    EXPECT_CALL(down, list).WillOnce([](const std::string &) {
        return Store::answer<Store::ListResult>(Store::Unavailable{"down"});
    });
    EXPECT_EQ(editors.run(applySection(down, editOf("mine", OnlyAbsent{}), AT_ONCE)), EditResult(StoreUnavailable{"down"}));
}

TEST(SectionEditor, replacesOnlyTheVersionThatTheEditIsBasedOnAndNothingThatIsEqual)
{
    Store::FakeObjectStore store;
    Editors editors;
    const auto version = putSection(store, "theirs", sectionText("out"));
    const auto run = [&](EditBase base) {
        return editors.run(applySection(store, editOf("mine", base), AT_ONCE));
    };
    const EditConflict conflict{.currentVersion = version, .currentText = sectionText("out")};
    EXPECT_EQ(run(OnlyAbsent{}), EditResult(conflict));
    EXPECT_EQ(run(OnlyVersion{version + 1}), EditResult(conflict));
    EXPECT_EQ(run(AnyVersion{}), EditResult(EditAccepted{.version = version + 1}));
    EXPECT_EQ(run(OnlyAbsent{}), EditResult(EditAccepted{.version = version + 1, .isChanged = false}));
}

TEST(SectionEditor, refusesAServiceOrPathOfAnotherTeam)
{
    const auto service = [](const std::string &team) {
        return "[[team." + team + ".service.s.route]]\npath = \"/s/\"\nkind = \"safe\"\n";
    };
    Store::FakeObjectStore store;
    putSection(store, "theirs", service("b"), "b");
    Editors editors;
    const auto result = editors.run(applySection(store, {{"a"}, "mine", service("a"), OnlyAbsent{}}, AT_ONCE));
    EXPECT_EQ(result, EditResult(EditClashes{{{{"b"}, {"s"}, ""}, {{"b"}, {"s"}, "/s/"}}}));
    EXPECT_EQ(store.writes, 0U);
}

TEST(SectionEditor, aBrokenObjectStopsNoOtherTeamAndCanBeMended)
{
    Store::FakeObjectStore store;
    store.put("configuration/b", "no section");
    const auto broken = store.put("configuration/a", "no section");
    Editors editors;
    const SectionEdit ofAnother{.team = {"c"}, .edit = "c", .text = "[team.c]\n", .base = OnlyAbsent{}};
    EXPECT_EQ(editors.run(applySection(store, ofAnother, AT_ONCE)), EditResult(EditAccepted{.version = 3}));
    EXPECT_EQ(editors.run(applySection(store, editOf("mine", OnlyAbsent{}), AT_ONCE)),
              EditResult(EditConflict{.currentVersion = broken, .currentText = {}}));
    EXPECT_EQ(editors.run(applySection(store, editOf("mine", OnlyVersion{broken}), AT_ONCE)), EditResult(EditAccepted{.version = 4}));
}

TEST(SectionEditor, aSectionAboveTheStoresLimitIsAProblemOfTheDocument)
{
    Store::FakeObjectStore store;
    Editors editors;
    const SectionEdit large{
        .team = {"a"}, .edit = "large", .text = "[team.a]\n# " + std::string(Store::MAXIMUM_VALUE_BYTES, 'x') + "\n", .base = OnlyAbsent{}};
    bool isRefused = false;
    boost::asio::co_spawn(
        editors.context, applySection(store, large, AT_ONCE), [&isRefused](const std::exception_ptr &exception, const EditResult &) {
            EXPECT_THROW(std::rethrow_exception(exception), Document::DocumentError);
            isRefused = true;
        });
    editors.context.run();
    EXPECT_TRUE(isRefused);
}

class DataCentreEditTest : public testing::Test
{
protected:
    EditResult drain(const std::string &dataCentre)
    {
        return this->editors.run(changeDataCentreState(this->store, {{"a"}, "drain", {dataCentre}, DataCentreState::Out}, AT_ONCE));
    }

    std::string text()
    {
        return Configuration::parseStoredSection(this->store.objects.at("configuration/a").value, "").text;
    }

    /// Another operator's edit just before the first write of this one takes effect.
    void raceWith(std::string otherText)
    {
        this->store.beforeWrite = [this, otherText = std::move(otherText)](const std::string &) {
            putSection(this->store, "other", otherText);
            this->store.beforeWrite = nullptr;
        };
    }

    Store::FakeObjectStore store;
    Editors editors;
};

TEST_F(DataCentreEditTest, keepsAnotherEditThatLeavesTheStateAlone)
{
    putSection(this->store, "zero", sectionText("in"));
    this->raceWith(sectionText("in", "other's words"));
    EXPECT_EQ(this->drain("x"), EditResult(EditAccepted{.version = 3}));
    EXPECT_EQ(this->text(), sectionText("out", "other's words"));
    EXPECT_EQ(this->drain("x"), EditResult(EditAccepted{.version = 3, .isChanged = false}));
}

TEST_F(DataCentreEditTest, yieldsToAnotherEditOfTheSameState)
{
    const std::string withY = sectionText("in") + "[team.a.data_centre.y]\nstate = \"in\"\n";
    putSection(this->store, "zero", withY);
    this->raceWith("[team.a.data_centre.y]\nstate = \"in\"\n");
    EXPECT_TRUE(std::holds_alternative<EditConflict>(this->drain("x")));
    this->raceWith("[team.a.data_centre.y]\nstate = \"out\"\n");
    EXPECT_EQ(this->drain("y"), EditResult(EditAccepted{.version = 3, .isChanged = false}));
}

TEST_F(DataCentreEditTest, refusesADataCentreThatNobodyKnows)
{
    EXPECT_TRUE(std::holds_alternative<NothingToEdit>(this->drain("x")));
    putSection(this->store, "zero", sectionText("in"));
    EXPECT_TRUE(std::holds_alternative<NothingToEdit>(this->drain("typo")));
    this->store.listed = {{.address = "127.0.0.1:1", .service = {"s"}, .dataCentre = {"z"}, .version = {"v1"}}};
    EXPECT_EQ(this->drain("z"), EditResult(EditAccepted{.version = 2}));
}

} // namespace Briarbend::Operations
