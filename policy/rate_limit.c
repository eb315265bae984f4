#include "policy/rate_limit.h"

#include <glib.h>
#include <math.h>

/* Minimum interval between broadcasts of a known limit. */
#define BROADCAST_INTERVAL_US (1 * LP_US_PER_S)
/* Time for which the withdrawal of a limit is broadcast again. */
#define WITHDRAWAL_BROADCAST_US (5 * LP_US_PER_S)

bool rate_limit_update(struct rate_limit *limit,
		       const struct rate_limit_report *report)
{
	bool changed = limit->advertised != report->advertised ||
		       (report->advertised && limit->per_s != report->per_s);

	if (report->answered_us < limit->answered_us)
		return false;
	if (limit->advertised && !report->advertised)
		limit->withdrawn_us = report->answered_us;
	limit->answered_us = report->answered_us;
	limit->advertised = report->advertised;
	limit->per_s = report->advertised ? report->per_s : 0;
	return changed;
}

bool rate_limit_needs_broadcast(const struct rate_limit *limit, int64_t now_us)
{
	bool was_withdrawn_recently =
		limit->withdrawn_us &&
		now_us - limit->withdrawn_us < WITHDRAWAL_BROADCAST_US;

	return (limit->advertised || was_withdrawn_recently) &&
	       now_us - limit->broadcast_us >= BROADCAST_INTERVAL_US;
}

static double owner_fraction(const struct rate_limit_fleet *fleet)
{
	double fraction = fleet->owner_for_us < RATE_LIMIT_NEW_OWNER_US
				  ? RATE_LIMIT_NEW_OWNER_FRACTION
				  : RATE_LIMIT_OWNER_FRACTION;

	return fraction * fleet->reachable_entries / fleet->known_entries;
}

struct rate_limit_share
rate_limit_find_share(const struct rate_limit_fleet *fleet)
{
	if (fleet->known_entries <= 1)
		return (struct rate_limit_share){
			.fraction = RATE_LIMIT_OWNER_FRACTION
		};
	if (fleet->has_owner && fleet->is_owner)
		return (struct rate_limit_share){ .fraction = owner_fraction(
							  fleet) };
	return (struct rate_limit_share){
		.fraction = (fleet->has_owner ? RATE_LIMIT_OTHERS_FRACTION
					      : RATE_LIMIT_NO_OWNER_FRACTION) /
			    fleet->known_entries,
		.slot_valid_us = RATE_LIMIT_SLOT_VALID_US,
	};
}

double rate_limit_share_per_s(const struct rate_limit *limit,
			      const struct rate_limit_share *share)
{
	return MAX(limit->per_s, RATE_LIMIT_MIN_PER_S) * share->fraction;
}

/* Start of the slot that contains `now_us`. */
static int64_t slot_start_us(const struct rate_limit_share *share,
			     double slot_us, int64_t now_us)
{
	double slot = floor((double)now_us / slot_us - share->phase);

	return (int64_t)((slot + share->phase) * slot_us);
}

int64_t rate_limit_wait_us(const struct rate_limit *limit,
			   const struct rate_limit_share *share, int64_t now_us)
{
	double slot_us;
	int64_t start_us;

	if (!limit->advertised)
		return 0;
	slot_us = LP_US_PER_S / rate_limit_share_per_s(limit, share);
	start_us = slot_start_us(share, slot_us, now_us);
	if (limit->last_sent_us < start_us &&
	    (!share->slot_valid_us || now_us - start_us < share->slot_valid_us))
		return 0;
	return MAX(start_us + (int64_t)slot_us - now_us, 1);
}

void rate_limit_note_sent(struct rate_limit *limit, int64_t now_us)
{
	if (limit->advertised)
		limit->last_sent_us = now_us;
}
