/**
 * The part of the soak that stands for the platform's balancer: it probes the
 * entries' readiness once a second and takes out whoever missed two probes. At
 * times it stands still, most often when an entry has just been told to end.
 */
#ifndef SOAK_BALANCER_H
#define SOAK_BALANCER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct soak_balancer;

struct soak_balancer_options {
	const char *const *ready; /**< "IP:PORT" of each entry; borrowed */
	uint32_t entries;
	uint32_t seed;
};

/** All entries are in rotation. */
struct soak_balancer *
soak_balancer_create(const struct soak_balancer_options *options);
/** NULL is allowed, here and below: then nobody balances. */
void soak_balancer_destroy(struct soak_balancer *balancer);
/** An entry is told to end. */
void soak_balancer_entry_leaves(struct soak_balancer *balancer);
/** `drawn`, or the next entry that is in rotation; `drawn` if none is. */
uint32_t soak_balancer_choose(const struct soak_balancer *balancer,
			      uint32_t drawn);
/** Whether an entry is in rotation. */
bool soak_balancer_has(const struct soak_balancer *balancer, uint32_t entry);
/** How often it stood still. */
uint32_t soak_balancer_pauses(const struct soak_balancer *balancer);

#endif
