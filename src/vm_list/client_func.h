#pragma once

#include "vm_list/client_type.h"
#include "vm_list/vm_type.h"

namespace poplarfork::vm_list {

// Makes a client that runs on the event loop of cpprestsdk. store/client_func.h
// explains how a program sets that loop up.
ClientPtr MakeClient(const ClientOptions& options);

// Requests the VM list. Returns at once; `done` is called exactly once, on the
// event loop. Errors have the step kVmListCall and the address of the list:
// kTimeout, kUnavailable (no connection, or no complete response), kRefused (a
// status other than 200), kMalformed.
void FetchVms(const ClientPtr& client, VmsCallback done);

}  // namespace poplarfork::vm_list
