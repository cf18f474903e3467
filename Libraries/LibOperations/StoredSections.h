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
    /// Empty where the object is not one that an editor writes.
    Configuration::StoredSection stored;
    /// Why the object can not be read; empty where it can.
    std::string problem;
};

using SectionObjects = std::variant<std::vector<SectionObject>, Store::Unavailable>;

/// All sections, in the order of their teams. An object that can not be read stands among them with its problem, so that one team's broken
/// object stops no other team.
boost::asio::awaitable<SectionObjects> readStoredSections(Store::ObjectStore &store);

/// One section from its object.
SectionObject readSectionObject(const std::string &key, const Store::Object &object);

/// The sections in their checked form. Those that are not allowed are passed over, as instances do that are asked to put them into force.
Configuration::Sections acceptedSections(const std::vector<SectionObject> &objects);

/// A section as operators read it: its version marker and its text, or its problem as a comment.
std::string printSection(const SectionObject &object);

} // namespace Briarbend::Operations
