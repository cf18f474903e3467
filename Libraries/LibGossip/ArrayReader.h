#pragma once

#include <LibGossip/Codec.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace Briarbend::Gossip
{

/// Reads the elements of one CBOR array in order and checks their number, types and ranges.
class ArrayReader
{
public:
    /// Throws MalformedMessage if the value is not an array.
    explicit ArrayReader(const nlohmann::json &value)
        : array(value)
    {
        if (!value.is_array()) {
            throw MalformedMessage("expected an array");
        }
    }

    bool isAtEnd() const
    {
        return this->position == this->array.size();
    }

    /// Throws MalformedMessage if unread elements remain.
    void expectEnd() const
    {
        if (!this->isAtEnd()) {
            throw MalformedMessage("array has more elements than expected");
        }
    }

    const nlohmann::json &next()
    {
        if (this->isAtEnd()) {
            throw MalformedMessage("array has fewer elements than expected");
        }
        return this->array[this->position++];
    }

    std::string text()
    {
        const auto &value = this->next();
        if (!value.is_string()) {
            throw MalformedMessage("expected a text string");
        }
        return value.get<std::string>();
    }

    template<typename Number>
    Number unsignedNumber()
    {
        const auto &value = this->next();
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
            throw MalformedMessage("expected an unsigned number in range");
        }
        return static_cast<Number>(value.get<std::uint64_t>());
    }

    std::int64_t signedNumber()
    {
        const auto &value = this->next();
        const bool isTooLarge
            = value.is_number_unsigned() && value.get<std::uint64_t>() > std::uint64_t{std::numeric_limits<std::int64_t>::max()};
        if (!value.is_number_integer() || isTooLarge) {
            throw MalformedMessage("expected an integer in range");
        }
        return value.get<std::int64_t>();
    }

    /// Reads a value of an enumeration whose enumerators are numbered from zero to `last`.
    template<typename Enumeration>
    Enumeration enumerator(Enumeration last)
    {
        using Number = std::underlying_type_t<Enumeration>;
        const auto value = this->unsignedNumber<Number>();
        if (value > static_cast<Number>(last)) {
            throw MalformedMessage("enumerator is out of range");
        }
        return static_cast<Enumeration>(value);
    }

    bool booleanValue()
    {
        const auto &value = this->next();
        if (!value.is_boolean()) {
            throw MalformedMessage("expected a boolean");
        }
        return value.get<bool>();
    }

    const std::vector<std::uint8_t> &bytes()
    {
        const auto &value = this->next();
        if (!value.is_binary()) {
            throw MalformedMessage("expected a byte string");
        }
        return value.get_binary();
    }

    template<typename Decoder>
    auto list(const Decoder &decoder)
    {
        const auto &value = this->next();
        if (!value.is_array()) {
            throw MalformedMessage("expected an array as element");
        }
        std::vector<decltype(decoder(value))> decoded;
        decoded.reserve(value.size());
        for (const auto &element : value) {
            decoded.push_back(decoder(element));
        }
        return decoded;
    }

private:
    const nlohmann::json &array;
    std::size_t position{0};
};

} // namespace Briarbend::Gossip
