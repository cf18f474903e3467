#pragma once

#include <LibGossip/Envelope.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace Briarbend::Gossip
{

/// Thrown for a message that is not valid CBOR, or whose structure, types or ranges do not match an Envelope.
class MalformedMessage : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Encodes as CBOR (RFC 8949), as nested arrays without field names to keep messages small. The first element is the protocol version.
std::string encode(const Envelope &envelope);

/// Throws MalformedMessage and no other exception.
Envelope decode(std::string_view bytes);

} // namespace Briarbend::Gossip
