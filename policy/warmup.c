#include "policy/warmup.h"

#include "base/lp_clock.h"

#include <glib.h>

static int64_t send_interval_us(const struct warmup_limits *limits)
{
	return (int64_t)((double)LP_US_PER_S /
			 (limits->requests_per_s * limits->own_share));
}

static bool has_bound(const struct warmup_limits *limits)
{
	return limits && limits->cold_period_us && limits->requests_per_s > 0 &&
	       limits->own_share > 0;
}

void warmup_begin(struct warmup *warmup, const struct warmup_limits *limits,
		  int64_t now_us, int64_t until_us)
{
	if (!warmup_is_cold(warmup, now_us) && has_bound(limits))
		warmup->next_send_us =
			now_us + (int64_t)(limits->phase *
					   (double)send_interval_us(limits));
	warmup->cold_until_us = MAX(warmup->cold_until_us, until_us);
}

bool warmup_is_cold(const struct warmup *warmup, int64_t now_us)
{
	return now_us < warmup->cold_until_us;
}

bool warmup_may_send(const struct warmup *warmup, int64_t now_us)
{
	return !warmup_is_cold(warmup, now_us) ||
	       now_us >= warmup->next_send_us;
}

void warmup_note_sent(struct warmup *warmup, const struct warmup_limits *limits,
		      int64_t now_us)
{
	if (warmup_is_cold(warmup, now_us) && has_bound(limits))
		warmup->next_send_us = now_us + send_interval_us(limits);
}
