#include <LibCore/BoundedJson.h>
#include <LibStore/HttpMessages.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <ranges>
#include <stdexcept>

namespace Briarbend::Store
{

namespace
{

namespace Http = Network::Http;

constexpr std::string_view OBJECTS_PATH{"/objects"};
constexpr std::string_view INSTANCES_PATH{"/instances"};

void requireKeyCharacters(std::string_view key)
{
    constexpr std::string_view ALLOWED{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._/-"};
    if (key.find_first_not_of(ALLOWED) != std::string_view::npos) {
        throw std::invalid_argument("store key \"" + std::string(key) + "\" has a character outside [A-Za-z0-9._/-]");
    }
}

std::string objectTarget(std::string_view key)
{
    requireKeyCharacters(key);
    return std::string(OBJECTS_PATH) + "/" + std::string(key);
}

std::string prefixTarget(std::string_view prefix)
{
    requireKeyCharacters(prefix);
    return std::string(OBJECTS_PATH).append("?prefix=").append(prefix);
}

std::string entityTag(Version version)
{
    return "\"" + std::to_string(version) + "\"";
}

std::optional<Version> versionOf(const Network::Response &response)
{
    const auto tag = response[Http::field::etag];
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    Version version = 0;
    const auto *end = tag.data() + tag.size() - 1;
    const auto parsed = std::from_chars(tag.data() + 1, end, version);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return version;
}

Unavailable unavailable(const Network::Response &response)
{
    return {"the store answered " + std::to_string(response.result_int())};
}

Unavailable malformed(const std::exception &exception)
{
    return {std::string("the store's answer can not be read: ") + exception.what()};
}

Listing parseListing(const std::string &body)
{
    const auto json = Core::parseJson(body);
    Listing listing{.revision = json.at("revision").get<Version>(), .objects = {}};
    std::ranges::transform(json.at("objects"), std::back_inserter(listing.objects), [](const nlohmann::json &object) {
        return ObjectVersion{object.at("key").get<std::string>(), object.at("version").get<Version>()};
    });
    return listing;
}

InstanceState parseState(const std::string &text)
{
    if (text == "live") {
        return InstanceState::Live;
    }
    if (text == "leaving") {
        return InstanceState::Leaving;
    }
    throw std::runtime_error("unknown instance state \"" + text + "\"");
}

ListedInstance parseInstance(const nlohmann::json &json)
{
    return {.address = json.at("id").get<std::string>(),
            .service = {json.at("service").get<std::string>()},
            .dataCentre = {json.at("data_centre").get<std::string>()},
            .version = {json.value("version", std::string{})},
            .state = parseState(json.at("state").get<std::string>())};
}

} // namespace

Network::Request makeReadRequest(std::string_view key)
{
    return Network::makeRequest(Http::verb::get, objectTarget(key), "");
}

Network::Request makeWriteRequest(std::string_view key, std::string value, const Condition &condition)
{
    if (value.size() > MAXIMUM_VALUE_BYTES) {
        throw std::length_error("value of " + std::to_string(value.size()) + " bytes for store key \"" + std::string(key) + "\"");
    }
    auto request = Network::makeRequest(Http::verb::put, objectTarget(key), "");
    if (const auto *ifVersion = std::get_if<IfVersion>(&condition)) {
        request.set(Http::field::if_match, entityTag(ifVersion->version));
    } else if (std::holds_alternative<IfAbsent>(condition)) {
        request.set(Http::field::if_none_match, "*");
    }
    request.set(Http::field::content_type, "application/octet-stream");
    request.body() = std::move(value);
    return request;
}

Network::Request makeWatchRequest(std::string_view prefix, Version afterRevision, Core::Duration wait)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const auto target = prefixTarget(prefix) + "&after=" + std::to_string(afterRevision) + "&wait=" + std::to_string(milliseconds);
    return Network::makeRequest(Http::verb::get, target, "");
}

Network::Request makeListRequest(std::string_view prefix)
{
    return Network::makeRequest(Http::verb::get, prefixTarget(prefix), "");
}

Network::Request makeInstancesRequest()
{
    return Network::makeRequest(Http::verb::get, INSTANCES_PATH, "");
}

ReadResult parseReadResponse(const Network::Response &response)
{
    if (response.result() == Http::status::not_found) {
        return Absent{};
    }
    const auto version = versionOf(response);
    if (response.result() != Http::status::ok || !version) {
        return unavailable(response);
    }
    return Object{response.body(), *version};
}

WriteResult parseWriteResponse(const Network::Response &response)
{
    const auto version = versionOf(response);
    if (response.result() == Http::status::precondition_failed) {
        return Conflict{version.value_or(0)};
    }
    if (Http::to_status_class(response.result()) == Http::status_class::client_error) {
        return unavailable(response);
    }
    if (Http::to_status_class(response.result()) == Http::status_class::successful && version) {
        return Written{*version};
    }
    return Unknown{unavailable(response).reason};
}

WatchResult parseWatchResponse(const Network::Response &response)
{
    if (response.result() == Http::status::not_modified) {
        return Unchanged{};
    }
    return std::visit(
        [](auto result) -> WatchResult {
            return result;
        },
        parseListResponse(response));
}

ListResult parseListResponse(const Network::Response &response)
{
    if (response.result() != Http::status::ok) {
        return unavailable(response);
    }
    try {
        return parseListing(response.body());
    } catch (const std::exception &exception) {
        return malformed(exception);
    }
}

InstancesResult parseInstancesResponse(const Network::Response &response, const std::function<void(const std::string &problem)> &onSkipped)
{
    if (response.result() != Http::status::ok) {
        return unavailable(response);
    }
    try {
        const auto list = Core::findMember(response.body(), "instances");
        std::vector<ListedInstance> instances;
        std::optional<std::string> problem;
        for (const auto entry : Core::splitElements(list.value_or(""))) {
            try {
                instances.push_back(parseInstance(Core::parseJson(entry)));
            } catch (const std::exception &exception) {
                problem = exception.what();
                onSkipped(*problem);
            }
        }
        if (problem && instances.empty()) {
            return Unavailable{"no entry can be read: " + *problem};
        }
        return instances;
    } catch (const std::exception &exception) {
        return malformed(exception);
    }
}

} // namespace Briarbend::Store
