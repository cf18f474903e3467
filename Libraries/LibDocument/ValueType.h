#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace Briarbend::Document
{

/// How one kind of value is read from TOML, printed, and described to people.
template<typename Value>
struct ValueType {
    /// What is allowed, with unit and range, in words that follow "allowed:".
    std::string allowed;
    /// Nothing where the node is not allowed.
    std::function<std::optional<Value>(const toml::node &)> read;
    std::function<std::string(const Value &)> print;
};

/// Reads a count and a unit (us, ms, s, min or h), such as "250ms"; nothing where the text is anything else or overflows.
std::optional<std::chrono::nanoseconds> parseDuration(std::string_view text);
/// The duration in the largest unit that holds it without a remainder.
std::string formatDuration(std::chrono::nanoseconds duration);
/// RFC 3339 with milliseconds, in UTC.
std::string formatTime(Core::WallTime time);
/// True for a text of 1 to 63 characters from [a-z0-9-].
bool isName(std::string_view text);

/// Any text that is not empty.
ValueType<std::string> textType();
/// A text that begins with a slash.
ValueType<std::string> pathType();
/// A TOML date-time with an offset from UTC.
ValueType<Core::WallTime> timeType();
/// A number above the minimum, up to and with the maximum.
ValueType<double> shareType(double minimum, double maximum);

/// A number of seconds, fractions allowed, from the minimum to the maximum. For files that another program fills in.
ValueType<std::chrono::milliseconds> secondsType(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum);
/// A number from the minimum to the maximum, both allowed.
ValueType<double> numberType(double minimum, double maximum);
/// True or false.
ValueType<bool> booleanType();

/// A name of [a-z0-9-], as one kind of identifier.
template<typename Identifier>
ValueType<Identifier> nameType()
{
    return {.allowed = "a name of 1 to 63 characters from a-z, 0-9 and -",
            .read = [](const toml::node &node) -> std::optional<Identifier> {
                const auto text = node.value_exact<std::string>();
                return text && isName(*text) ? std::optional(Identifier{*text}) : std::nullopt;
            },
            .print =
                [](const Identifier &identifier) {
                    return "\"" + identifier.value + "\"";
                }};
}

/// A whole number from the minimum to the maximum, both allowed. The unit, where there is one, stands in the plural.
template<std::integral Integer>
ValueType<Integer> integerType(Integer minimum, Integer maximum, const std::string &unit = {})
{
    return {.allowed
            = "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum) + (unit.empty() ? "" : " " + unit),
            .read = [minimum, maximum](const toml::node &node) -> std::optional<Integer> {
                const auto number = node.value_exact<std::int64_t>();
                const bool isAllowed = number && std::cmp_greater_equal(*number, minimum) && std::cmp_less_equal(*number, maximum);
                return isAllowed ? std::optional(static_cast<Integer>(*number)) : std::nullopt;
            },
            .print =
                [](const Integer &integer) {
                    return std::to_string(integer);
                }};
}

/// A duration written as text, from the minimum to the maximum, both allowed, in whole units of the given type.
template<typename Duration>
ValueType<Duration> durationType(Duration minimum, Duration maximum)
{
    return {.allowed
            = "a duration from \"" + formatDuration(minimum) + "\" to \"" + formatDuration(maximum) + "\" (units us, ms, s, min, h)",
            .read = [minimum, maximum](const toml::node &node) -> std::optional<Duration> {
                const auto parsed = parseDuration(node.value_exact<std::string>().value_or(""));
                if (!parsed || *parsed < minimum || *parsed > maximum) {
                    return std::nullopt;
                }
                const auto duration = std::chrono::duration_cast<Duration>(*parsed);
                return duration == *parsed ? std::optional(duration) : std::nullopt;
            },
            .print =
                [](const Duration &duration) {
                    return "\"" + formatDuration(duration) + "\"";
                }};
}

/// One text of a fixed set and what it stands for.
template<typename Value>
struct Choice {
    std::string_view text;
    Value value;
};

/// One text of a fixed set.
template<typename Value>
ValueType<Value> choiceType(std::vector<Choice<Value>> choices)
{
    std::string allowed;
    for (const auto &choice : choices) {
        allowed += (allowed.empty() ? "" : ", ") + ("\"" + std::string(choice.text) + "\"");
    }
    return {.allowed = "one of " + allowed,
            .read = [choices](const toml::node &node) -> std::optional<Value> {
                const auto found = std::ranges::find(choices, node.value_exact<std::string>().value_or(""), &Choice<Value>::text);
                return found == choices.end() ? std::nullopt : std::optional(found->value);
            },
            .print =
                [choices](const Value &value) {
                    return "\"" + std::string(std::ranges::find(choices, value, &Choice<Value>::value)->text) + "\"";
                }};
}

/// A list of values of one type.
template<typename Value>
ValueType<std::vector<Value>> listType(ValueType<Value> element, std::size_t minimumCount)
{
    return {.allowed = "a list of at least " + std::to_string(minimumCount) + ", each " + element.allowed,
            .read = [element, minimumCount](const toml::node &node) -> std::optional<std::vector<Value>> {
                const auto *array = node.as_array();
                if (array == nullptr || array->size() < minimumCount) {
                    return std::nullopt;
                }
                std::vector<Value> values;
                for (const auto &item : *array) {
                    auto value = element.read(item);
                    if (!value) {
                        return std::nullopt;
                    }
                    values.push_back(std::move(*value));
                }
                return values;
            },
            .print =
                [element](const std::vector<Value> &values) {
                    std::string text;
                    for (const auto &value : values) {
                        text += (text.empty() ? "" : ", ") + element.print(value);
                    }
                    return "[" + text + "]";
                }};
}

} // namespace Briarbend::Document
