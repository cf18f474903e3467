#include <LibClaims/IdempotencyKey.h>

#include <algorithm>

namespace Briarbend::Claims
{

namespace
{

constexpr std::string_view OPTIONAL_WHITESPACE = " \t";

bool isPrintableAscii(char character)
{
    return character >= ' ' && character <= '~';
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(OPTIONAL_WHITESPACE);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(OPTIONAL_WHITESPACE) - first + 1);
}

/// Content of a structured string without its quotes and escapes (RFC 8941, section 4.2.5); nullopt if the string is malformed.
std::optional<std::string> unquoted(std::string_view text)
{
    std::string content;
    for (std::size_t index = 1; index < text.size(); ++index) {
        if (text[index] == '"') {
            return index + 1 == text.size() ? std::optional{content} : std::nullopt;
        }
        if (text[index] == '\\' && ++index == text.size()) {
            return std::nullopt;
        }
        content += text[index];
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> parseIdempotencyKey(const std::vector<std::string_view> &fieldValues)
{
    if (fieldValues.size() != 1) {
        return std::nullopt;
    }
    const auto text = trimmed(fieldValues.front());
    if (!std::ranges::all_of(text, isPrintableAscii)) {
        return std::nullopt;
    }
    auto key = text.starts_with('"') ? unquoted(text) : std::optional{std::string{text}};
    if (!key || key->empty() || key->size() > MAXIMUM_IDEMPOTENCY_KEY_BYTES) {
        return std::nullopt;
    }
    return key;
}

} // namespace Briarbend::Claims
