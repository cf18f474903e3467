#include <LibDocument/ValueType.h>

#include <array>
#include <charconv>
#include <iomanip>
#include <sstream>

namespace Briarbend::Document
{

namespace
{

constexpr std::size_t MAXIMUM_NAME_LENGTH{63};

struct DurationUnit {
    std::string_view name;
    std::chrono::nanoseconds length;
};

/// Largest first, so that printing takes the first that fits.
constexpr std::array<DurationUnit, 5> DURATION_UNITS{{{"h", std::chrono::hours(1)},
                                                      {"min", std::chrono::minutes(1)},
                                                      {"s", std::chrono::seconds(1)},
                                                      {"ms", std::chrono::milliseconds(1)},
                                                      {"us", std::chrono::microseconds(1)}}};

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::chrono::milliseconds timeOfDay(const toml::time &time)
{
    const auto wholeSeconds = std::chrono::hours(time.hour) + std::chrono::minutes(time.minute) + std::chrono::seconds(time.second);
    return wholeSeconds + std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::nanoseconds(time.nanosecond));
}

Core::WallTime wallTime(const toml::date_time &dateTime)
{
    const std::chrono::year_month_day date{
        std::chrono::year(dateTime.date.year), std::chrono::month(dateTime.date.month), std::chrono::day(dateTime.date.day)};
    return std::chrono::sys_days(date) + timeOfDay(dateTime.time) - std::chrono::minutes(dateTime.offset->minutes);
}

std::string formatNumber(const double &number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

} // namespace

std::optional<std::chrono::nanoseconds> parseDuration(std::string_view text)
{
    std::uint64_t count = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, count);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    const std::string_view unitName(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    const auto unit = std::ranges::find(DURATION_UNITS, unitName, &DurationUnit::name);
    if (unit == DURATION_UNITS.end() || std::cmp_greater(count, std::chrono::nanoseconds::max() / unit->length)) {
        return std::nullopt;
    }
    return unit->length * static_cast<std::int64_t>(count);
}

std::string formatDuration(std::chrono::nanoseconds duration)
{
    const auto unit = std::ranges::find_if(DURATION_UNITS, [duration](const DurationUnit &candidate) {
        return duration >= candidate.length && duration % candidate.length == std::chrono::nanoseconds(0);
    });
    if (unit == DURATION_UNITS.end()) {
        return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(duration).count()) + "us";
    }
    return std::to_string(duration / unit->length) + std::string(unit->name);
}

std::string formatTime(Core::WallTime time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    std::ostringstream text;
    text << std::setfill('0') << std::setw(4) << static_cast<int>(date.year()) << '-' << std::setw(2) << static_cast<unsigned>(date.month())
         << '-' << std::setw(2) << static_cast<unsigned>(date.day()) << 'T' << std::setw(2) << clock.hours().count() << ':' << std::setw(2)
         << clock.minutes().count() << ':' << std::setw(2) << clock.seconds().count() << '.' << std::setw(3) << clock.subseconds().count()
         << 'Z';
    return text.str();
}

bool isName(std::string_view text)
{
    constexpr std::string_view ALLOWED{"abcdefghijklmnopqrstuvwxyz0123456789-"};
    return !text.empty() && text.size() <= MAXIMUM_NAME_LENGTH && text.find_first_not_of(ALLOWED) == std::string_view::npos;
}

ValueType<std::string> textType()
{
    return {.allowed = "a text that is not empty",
            .read = [](const toml::node &node) -> std::optional<std::string> {
                auto text = node.value_exact<std::string>();
                return text && !text->empty() ? text : std::nullopt;
            },
            .print = quoted};
}

ValueType<std::string> pathType()
{
    return {.allowed = "a path that begins with /, without spaces, ? and #",
            .read = [](const toml::node &node) -> std::optional<std::string> {
                auto text = node.value_exact<std::string>();
                const bool isPath = text && text->starts_with('/') && text->find_first_of(" ?#\t\r\n") == std::string::npos;
                return isPath ? text : std::nullopt;
            },
            .print = quoted};
}

ValueType<Core::WallTime> timeType()
{
    return {.allowed = "a date and time with its offset, such as 2026-03-01T06:00:00+01:00",
            .read = [](const toml::node &node) -> std::optional<Core::WallTime> {
                const auto dateTime = node.value_exact<toml::date_time>();
                return dateTime && dateTime->offset ? std::optional(wallTime(*dateTime)) : std::nullopt;
            },
            .print = formatTime};
}

ValueType<double> numberType(double minimum, double maximum)
{
    return {.allowed = "a number from " + formatNumber(minimum) + " to " + formatNumber(maximum),
            .read = [minimum, maximum](const toml::node &node) -> std::optional<double> {
                const auto number = node.value<double>();
                return number && *number >= minimum && *number <= maximum ? number : std::nullopt;
            },
            .print = formatNumber};
}

ValueType<bool> booleanType()
{
    return {.allowed = "true or false",
            .read =
                [](const toml::node &node) {
                    return node.value_exact<bool>();
                },
            .print =
                [](bool value) {
                    return std::string(value ? "true" : "false");
                }};
}

ValueType<std::chrono::milliseconds> secondsType(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum)
{
    using Seconds = std::chrono::duration<double>;
    const auto number = numberType(Seconds(minimum).count(), Seconds(maximum).count());
    return {.allowed = number.allowed + " seconds",
            .read = [number](const toml::node &node) -> std::optional<std::chrono::milliseconds> {
                const auto seconds = number.read(node);
                return seconds ? std::optional(std::chrono::round<std::chrono::milliseconds>(Seconds(*seconds))) : std::nullopt;
            },
            .print =
                [](const std::chrono::milliseconds &duration) {
                    return formatNumber(Seconds(duration).count());
                }};
}

ValueType<double> shareType(double minimum, double maximum)
{
    std::ostringstream allowed;
    allowed << "a number above " << minimum << " and at most " << maximum;
    return {.allowed = allowed.str(),
            .read = [minimum, maximum](const toml::node &node) -> std::optional<double> {
                const auto number = node.value<double>();
                return number && *number > minimum && *number <= maximum ? number : std::nullopt;
            },
            .print = formatNumber};
}

} // namespace Briarbend::Document
