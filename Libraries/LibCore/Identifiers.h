#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Briarbend::Core
{

/// A name that cannot be confused with another kind of name. The text is opaque and compared byte by byte.
template<typename Tag>
struct Identifier {
    std::string value;

    auto operator<=>(const Identifier &) const = default;
};

/// One run of a briarbendd process: a replaced or restarted instance has a new identifier.
using InstanceId = Identifier<struct InstanceIdTag>;
/// One target server, "address:port".
using TargetId = Identifier<struct TargetIdTag>;
/// One start of a target process. Warmth and crashes belong to a start, not to an address.
using TargetStartId = Identifier<struct TargetStartIdTag>;
using ServiceName = Identifier<struct ServiceNameTag>;
using TeamName = Identifier<struct TeamNameTag>;
using DataCentreName = Identifier<struct DataCentreNameTag>;
/// The release of a service that a target runs.
using VersionName = Identifier<struct VersionNameTag>;

} // namespace Briarbend::Core

template<typename Tag>
struct std::hash<Briarbend::Core::Identifier<Tag>> {
    std::size_t operator()(const Briarbend::Core::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>{}(identifier.value);
    }
};
