#include <LibCore/BoundedJson.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Core
{

namespace
{

using Json = nlohmann::json;

/// Number of the exception for excessive depth, as the library has it for the size of a container.
constexpr int TOO_DEEP = 408;
constexpr std::string_view WHITESPACE{" \t\r\n"};

/// Builds a document from the events of a parser and ends the parser at MAXIMUM_DEPTH. The parser calls the functions of this class, which
/// hide those of the library's.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json>
{
    using Builder = nlohmann::detail::json_sax_dom_parser<Json>;

public:
    using Builder::Builder;

    bool start_object(std::size_t elements)
    {
        this->enter();
        return this->Builder::start_object(elements);
    }

    bool end_object()
    {
        --this->depth;
        return this->Builder::end_object();
    }

    bool start_array(std::size_t elements)
    {
        this->enter();
        return this->Builder::start_array(elements);
    }

    bool end_array()
    {
        --this->depth;
        return this->Builder::end_array();
    }

private:
    void enter()
    {
        if (++this->depth > MAXIMUM_DEPTH) {
            throw Json::out_of_range::create(
                TOO_DEEP, "nested deeper than " + std::to_string(MAXIMUM_DEPTH) + " levels", static_cast<const Json *>(nullptr));
        }
    }

    std::size_t depth{0};
};

/// The position after the string that begins at the given one.
std::size_t endOfString(std::string_view text, std::size_t begin)
{
    for (auto at = begin + 1; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    throw std::invalid_argument("a string does not end");
}

std::size_t skipWhitespace(std::string_view text, std::size_t at)
{
    return std::min(text.find_first_not_of(WHITESPACE, at), text.size());
}

/// The position of the comma or bracket that ends the value which begins at the given position.
std::size_t endOfValue(std::string_view text, std::size_t begin)
{
    std::size_t depth = 0;
    for (auto at = begin; at < text.size();) {
        const auto character = text[at];
        const bool isOpening = character == '{' || character == '[';
        const bool isClosing = character == '}' || character == ']';
        if (depth == 0 && (isClosing || character == ',')) {
            return at;
        }
        depth += isOpening ? 1 : 0;
        depth -= isClosing ? 1 : 0;
        at = character == '"' ? endOfString(text, at) : at + 1;
    }
    throw std::invalid_argument("a value does not end");
}

std::string_view trimmed(std::string_view text)
{
    const auto begin = skipWhitespace(text, 0);
    const auto end = text.find_last_not_of(WHITESPACE);
    return begin == text.size() ? std::string_view{} : text.substr(begin, end - begin + 1);
}

/// Calls the function with the text of each element or member between the outermost brackets.
template<typename Function>
void forEachPart(std::string_view text, char open, char close, Function function)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        throw std::invalid_argument("not enclosed in the expected brackets");
    }
    auto begin = skipWhitespace(text, 1);
    while (begin + 1 < text.size()) {
        const auto end = endOfValue(text, begin);
        function(trimmed(text.substr(begin, end - begin)));
        const bool isLast = text[end] != ',';
        if (isLast && end + 1 != text.size()) {
            throw std::invalid_argument("brackets do not match");
        }
        begin = isLast ? text.size() : end + 1;
    }
}

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    Json document;
    BoundedBuilder builder(document);
    Json::sax_parse(text, &builder);
    return document;
}

nlohmann::json parseCbor(std::string_view bytes)
{
    return parseCbor(std::span(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size()));
}

nlohmann::json parseCbor(std::span<const std::uint8_t> bytes)
{
    Json document;
    BoundedBuilder builder(document);
    Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor);
    return document;
}

std::optional<std::string_view> findMember(std::string_view object, std::string_view name)
{
    std::optional<std::string_view> found;
    forEachPart(object, '{', '}', [&found, name](std::string_view member) {
        if (member.empty() || member.front() != '"') {
            throw std::invalid_argument("a member has no name");
        }
        const auto end = endOfString(member, 0);
        const auto colon = skipWhitespace(member, end);
        if (colon >= member.size() || member[colon] != ':') {
            throw std::invalid_argument("a member has no value");
        }
        if (!found && member.substr(1, end - 2) == name) {
            found = trimmed(member.substr(colon + 1));
        }
    });
    return found;
}

std::vector<std::string_view> splitElements(std::string_view array)
{
    std::vector<std::string_view> elements;
    forEachPart(array, '[', ']', [&elements](std::string_view element) {
        elements.push_back(element);
    });
    return elements;
}

} // namespace Briarbend::Core
