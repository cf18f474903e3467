#include <LibPeers/Transport.h>
