#include "policy/engine_balance.h"

#include <glib.h>

/* An engine may run this multiple of its fair share. */
#define SHARE_MAX 1.3
/* So few requests hardly slow each other (about 0.3% each), and their number is
 * mostly chance. */
#define RUNNING_MIN 8

double engine_capacity(uint32_t slots, double slowness)
{
	return MAX(slots, 1) / MAX(slowness, 0.1);
}

void engine_balance_add(struct engine_balance *balance, double capacity,
			uint32_t running)
{
	balance->capacity += capacity;
	balance->running += running;
}

bool engine_balance_is_exceeded(const struct engine_balance *balance,
				double capacity, uint32_t running)
{
	double fair_share;

	if (running < RUNNING_MIN || balance->capacity <= 0)
		return false;
	fair_share = (balance->running + 1) * capacity / balance->capacity;
	return running + 1 > SHARE_MAX * fair_share;
}
