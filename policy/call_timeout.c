#include "policy/call_timeout.h"

#include <glib.h>

/* The timeout leaves this many times the latest latency. */
#define TIMEOUT_PER_LATENCY 2

int64_t call_timeout_us(const struct call_timeout *timeout, int64_t initial_us)
{
	int64_t learnt_us = MIN(TIMEOUT_PER_LATENCY * timeout->latency_us,
				CALL_TIMEOUT_MAX_US);

	return MAX(initial_us, learnt_us);
}

void call_timeout_on_answer(struct call_timeout *timeout, int64_t latency_us)
{
	timeout->latency_us = MAX(latency_us, timeout->latency_us / 2);
}

void call_timeout_on_overdue(struct call_timeout *timeout)
{
	timeout->latency_us /= 2;
}
