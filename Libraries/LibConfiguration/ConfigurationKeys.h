#pragma once

#include <LibConfiguration/Model.h>
#include <LibDocument/KeyTable.h>

#include <string>
#include <string_view>

/// Every key of the configuration document: reading, problems and the reference page come from these tables.
namespace Briarbend::Configuration
{

Document::KeyTable<Service> serviceKeys();
Document::KeyTable<TargetLimits> limitKeys();
Document::KeyTable<Route> routeKeys();
Document::KeyTable<DataCentre> dataCentreKeys();
Document::KeyTable<Rollout> rolloutKeys();

/// The states of a data centre as written in the document.
Document::ValueType<DataCentreState> dataCentreStateType();

/// The operators' page of the configuration document, in Markdown.
std::string configurationReference();

} // namespace Briarbend::Configuration
