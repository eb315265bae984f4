/**
 * The part of the soak with upstreams whose answers do not end, and a limit of
 * the memory that an entry may take.
 */
#ifndef SOAK_ENDLESS_H
#define SOAK_ENDLESS_H

#include "tools/pe.h"

#include <glib.h>

/** limits.memory_mb of the entries. */
#define SOAK_ENDLESS_MEMORY_MB 256

struct soak_endless;

struct soak_endless_options {
	uint32_t seed;
	const GPtrArray *upstreams; /**< of struct pe_upstream; borrowed */
};

struct soak_endless *
soak_endless_create(const struct soak_endless_options *options);
void soak_endless_destroy(struct soak_endless *endless);
/** Make an upstream endless, or none: what is drawn from the seed. */
void soak_endless_disturb(struct soak_endless *endless);
/** Whether a process has more than SOAK_ENDLESS_MEMORY_MB resident. */
bool soak_endless_exceeds(const struct soak_endless *endless, GPid pid);

#endif
