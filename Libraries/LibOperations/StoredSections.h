#pragma once

#include <LibConfiguration/Model.h>
#include <LibConfiguration/StoredSection.h>
#include <LibStore/ObjectStore.h>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <variant>
#include <vector>

namespace Briarbend::Operations
{

/// One team's section as the store holds it.
struct SectionObject {
    Core::TeamName team;
    Store::Version version{0};
    Configuration::StoredSection stored;
};

using SectionObjects = std::variant<std::vector<SectionObject>, Store::Unavailable>;

/// All sections, in the order of their teams. Throws Document::DocumentError where an object is not a section's.
boost::asio::awaitable<SectionObjects> readStoredSections(Store::ObjectStore &store);

/// The sections in their checked form. Those that are not allowed are passed over, as instances do that are asked to put them into force.
Configuration::Sections acceptedSections(const std::vector<SectionObject> &objects);

/// A section as operators read it: its version marker and its text.
std::string printSection(const SectionObject &object);

} // namespace Briarbend::Operations
