#include "base/lp_clock.h"

#include <time.h>

static int64_t boot_now_us(void *userdata)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * LP_US_PER_S + now.tv_nsec / 1000;
}

const struct lp_clock *lp_clock_boot(void)
{
	static const struct lp_clock clock = { boot_now_us, NULL };

	return &clock;
}
