#include "CommandTable.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <limits>
#include <sstream>

namespace Briarbend::Briarctl
{

namespace
{

constexpr std::size_t ANY_NUMBER{std::numeric_limits<std::size_t>::max()};
constexpr int OPTION_COLUMN{32};
constexpr int COMMAND_COLUMN{26};

constexpr std::array OPTIONS{
    OptionDescription{
        Option::BasedOn, "based-on", "VERSION", "The version that the file was edited from; read from its marker line if absent."},
    OptionDescription{Option::Help, "help", "", "Show this help."},
    OptionDescription{Option::InForce, "in-force", "FILE", "The version in force, to be compared with a document of the platform."},
    OptionDescription{Option::Instances, "instances", "ADDRESS,...", "Operator addresses of the instances; else BRIARBEND_INSTANCES."},
    OptionDescription{Option::Json, "json", "", "Print one JSON object instead of text."},
    OptionDescription{Option::Replace, "replace", "", "Replace whatever version the store holds when the command begins."},
    OptionDescription{Option::Request, "request", "ID", "The request whose story is told."},
    OptionDescription{Option::Settings, "settings", "", "The files are settings of briarbendd, not configuration documents."},
    OptionDescription{Option::Store, "store", "ADDRESS,...", "Addresses of the store; else BRIARBEND_STORE."},
    OptionDescription{Option::Team, "team", "TEAM", "The team whose section is meant."},
    OptionDescription{Option::Timeout, "timeout", "DURATION", "How long to follow up a lost answer and to wait for instances (\"10s\")."},
    OptionDescription{Option::Wait, "wait", "", "Wait until all instances have the edit in force."},
    OptionDescription{Option::Watch, "watch", "", "Show again every two seconds until interrupted."},
    OptionDescription{Option::Worst, "worst", "", "List the requests worth asking about, worst first."},
};

constexpr std::string_view EXIT_CODES{R"(
Exit codes:
   0  done
   1  shown or accepted, but an instance did not answer or is out of step
   2  the check has warnings, but no errors
  64  the command line can not be understood
  65  the configuration document has problems; nothing was changed
  66  the section, data centre or request does not exist; nothing was changed
  69  the store did not answer; nothing was changed
  70  a fault of briarctl itself
  74  the store's answer was lost; the edit may be in force or not
  75  another edit came first; nothing was changed
  78  the settings file has problems
)"};

void printOption(std::ostream &text, const OptionDescription &option)
{
    std::string usage = "  --" + std::string(option.name);
    if (!option.argument.empty()) {
        usage += "=" + std::string(option.argument);
    }
    text << std::left << std::setw(OPTION_COLUMN) << usage << option.meaning << "\n";
}

} // namespace

std::span<const OptionDescription> options()
{
    return OPTIONS;
}

const OptionDescription &describe(Option option)
{
    return *std::ranges::find(OPTIONS, option, &OptionDescription::option);
}

const std::vector<CommandDescription> &commands()
{
    static const std::vector<CommandDescription> table{
        {.command = Command::Check,
         .name = "check",
         .arguments = "FILE...",
         .minimumArguments = 1,
         .maximumArguments = ANY_NUMBER,
         .meaning = "Check configuration documents, those of the platform (JSON) among them, or settings files, and report every problem.",
         .options = {Option::Settings, Option::InForce, Option::Json, Option::Help},
         .examples = {"briarctl check docs/examples/sfax.toml",
                      "briarctl check --settings docs/examples/briarbendd.toml",
                      "briarctl check docs/examples/main.json",
                      "briarctl check --in-force main.json next.json"}},
        {.command = Command::Apply,
         .name = "apply",
         .arguments = "FILE",
         .minimumArguments = 1,
         .maximumArguments = 1,
         .meaning = "Put one team's section of a configuration document into force; other sections are left alone.",
         .options = {Option::Team,
                     Option::BasedOn,
                     Option::Replace,
                     Option::Wait,
                     Option::Instances,
                     Option::Store,
                     Option::Timeout,
                     Option::Json,
                     Option::Help},
         .examples = {"briarctl show --team benches > benches.toml    # then edit, then",
                      "briarctl apply --team benches benches.toml",
                      "briarctl apply --team benches --based-on 12 house.toml",
                      "briarctl apply --team benches --wait --instances 10.0.0.7:8082,10.0.0.8:8082 benches.toml"}},
        {.command = Command::Show,
         .name = "show",
         .arguments = "",
         .minimumArguments = 0,
         .maximumArguments = 0,
         .meaning = "Print the sections that the store holds, or one team's, ready to be edited and applied.",
         .options = {Option::Team, Option::Store, Option::Json, Option::Help},
         .examples = {"briarctl show", "briarctl show --team benches > benches.toml"}},
        {.command = Command::Status,
         .name = "status",
         .arguments = "",
         .minimumArguments = 0,
         .maximumArguments = 0,
         .meaning = "Show data centres, rollouts, sections and what each instance has in force.",
         .options = {Option::Instances, Option::Watch, Option::Store, Option::Timeout, Option::Json, Option::Help},
         .examples = {"briarctl status --instances 10.0.0.7:8082,10.0.0.8:8082", "briarctl status --watch"}},
        {.command = Command::Dump,
         .name = "dump",
         .arguments = "",
         .minimumArguments = 0,
         .maximumArguments = 0,
         .meaning = "Show the dumps of all instances laid over each other; an instance out of step is marked with !.",
         .options = {Option::Instances, Option::Timeout, Option::Json, Option::Help},
         .examples = {"briarctl dump --instances 10.0.0.7:8082,10.0.0.8:8082", "briarctl dump --json | jq .out_of_step"}},
        {.command = Command::Drain,
         .name = "drain",
         .arguments = "DATA-CENTRE",
         .minimumArguments = 1,
         .maximumArguments = 1,
         .meaning = "Take a data centre out: it gets no new work, requests in flight finish. Nothing else is edited.",
         .options = {Option::Team, Option::Wait, Option::Instances, Option::Store, Option::Timeout, Option::Json, Option::Help},
         .examples = {"briarctl drain sfax-1 --team benches --wait"}},
        {.command = Command::Undrain,
         .name = "undrain",
         .arguments = "DATA-CENTRE",
         .minimumArguments = 1,
         .maximumArguments = 1,
         .meaning = "Bring a data centre back that was taken out. Nothing else is edited.",
         .options = {Option::Team, Option::Wait, Option::Instances, Option::Store, Option::Timeout, Option::Json, Option::Help},
         .examples = {"briarctl undrain sfax-1 --team benches"}},
        {.command = Command::SettingsReference,
         .name = "settings-reference",
         .arguments = "",
         .minimumArguments = 0,
         .maximumArguments = 0,
         .meaning = "Print the page of all settings.",
         .options = {Option::Help},
         .examples = {"briarctl settings-reference > docs/operators/settings.md"}},
        {.command = Command::ConfigurationReference,
         .name = "configuration-reference",
         .arguments = "",
         .minimumArguments = 0,
         .maximumArguments = 0,
         .meaning = "Print the page of all keys of the configuration document.",
         .options = {Option::Help},
         .examples = {"briarctl configuration-reference > docs/operators/configuration.md"}},
        {.command = Command::Explain,
         .name = "explain",
         .arguments = "LOG...",
         .minimumArguments = 1,
         .maximumArguments = ANY_NUMBER,
         .meaning = "Tell from the logs of gateways why a request went as it did, or which to ask about; - reads standard input.",
         .options = {Option::Request, Option::Worst, Option::Json, Option::Help},
         .examples = {"briarctl explain --worst front-*.log", "briarctl explain --request a07198b1751b65b3 front-*.log"}},
    };
    return table;
}

const CommandDescription &describe(Command command)
{
    return *std::ranges::find(commands(), command, &CommandDescription::command);
}

std::string generalHelp()
{
    std::ostringstream text;
    text << "Usage: briarctl COMMAND [OPTION...] [ARGUMENT...]\n\nOperate briarbend: edit the configuration and read what the system "
            "reports.\n\nCommands:\n";
    for (const auto &command : commands()) {
        text << std::left << std::setw(COMMAND_COLUMN) << "  " + std::string(command.name) << command.meaning << "\n";
    }
    text << "\n`briarctl COMMAND --help` shows a command's options and examples.\n" << EXIT_CODES;
    return text.str();
}

std::string commandHelp(const CommandDescription &command)
{
    std::ostringstream text;
    text << "Usage: briarctl " << command.name << " [OPTION...]" << (command.arguments.empty() ? "" : " ") << command.arguments << "\n\n"
         << command.meaning << "\n\nOptions:\n";
    std::ranges::for_each(command.options, [&text](Option option) {
        printOption(text, describe(option));
    });
    text << "\nExamples:\n";
    std::ranges::for_each(command.examples, [&text](std::string_view example) {
        text << "  " << example << "\n";
    });
    text << EXIT_CODES;
    return text.str();
}

} // namespace Briarbend::Briarctl
