#include <LibGossip/Gossip.h>
