#include <LibMembership/Membership.h>
