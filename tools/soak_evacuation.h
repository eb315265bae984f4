/**
 * The part of the soak that has operators close failure domains and open them
 * again, in series and beside all other faults; upstreams say that they are
 * cold meanwhile.
 *
 * Once the faults are over, a domain that is closed must get nothing new, and
 * work again once it is open, whatever entries have lived through before.
 */
#ifndef SOAK_EVACUATION_H
#define SOAK_EVACUATION_H

#include "tools/pe.h"

/** Of the two domains; most upstreams are in the first. */
#define SOAK_DOMAIN "a"
#define SOAK_OTHER_DOMAIN "b"

struct soak_evacuation;

struct soak_evacuation_options {
	struct pe *platform;
	const GPtrArray *upstreams; /**< of struct pe_upstream; borrowed */
	uint32_t seed;
	/** Have callers ask a few times; returns when all is answered. */
	void (*ask)(void *userdata);
	void (*breach)(void *userdata, const char *id, const char *what);
	void *userdata;
};

struct soak_evacuation *
soak_evacuation_create(const struct soak_evacuation_options *options);
void soak_evacuation_destroy(struct soak_evacuation *evacuation);
/** The operators write what they have closed and opened last again. */
void soak_evacuation_write_again(struct soak_evacuation *evacuation);
/** Close or open a domain, or have an upstream be cold; NULL: nothing. */
void soak_evacuation_disturb(struct soak_evacuation *evacuation);
/** The faults are over: looks for breaches; NULL: nothing. */
void soak_evacuation_settle(struct soak_evacuation *evacuation);

#endif
