#include "base/lp_transfer.h"

#include "base/lp_clock.h"

#include <glib.h>

/* A megabyte in base64 at 10 Mbit/s is 1.1 s; ten times that for any answer. */
#define LEAST_US (10 * LP_US_PER_S)
/* Below it a connection is as good as lost: a thousandth of 10 Mbit/s. */
#define LEAST_BYTES_PER_S 1024

int64_t lp_transfer_wait_us(const struct lp_transfer *transfer, int64_t now_us)
{
	int64_t earned_us =
		(int64_t)transfer->received * LP_US_PER_S / LEAST_BYTES_PER_S;
	int64_t left_us =
		transfer->begun_us + MAX(LEAST_US, earned_us) - now_us;

	return CLAMP(left_us, 0, transfer->stall_us);
}
