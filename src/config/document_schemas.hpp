/// \file
/// The tables of fields of the three kinds of document, and the checks that
/// concern more than one field of a document. A new field is one row.
#pragma once

#include "config/configuration.hpp"
#include "config/schema.hpp"

namespace stoneport::config {

const Schema<EventTemplate>& event_template_schema();
const Schema<ServiceTemplate>& service_template_schema();
const Schema<TenantParameters>& tenant_parameters_schema();

/// Checks fields against one another; \p source gives the places.
Problems check_fields(const EventTemplate& document, const SourceDocument& source);
Problems check_fields(const ServiceTemplate& document, const SourceDocument& source);
Problems check_fields(const TenantParameters& document, const SourceDocument& source);

}  // namespace stoneport::config
