#pragma once

#include "standin/vm_list_server_type.h"

namespace poplarfork::standin {

// Starts the stand-in of the VM list. GET /v1/vms returns the list, PUT
// /control/vms replaces it, and POST /control/fault sets its lag and its
// faults. Throws boost::system::system_error when it cannot listen.
VmListServerPtr StartVmList(const boost::asio::any_io_executor& loop,
                            const boost::asio::ip::tcp::endpoint& endpoint);

void StopVmList(VmListServer& vm_list);

}  // namespace poplarfork::standin
