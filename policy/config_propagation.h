/**
 * Propagation of configuration revisions from the KV and between peers.
 *
 * A revision is accepted only if it is higher than the current one, so a stale
 * read, a delayed peer or a healed partition cannot revert the configuration.
 * Elected readers watch the KV. Other processes pull the configuration from a
 * peer that reported a higher revision. A process without a revision reads the
 * KV itself if no peer has helped for a while; these reads are spread over
 * time. Processes report to each other how long ago any of them reached the KV;
 * when that is too long (the readers terminated, and the host list still names
 * them), others read the KV in their place.
 *
 * Pure: events and the clock in, actions out through the ops. Times are in
 * microseconds on the clock of the options.
 */
#ifndef CONFIG_PROPAGATION_H
#define CONFIG_PROPAGATION_H

#include "base/lp_clock.h"

#include <stdbool.h>

struct config_propagation;

struct config_propagation_ops {
	/** Read the KV once; config_propagation_read_done() must follow. */
	void (*read)(void *userdata);
	/** Start or stop watching the KV. */
	void (*watch)(void *userdata, bool on);
	/** Request the configuration of a peer. */
	void (*pull)(void *userdata, const char *peer);
};

struct config_propagation_options {
	const struct lp_clock *clock;
	const struct config_propagation_ops *ops;
	void *userdata;
	uint64_t seed;
	int64_t takeover_after_us; /**< without KV contact; 0: 6 s */
	bool watch_always;	   /**< baseline: every process watches */
};

struct config_propagation *
config_propagation_create(const struct config_propagation_options *options);
void config_propagation_destroy(struct config_propagation *propagation);
/** Set whether this process is an elected reader, and the number of hosts. */
void config_propagation_set_reader(struct config_propagation *propagation,
				   bool reader, uint32_t hosts);
/** Handle a peer's report of its revision. */
void config_propagation_handle_revision(struct config_propagation *propagation,
					const char *peer, uint64_t revision);
/** Handle a peer's report of how long ago any process reached the KV. */
void config_propagation_handle_kv_age(struct config_propagation *propagation,
				      int64_t age_us);
/** How long ago any process reached the KV, as far as known. */
int64_t
config_propagation_kv_age_us(const struct config_propagation *propagation);
/** Accept a revision as current if it is higher; returns whether it was. */
bool config_propagation_accept(struct config_propagation *propagation,
			       uint64_t revision);
/** A read ended; the caller handles what it read. */
void config_propagation_read_done(struct config_propagation *propagation,
				  bool ok);
/** The watch broke; it is started again after a backoff. */
void config_propagation_watch_ended(struct config_propagation *propagation);
/** Start the watch or read that is due. */
void config_propagation_tick(struct config_propagation *propagation);
uint64_t
config_propagation_revision(const struct config_propagation *propagation);
bool config_propagation_is_reader(const struct config_propagation *propagation);
/** The highest revision reported so far, accepted or not. */
uint64_t config_propagation_highest_revision(
	const struct config_propagation *propagation);

#endif
