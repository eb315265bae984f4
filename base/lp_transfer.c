#include "base/lp_transfer.h"

#include "base/lp_clock.h"

#include <glib.h>

/* A megabyte in base64 at 10 Mbit/s is 1.1 s; a trickle leaves the link to
 * another try after ten times that. */
#define MAX_US (10 * LP_US_PER_S)

int64_t lp_transfer_wait_us(const struct lp_transfer *transfer, int64_t now_us)
{
	int64_t left_us = transfer->begun_us + MAX_US - now_us;

	return CLAMP(left_us, 0, transfer->stall_us);
}
