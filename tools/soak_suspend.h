/**
 * The part of the soak that suspends hosts: an entry is stopped for some
 * seconds and goes on as if its steady clock had stood still.
 *
 * The stopping is done here; that the clock of the process goes by the file
 * that LP_SUSPENDED names is the matter of whoever starts it (the soak's
 * `env`).
 */
#ifndef SOAK_SUSPEND_H
#define SOAK_SUSPEND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct soak_suspend;

struct soak_suspend_options {
	const char *folder; /**< for the files; copied */
	uint32_t entries;
	uint32_t seed;
	/** The process of an entry that runs, or 0: it cannot be stopped now.
	 */
	GPid (*pid)(void *userdata, uint32_t entry);
	/** It goes on now, and has stood still since then. */
	void (*resumed)(void *userdata, uint32_t entry, int64_t since_us);
	void *userdata;
};

struct soak_suspend *
soak_suspend_create(const struct soak_suspend_options *options);
/** Whoever is stopped goes on. */
void soak_suspend_destroy(struct soak_suspend *suspend);
/** Of an entry, for LP_SUSPENDED. */
const char *soak_suspend_path(const struct soak_suspend *suspend,
			      uint32_t entry);
/** Suspend one, or none: what is drawn from the seed. */
void soak_suspend_disturb(struct soak_suspend *suspend);
/** Whether an entry is stopped by us. */
bool soak_suspend_holds(const struct soak_suspend *suspend, uint32_t entry);
/** Whoever is stopped goes on now. */
void soak_suspend_end(struct soak_suspend *suspend);

#endif
