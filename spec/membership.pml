/*
 * Membership changes, one voter at a time: the replacement of a lost member and the
 * loss of a second member right after it. The log itself is in log.pml.
 *
 * CHANGEABLE is the bit mask of members that may be added or removed.
 */
#define MEMBERSHIP
#ifndef CHANGEABLE
#define CHANGEABLE 255
#endif
#ifndef CRASHES
#define CRASHES 0
#endif
#include "log.pml"
