/**
 * The part of the soak in which the key-value service goes back to a copy, in
 * series and beside other faults; its operators and upstreams write theirs
 * again.
 */
#ifndef SOAK_RESTORE_H
#define SOAK_RESTORE_H

#include "tools/pe.h"

#include <glib.h>

struct soak_restore;

struct soak_restore_options {
	struct pe *platform;
	uint32_t seed;
	const GPtrArray *upstreams; /**< of struct pe_upstream; borrowed */
	/** Called when the operators write theirs again. */
	void (*rewrite)(void *userdata);
	void *userdata;
};

struct soak_restore *
soak_restore_create(const struct soak_restore_options *options);
void soak_restore_destroy(struct soak_restore *restore);
/** Take a copy, or go back to it later, or nothing: what is drawn from the
 * seed. */
void soak_restore_disturb(struct soak_restore *restore);
/** Write all again; there are no restores from now on. */
void soak_restore_end(struct soak_restore *restore);

#endif
