#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Reads JSON and CBOR of others: with bounded depth, since values that are nested without bound exhaust the stack when they are decoded,
/// copied or written, and by parts, so that one that cannot be read does not take the others with it.
namespace Briarbend::Core
{

/// Levels of arrays and objects that are read. Messages of instances and stores have less than ten.
constexpr std::size_t MAXIMUM_DEPTH = 64;

/// Parses JSON (RFC 8259). Throws nlohmann::json::exception if the text is malformed, too deeply nested or has a number beyond a double.
nlohmann::json parseJson(std::string_view text);

/// Parses CBOR (RFC 8949). Throws nlohmann::json::exception if the bytes are malformed or too deeply nested.
nlohmann::json parseCbor(std::string_view bytes);
nlohmann::json parseCbor(std::span<const std::uint8_t> bytes);

/// The text of a member's value in the text of an object; nothing if there is no such member. The value itself is not checked beyond its
/// brackets and strings. Throws std::exception if the text is not an object.
std::optional<std::string_view> findMember(std::string_view object, std::string_view name);

/// The texts of the elements in the text of an array. Throws std::exception if the text is not an array.
std::vector<std::string_view> splitElements(std::string_view array);

} // namespace Briarbend::Core
