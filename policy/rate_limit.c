#include "policy/rate_limit.h"

#include <glib.h>
#include <math.h>

/* What is known is told again this often at the most. */
#define BROADCAST_INTERVAL_US (1 * LP_US_PER_S)
/* The end of a limit is told again for so long. */
#define WITHDRAWAL_BROADCAST_US (5 * LP_US_PER_S)

bool rate_limit_update(struct rate_limit *limit,
		       const struct rate_limit_report *word)
{
	bool changed = limit->advertised != word->advertised ||
		       (word->advertised && limit->per_s != word->per_s);

	if (word->answered_us < limit->answered_us)
		return false;
	if (limit->advertised && !word->advertised)
		limit->withdrawn_us = word->answered_us;
	limit->answered_us = word->answered_us;
	limit->advertised = word->advertised;
	limit->per_s = word->advertised ? word->per_s : 0;
	return changed;
}

bool rate_limit_needs_broadcast(const struct rate_limit *limit, int64_t now_us)
{
	bool has_ended_lately =
		limit->withdrawn_us &&
		now_us - limit->withdrawn_us < WITHDRAWAL_BROADCAST_US;

	return (limit->advertised || has_ended_lately) &&
	       now_us - limit->broadcast_us >= BROADCAST_INTERVAL_US;
}

static double owner_part(const struct rate_limit_fleet *fleet)
{
	double part = fleet->owner_for_us < RATE_LIMIT_NEW_OWNER_US
			      ? RATE_LIMIT_NEW_OWNER_FRACTION
			      : RATE_LIMIT_OWNER_FRACTION;

	return part * fleet->reachable_entries / fleet->known_entries;
}

struct rate_limit_share
rate_limit_find_share(const struct rate_limit_fleet *fleet)
{
	if (fleet->known_entries <= 1)
		return (struct rate_limit_share){
			.fraction = RATE_LIMIT_OWNER_FRACTION
		};
	if (fleet->has_owner && fleet->is_owner)
		return (struct rate_limit_share){ .fraction =
							  owner_part(fleet) };
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

/* When the slot that holds this moment has begun. */
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
