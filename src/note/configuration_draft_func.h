#pragma once

#include <optional>
#include <vector>

#include "note/configuration_draft_type.h"

namespace poplarfork::note {

// Returns the service as it is in the draft, or nullptr if it does not exist
// there.
const Service* FindService(const ConfigurationDraft& draft,
                           const base::ServiceId& id);

// Returns the service for editing, or nullptr if it does not exist in the
// draft. The first call for a service copies it from the base configuration
// into the draft.
Service* FindMutableService(ConfigurationDraft& draft,
                            const base::ServiceId& id);

// Returns the route as it is in the draft, or nullptr if it does not exist
// there.
const Route* FindRoute(const ConfigurationDraft& draft, const RouteKey& key);

// Returns the account as it is in the draft, or nullptr if it does not exist
// there.
const Account* FindAccount(const ConfigurationDraft& draft,
                           const base::AccountId& id);

// Returns the service that lists the upstream in the draft, or nullopt if none
// does.
std::optional<base::ServiceId> FindServiceOfUpstream(
    const ConfigurationDraft& draft,
    const base::UpstreamId& id);

// Returns the keys of the base configuration's routes that still lead to the
// service in the draft.
std::vector<RouteKey> RoutesToService(const ConfigurationDraft& draft,
                                      const base::ServiceId& service_id);

// Writes the draft's changes into `configuration`, which must be the draft's
// base or a copy of it.
void MergeDraft(const ConfigurationDraft& draft, Configuration& configuration);

}  // namespace poplarfork::note
