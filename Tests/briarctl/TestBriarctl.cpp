#include "StoreServer.h"

#include <LibConfiguration/StoredSection.h>
#include <Tests/Golden/GoldenFile.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <sys/wait.h>

namespace Briarbend::Testing
{

namespace
{

using Store::FakeObjectStore;
using Store::Fault;

std::string replaceAll(std::string text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

/// A run of briarctl that has been started.
class ProgramRun
{
public:
    explicit ProgramRun(const std::string &command)
        : pipe(popen(("cd " BRIARBEND_SOURCE_FOLDER " && " + command + " 2>&1").c_str(), "r"))
    {
    }

    /// Waits for the end, keeping what was printed, and returns the exit code.
    int finish()
    {
        std::array<char, 4096> buffer{};
        for (auto count = fread(buffer.data(), 1, buffer.size(), this->pipe); count > 0;
             count = fread(buffer.data(), 1, buffer.size(), this->pipe)) {
            this->text.append(buffer.data(), count);
        }
        return WEXITSTATUS(pclose(this->pipe));
    }

    std::string text;

private:
    FILE *pipe;
};

} // namespace

class BriarctlTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_NE(mkdtemp(this->folder.data()), nullptr);
    }

    void TearDown() override
    {
        std::filesystem::remove_all(this->folder);
    }

    std::string commandLine(const std::string &arguments) const
    {
        return "BRIARBEND_STORE=" + this->server.storeAddress() + " BRIARBEND_INSTANCES=" + this->server.instanceAddresses()
            + " " BRIARCTL_PROGRAM + " " + replaceAll(arguments, "$FOLDER", this->folder);
    }

    /// Runs briarctl and writes command, output and exit code down, without what differs from run to run.
    void run(const std::string &arguments)
    {
        ProgramRun program(this->commandLine(arguments));
        const auto code = program.finish();
        auto text = replaceAll(program.text, this->folder, "$FOLDER");
        text = replaceAll(std::move(text), this->server.storeAddress(), "$STORE");
        text = std::regex_replace(text, std::regex("[0-9a-f]{32}"), "$$EDIT");
        std::size_t number = 0;
        std::stringstream instances(this->server.instanceAddresses());
        for (std::string address; std::getline(instances, address, ',');) {
            number += 1;
            text = replaceAll(std::move(text), address, "$INSTANCE" + std::to_string(number));
        }
        this->transcript += "$ briarctl " + arguments + "\n" + text + "exit " + std::to_string(code) + "\n\n";
    }

    /// Replaces a text in a file of the folder.
    void edit(const std::string &file, const std::string &from, const std::string &to) const
    {
        const auto path = this->folder + "/" + file;
        std::ifstream stream(path);
        const std::string text{std::istreambuf_iterator<char>(stream), {}};
        EXPECT_NE(text.find(from), std::string::npos);
        std::ofstream(path) << replaceAll(text, from, to);
    }

    void addInstance(const std::string &name, const std::string &configuration)
    {
        this->server.addInstance(R"({"instance":")" + name + R"(","data_centre":"sfax-1","ready":true,"configuration":)" + configuration
                                 + "}");
    }

    void setFaults(std::deque<Fault> faults)
    {
        this->server.change([&faults](FakeObjectStore &store) {
            store.faults = std::move(faults);
        });
    }

    StoreServer server;
    std::string folder = testing::TempDir() + "briarctl-XXXXXX";
    std::string transcript;
};

TEST_F(BriarctlTest, helpOfEveryCommand)
{
    this->run("--help");
    for (const auto *command : {"check", "apply", "show", "status", "dump", "drain", "undrain", "explain"}) {
        this->run(std::string(command) + " --help");
    }
    expectGolden("Tests/Golden/briarctl/help.txt", this->transcript);
}

