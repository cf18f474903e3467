#include <LibLoad/RouteMix.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <ranges>
#include <stdexcept>
#include <toml++/toml.h>

namespace Briarbend::Load
{

namespace
{

constexpr std::array<std::string_view, 6> METHODS{"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"};

template<typename Value>
Value parseNumber(std::string_view text, const std::string &name)
{
    Value value{};
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end) {
        throw std::invalid_argument(name + " \"" + std::string(text) + "\" is not a number");
    }
    return value;
}

MixRoute checked(MixRoute route)
{
    if (!(route.weight > 0)) {
        throw std::invalid_argument("the weight of route " + route.path + " is not above zero");
    }
    if (std::ranges::find(METHODS, route.method) == METHODS.end()) {
        throw std::invalid_argument("the method \"" + route.method + "\" is not one of GET, HEAD, POST, PUT, DELETE, PATCH");
    }
    if (!route.path.starts_with('/')) {
        throw std::invalid_argument("the path \"" + route.path + "\" does not begin with a slash");
    }
    return route;
}

template<typename Value>
void readKey(const toml::table &table, std::string_view key, Value &value)
{
    const auto *node = table.get(key);
    if (node == nullptr) {
        return;
    }
    const auto found = node->value<Value>();
    if (!found) {
        throw std::invalid_argument("line " + std::to_string(node->source().begin.line) + ": " + std::string(key) + " has the wrong type");
    }
    value = *found;
}

MixRoute routeOf(const toml::table &table)
{
    constexpr std::array<std::string_view, 5> KEYS{"weight", "method", "path", "bytes", "once"};
    for (const auto &[key, node] : table) {
        if (std::ranges::find(KEYS, key.str()) == KEYS.end()) {
            throw std::invalid_argument("line " + std::to_string(node.source().begin.line) + ": unknown key " + std::string(key.str()));
        }
    }
    MixRoute route;
    readKey(table, "weight", route.weight);
    readKey(table, "method", route.method);
    readKey(table, "path", route.path);
    readKey(table, "bytes", route.bytes);
    readKey(table, "once", route.isOnce);
    return checked(std::move(route));
}

} // namespace

MixRoute parseMixRoute(std::string_view text)
{
    std::vector<std::string_view> parts;
    for (const auto &part : text | std::views::split(',')) {
        parts.emplace_back(part.begin(), part.end());
    }
    const bool isOnce = !parts.empty() && parts.back() == "once";
    if (isOnce) {
        parts.pop_back();
    }
    if (parts.size() < 3 || parts.size() > 4) {
        throw std::invalid_argument("route \"" + std::string(text) + "\" is not weight,METHOD,path[,bytes][,once]");
    }
    MixRoute route;
    route.weight = parseNumber<double>(parts[0], "weight");
    route.method = parts[1];
    route.path = parts[2];
    route.bytes = parts.size() == 4 ? parseNumber<std::uint64_t>(parts[3], "bytes") : 0;
    route.isOnce = isOnce;
    return checked(std::move(route));
}

std::vector<MixRoute> parseMix(std::string_view document)
{
    toml::table table;
    try {
        table = toml::parse(document);
    } catch (const toml::parse_error &error) {
        throw std::invalid_argument("line " + std::to_string(error.source().begin.line) + ": " + std::string(error.description()));
    }
    std::vector<MixRoute> mix;
    const auto *routes = table.get_as<toml::array>("route");
    if (routes == nullptr || table.size() != 1 || !routes->is_array_of_tables()) {
        throw std::invalid_argument("a mix holds [[route]] tables and nothing else");
    }
    for (const auto &route : *routes) {
        mix.push_back(routeOf(*route.as_table()));
    }
    return mix;
}

std::size_t chooseRoute(const std::vector<MixRoute> &mix, Core::Random &random)
{
    const double sum = std::accumulate(mix.begin(), mix.end(), 0.0, [](double total, const MixRoute &route) {
        return total + route.weight;
    });
    double left = random.unit() * sum;
    const auto chosen = std::ranges::find_if(mix, [&left](const MixRoute &route) {
        left -= route.weight;
        return left < 0;
    });
    return std::min(static_cast<std::size_t>(chosen - mix.begin()), mix.size() - 1);
}

} // namespace Briarbend::Load
