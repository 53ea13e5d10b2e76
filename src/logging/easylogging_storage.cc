#include <easylogging++.h>

// Defines the global state of easylogging++ once for every program that is
// linked with this library.
INITIALIZE_EASYLOGGINGPP