TEST_F(BriarctlTest, editsOfTwoOperators)
{
    this->run("check docs/examples/sfax.toml docs/examples/klang.toml");
    this->run("apply --team benches docs/examples/sfax.toml");
    this->run("apply --team benches docs/examples/sfax.toml");
    this->run("apply --team dispatch docs/examples/sfax.toml");
    this->run("show --team dispatch");
    // One operator edits what show printed; another takes a data centre out meanwhile.
    this->run("show --team benches > $FOLDER/benches.toml");
    this->edit("benches.toml", "500ms", "250ms");
    this->run("drain sfax-2 --team benches");
    this->run("apply --team benches $FOLDER/benches.toml");
    this->run("apply --team benches --json $FOLDER/benches.toml");
    this->run("show --team benches > $FOLDER/benches.toml");
    this->edit("benches.toml", "500ms", "250ms");
    this->run("apply --team benches $FOLDER/benches.toml");
    // A file without a marker must not replace a section by accident.
    this->run("apply --team benches docs/examples/sfax.toml");
    this->run("apply --team benches --replace docs/examples/sfax.toml");
    this->run("drain sfax-9 --team benches");
    this->run("drain sfax-1 --team nobody");
    expectGolden("Tests/Golden/briarctl/edits.txt", this->transcript);
}

TEST_F(BriarctlTest, problemsSayWhatToDoNext)
{
    std::ofstream(this->folder + "/house.toml") << "[team.benches.service.pattern]\ncolour = \"blue\"\n\n"
                                                   "[[team.benches.service.pattern.route]]\npath = \"/pattern/\"\nkind = \"safe\"\n\n"
                                                   "[team.sheets]\nunfinished = true\n";
    this->run("apply --team benches $FOLDER/house.toml");
    this->run("check --json $FOLDER/house.toml");
    this->run("check --settings $FOLDER/house.toml");
    this->run("apply --team nobody $FOLDER/house.toml");
    this->run("apply --team benches $FOLDER/absent.toml");
    this->run("apply $FOLDER/house.toml");
    this->run("apply --team benches --wait $FOLDER/house.toml");
    this->run("show --store localhost:1");
    this->run("show --team Benches");
    this->run("remove");
    this->run("status --colour");
    this->setFaults(std::deque<Fault>(100, Fault::Outage));
    this->run("apply --team benches docs/examples/sfax.toml");
    this->run("status --json");
    expectGolden("Tests/Golden/briarctl/problems.txt", this->transcript);
}

TEST_F(BriarctlTest, lostAnswersAreSettledOrSaidToBeUnknown)
{
    // An apply lists the sections and reads its own before it writes.
    this->setFaults({Fault::None, Fault::None, Fault::LostAnswer});
    this->run("apply --team benches docs/examples/sfax.toml");
    this->setFaults({Fault::None, Fault::LostRequest});
    this->run("drain sfax-1 --team benches");
    this->setFaults({Fault::None, Fault::LostAnswer, Fault::Outage});
    this->run("undrain sfax-1 --team benches --timeout 0s");
    expectGolden("Tests/Golden/briarctl/lost-answers.txt", this->transcript);
}

TEST_F(BriarctlTest, statusAndDumpShowTheInstanceThatIsOutOfStep)
{
    this->run("apply --team benches docs/examples/sfax.toml");
    this->server.change([](FakeObjectStore &store) {
        const auto *const text = "[[team.sheets.service.sheet.route]]\npath = \"/sheet/\"\nkind = \"safe\"\n[team.sheets.rollout.sheet]\n"
                                 "from = \"v1\"\nto = \"v2\"\nstart = 2026-03-01T06:00:00+01:00\nfinish_by = 2026-03-01T07:00:00+01:00\n";
        store.put("configuration/sheets", Configuration::formatStoredSection({.edit = "e", .text = text}));
        store.put("rollouts/sheet", R"({"state":"moving","share":0.25})");
    });
    this->addInstance("entry-1", R"({"benches":1,"sheets":2})");
    this->addInstance("entry-2", R"({"benches":1,"sheets":2})");
    this->addInstance("entry-3", R"({"benches":1})");
    this->run("status");
    this->run("status --json");
    this->run("dump");
    this->run("dump --json");
    this->run("drain sfax-2 --team benches --wait --timeout 0s");
    this->run("drain sfax-2 --team benches --json");
    expectGolden("Tests/Golden/briarctl/instances.txt", this->transcript);
}

