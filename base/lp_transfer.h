/**
 * How long an answer is read: as long as its bytes come, and not for ever.
 *
 * An answer's size and the rate of a link decide how long it takes; a limit on
 * the whole would end each try at the same place, and a configuration of a
 * megabyte never come over a link of 10 Mbit/s, nor a list of 270 KB over one
 * of 20 KB/s. What tells a lost connection is its silence.
 */
#ifndef LP_TRANSFER_H
#define LP_TRANSFER_H

#include <stddef.h>
#include <stdint.h>

struct lp_transfer {
	int64_t stall_us; /**< longest silence between two pieces */
	int64_t begun_us; /**< when the answer's head came */
	size_t received;  /**< bytes of its body so far */
};

/**
 * How long from now on the next piece is awaited; 0: no longer. A transfer ends
 * after 10 s if it has brought less than 1 KB/s until then, or does later: a
 * trickle leaves the link to another try.
 */
int64_t lp_transfer_wait_us(const struct lp_transfer *transfer, int64_t now_us);

#endif
