#pragma once

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace Briarbend::StandIns
{

/// Reads the known fields of a control message; finish() refuses a message with any other field, so that a misspelt fault never passes for
/// one.
class JsonFields
{
public:
    explicit JsonFields(const nlohmann::json &object)
        : json(object)
    {
    }

    template<typename Value>
    bool read(const std::string &name, Value &value)
    {
        this->known.push_back(name);
        if (!this->json.contains(name)) {
            return false;
        }
        this->json.at(name).get_to(value);
        return true;
    }

    /// Throws std::invalid_argument.
    void finish() const
    {
        for (const auto &item : this->json.items()) {
            if (std::ranges::find(this->known, item.key()) == this->known.end()) {
                throw std::invalid_argument("unknown field " + item.key());
            }
        }
    }

private:
    const nlohmann::json &json;
    std::vector<std::string> known;
};

} // namespace Briarbend::StandIns