TEST_F(BriarctlTest, aRaceOfTwoProcessesEndsInOneClearConflict)
{
    this->run("apply --team benches docs/examples/sfax.toml");
    this->run("show --team benches > $FOLDER/one.toml");
    this->run("show --team benches > $FOLDER/other.toml");
    this->edit("one.toml", "500ms", "250ms");
    this->edit("other.toml", "500ms", "750ms");
    ProgramRun one(this->commandLine("apply --team benches $FOLDER/one.toml"));
    ProgramRun other(this->commandLine("apply --team benches $FOLDER/other.toml"));
    const std::multiset<int> codes{one.finish(), other.finish()};
    EXPECT_EQ(codes, (std::multiset<int>{0, 75})) << one.text << other.text;
    const auto &loser = one.text.starts_with("conflict") ? one.text : other.text;
    EXPECT_EQ(loser.find("conflict: team benches is at version 2 in the store, by another edit; nothing was changed"), 0U) << loser;
}

TEST_F(BriarctlTest, theStoryOfAFailedRequest)
{
    this->run("explain --worst Tests/Golden/briarctl/front-1.log Tests/Golden/briarctl/front-2.log");
    this->run("explain --request a1 Tests/Golden/briarctl/front-1.log Tests/Golden/briarctl/front-2.log");
    this->run("explain --request a1 --json Tests/Golden/briarctl/front-1.log");
    this->run("explain --request nobody Tests/Golden/briarctl/front-1.log");
    this->run("explain Tests/Golden/briarctl/front-1.log");
    this->run("explain --worst $FOLDER/absent.log");
    expectGolden("Tests/Golden/briarctl/explain.txt", this->transcript);
}

// A document of the platform with a fault was first seen by instances, which leave it out of force without telling its writer.
TEST_F(BriarctlTest, documentsOfThePlatformAreCheckedAndCompared)
{
    std::filesystem::copy_file(sourcePath("docs/examples/main.json"), this->folder + "/next.json");
    this->run("check docs/examples/main.json docs/examples/sfax.toml");
    this->run("check --in-force docs/examples/main.json $FOLDER/next.json");
    this->edit("next.json", "\"timeoutS\": 1.5", "\"timeoutS\": 0.5");
    this->edit("next.json", "example-key-1", "example-key-2");
    this->run("check --in-force docs/examples/main.json $FOLDER/next.json");
    this->edit("next.json", "\"version\": 7", "\"version\": 8");
    this->run("check --in-force docs/examples/main.json $FOLDER/next.json");
    this->run("check --json --in-force docs/examples/main.json $FOLDER/next.json");
    this->edit("next.json", "\"weight\": 90", "\"weight\": 0");
    this->edit("next.json", "\"service\": \"desk\", \"weight\": 10", "\"service\": \"absent\", \"weight\": 10");
    this->run("check --json $FOLDER/next.json docs/examples/sfax.toml");
    this->edit("next.json", "\"kind\": \"idempotent\"", "\"kind\": 7");
    this->run("check $FOLDER/next.json");
    this->run("check --in-force docs/examples/main.json docs/examples/sfax.toml");
    this->run("check --in-force docs/examples/main.json $FOLDER/absent.json");
    this->run("check --in-force $FOLDER/absent.json docs/examples/main.json");
    this->run("check --in-force docs/examples/main.json");
    expectGolden("Tests/Golden/briarctl/platform-documents.txt", this->transcript);
}

TEST_F(BriarctlTest, completionAndManualNameEveryCommandAndOption)
{
    std::string help = readSource("Tests/Golden/briarctl/help.txt");
    const auto completion = readSource("Utilities/briarctl/briarctl.bash");
    const auto manual = replaceAll(readSource("docs/man/briarctl.1"), "\\-", "-");
    std::istringstream lines(help);
    std::size_t names = 0;
    for (std::string line; std::getline(lines, line);) {
        std::string name;
        std::istringstream(line) >> name;
        const bool isOption = line.starts_with("  --");
        const bool isCommand = line.starts_with("Usage: briarctl ") && !line.starts_with("Usage: briarctl COMMAND");
        if (!isOption && !isCommand) {
            continue;
        }
        name = isCommand ? line.substr(16, line.find(' ', 16) - 16) : name.substr(0, name.find('='));
        names += 1;
        EXPECT_NE(completion.find(name), std::string::npos) << name;
        EXPECT_NE(manual.find(name), std::string::npos) << name;
    }
    EXPECT_GT(names, 20U);
}

} // namespace Briarbend::Testing
