/**
 * How a configuration comes into force here: what is read, pulled, taken.
 *
 * Pure. A revision is taken only if it is higher than the one in force, so
 * nothing an old read, a late peer or a healed partition brings can revert
 * it. Elected readers watch the KV; everyone else pulls the body from the
 * peer that showed a higher number. A process with no revision reads the KV
 * itself when no peer has helped it for a while, spread out over time. All
 * tell each other how long ago someone reached the KV; when that is too long
 * (the readers died, and the host list does not know yet) others step in.
 */
#ifndef CONFIG_PROPAGATION_H
#define CONFIG_PROPAGATION_H

#include "base/lp_clock.h"

#include <stdbool.h>

struct config_propagation;

struct config_propagation_ops {
	/** Read the KV once; end with config_propagation_read_done(). */
	void (*read)(void *userdata);
	/** Start or stop watching the KV. A broken watch:
	 * config_propagation_watch_ended.
	 */
	void (*watch)(void *userdata, bool on);
	/** Ask this peer for its configuration. */
	void (*pull)(void *userdata, const char *peer);
};

struct config_propagation_options {
	const struct lp_clock *clock;
	const struct config_propagation_ops *ops;
	void *userdata;
	uint64_t seed;
	int64_t takeover_after_us; /**< then it reads for the others; 0: 6 s */
	bool watch_always; /**< the naive twin: everyone watches the KV */
};

struct config_propagation *
config_propagation_create(const struct config_propagation_options *options);
void config_propagation_destroy(struct config_propagation *spread);
/** The host list changed: is this a reader, how many hosts are there. */
void config_propagation_set_reader(struct config_propagation *spread,
				   bool reader, uint32_t hosts);
/** A peer said it has this revision. */
void config_propagation_handle_revision(struct config_propagation *spread,
					const char *peer, uint64_t revision);
/** A peer said that someone reached the KV this long ago. */
void config_propagation_handle_kv_age(struct config_propagation *spread,
				      int64_t age_us);
/** How long ago someone reached the KV, as far as is known here. */
int64_t config_propagation_kv_age_us(const struct config_propagation *spread);
/** May this revision come into force? If so it now is. */
bool config_propagation_accept(struct config_propagation *spread,
			       uint64_t revision);
void config_propagation_read_done(struct config_propagation *spread, bool ok);
void config_propagation_watch_ended(struct config_propagation *spread);
void config_propagation_tick(struct config_propagation *spread);
uint64_t config_propagation_revision(const struct config_propagation *spread);
bool config_propagation_is_reader(const struct config_propagation *spread);
/** Highest revision heard of, in force here or not. */
uint64_t
config_propagation_highest_revision(const struct config_propagation *spread);

#endif
