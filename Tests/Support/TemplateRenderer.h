#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Briarbend::Testing
{

/// The value at a dotted path; null if there is none.
inline nlohmann::json fieldAt(const nlohmann::json &fields, std::string_view path)
{
    const auto dot = path.find('.');
    const auto found = fields.find(std::string(path.substr(0, dot)));
    if (found == fields.end()) {
        return nullptr;
    }
    return dot == std::string_view::npos ? *found : fieldAt(*found, path.substr(dot + 1));
}

inline std::string printField(const nlohmann::json &value)
{
    return value.is_null() ? "" : value.is_string() ? value.get<std::string>() : value.dump();
}

/// Renders the forms of the platform's template language that the settings template uses: `{{a.b}}`, and sections `{{#a}}..{{/a}}` over a
/// list (with `{{.}}` and `{{,}}`) or a value that is present. Throws std::invalid_argument for any other form.
inline std::string
renderTemplate(std::string_view text, const nlohmann::json &fields, const nlohmann::json &entry = {}, bool isLastEntry = true)
{
    std::string rendered;
    while (true) {
        const auto open = text.find("{{");
        rendered += text.substr(0, open);
        if (open == std::string_view::npos) {
            return rendered;
        }
        const auto close = text.find("}}", open);
        const auto name = text.substr(open + 2, close - open - 2);
        text.remove_prefix(close + 2);
        if (name == ".") {
            rendered += printField(entry);
        } else if (name == ",") {
            rendered += isLastEntry ? "" : ",";
        } else if (!name.empty() && name.front() == '#') {
            const auto end = "{{/" + std::string(name.substr(1)) + "}}";
            const auto at = text.find(end);
            if (at == std::string_view::npos) {
                throw std::invalid_argument("section without an end: " + std::string(name));
            }
            const auto section = text.substr(0, at);
            text.remove_prefix(at + end.size());
            const auto value = fieldAt(fields, name.substr(1));
            const bool isAbsent = value.is_null() || value == false;
            const auto entries = value.is_array() ? value : isAbsent ? nlohmann::json::array() : nlohmann::json::array({value});
            for (std::size_t index = 0; index < entries.size(); ++index) {
                rendered += renderTemplate(section, fields, entries[index], index + 1 == entries.size());
            }
        } else if (name.find_first_of("^/@|&") != std::string_view::npos) {
            throw std::invalid_argument("form that the renderer does not know: " + std::string(name));
        } else {
            rendered += printField(fieldAt(fields, name));
        }
    }
}

} // namespace Briarbend::Testing
