#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Every command and option: parsing, help and the completions' test come from these tables.
namespace Briarbend::Briarctl
{

enum class Command {
    Check,
    Apply,
    Show,
    Status,
    Dump,
    Drain,
    Undrain,
    SettingsReference,
    ConfigurationReference,
    Explain,
};

enum class Option {
    BasedOn,
    Help,
    InForce,
    Instances,
    Json,
    Replace,
    Request,
    Settings,
    Store,
    Team,
    Timeout,
    Wait,
    Watch,
    Worst,
};

struct OptionDescription {
    Option option;
    std::string_view name;
    /// Name of the value in help; empty for a flag.
    std::string_view argument;
    std::string_view meaning;
};

struct CommandDescription {
    Command command;
    std::string_view name;
    /// Positional arguments as help shows them.
    std::string_view arguments;
    std::size_t minimumArguments;
    std::size_t maximumArguments;
    std::string_view meaning;
    std::vector<Option> options;
    std::vector<std::string_view> examples;
};

std::span<const OptionDescription> options();
const OptionDescription &describe(Option option);
const std::vector<CommandDescription> &commands();
const CommandDescription &describe(Command command);

/// The text of `briarctl --help`.
std::string generalHelp();
/// The text of `briarctl COMMAND --help`.
std::string commandHelp(const CommandDescription &command);

} // namespace Briarbend::Briarctl
