/**
 * The soak's upstreams that say something of themselves in their answers: that
 * they take only so many requests a second, that they leave (and start again a
 * while later), that they want nothing of an entry for a while.
 *
 * Whoever does not keep to it breaks a promise. Once the faults are over and
 * nothing is said any more, each upstream must get work again.
 */
#ifndef SOAK_NOTICES_H
#define SOAK_NOTICES_H

#include "tools/pe.h"

struct soak_notices;

struct soak_notices_options {
	struct pe *platform;
	const GPtrArray *upstreams; /**< of struct pe_upstream; borrowed */
	uint32_t seed;
	uint32_t entries;
	/** Have callers ask for a while, until all are answered. */
	void (*ask)(void *userdata);
	void (*breach)(void *userdata, const char *id, const char *what);
	void *userdata;
};

struct soak_notices *
soak_notices_create(const struct soak_notices_options *options);
void soak_notices_destroy(struct soak_notices *notices);
/** A fault may come. `notices` NULL: none does. */
void soak_notices_disturb(struct soak_notices *notices);
/** The faults are over, and nothing is said any more. */
void soak_notices_end(struct soak_notices *notices);
/** After it: all upstreams are used again. */
void soak_notices_settle(struct soak_notices *notices);

#endif
