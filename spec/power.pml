/*
 * Power loss of all members and the cold start after it; the log itself is in
 * log.pml. Member 0 has the only disk and member 1 leads at the start unless the
 * command line says otherwise.
 *
 * Safety, in addition to that of log.pml: an entry that was reported as synced to a
 * disk is in the log of every later leader, also after a power loss; any other entry
 * is lost only when every diskless voter has lost its state.
 */
#define COLD_START
#ifndef DISKS
#define DISKS 1
#endif
#ifndef LEAD
#define LEAD 1
#endif
#ifndef POWER
#define POWER 1
#endif
#ifndef LEN
#define LEN 1
#endif
#ifndef CRASHES
#define CRASHES 0
#endif
#include "log.pml"
