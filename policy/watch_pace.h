/**
 * How long a call that waits for a change of the configuration may wait.
 *
 * The longer it waits the fewer calls are paid for, and the later an entry
 * alone notices that its call has been lost or forgotten: then it has to begin
 * anew within the time in which a change must be in force. Entries that hear
 * each other tell each other of a change, and their calls begin at times of
 * their own: whoever begins one next tells the others. So what each waits may
 * grow with the members, and one of them still begins a call as often as one
 * alone would, or more often.
 *
 * What it buys: with 27 entries 0.77 of an entry's calls to the key-value
 * service were those of the watch; at the most three times the wait makes a
 * third of them.
 */
#ifndef WATCH_PACE_H
#define WATCH_PACE_H

#include <stdint.h>

/** `alone_us`: what an entry that hears nobody waits; `members`: with itself.
 */
int64_t watch_pace_wait_us(int64_t alone_us, uint32_t members);

#endif
