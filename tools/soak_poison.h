/**
 * The part of the soak that brings requests which crash whoever runs them:
 * some contents, each again and again, on routes of all kinds and as keys of
 * pieces; and prompts of which no two are alike, with a part under which
 * engines crash.
 *
 * When the faults are over, none may have reached more upstreams than is
 * promised.
 */
#ifndef SOAK_POISON_H
#define SOAK_POISON_H

#include "tools/pe.h"

struct soak_poison;

struct soak_poison_options {
	struct pe *platform;
	uint32_t seed;
	void (*breach)(void *userdata, const char *id, const char *what);
	void *userdata;
};

struct soak_poison *
soak_poison_create(const struct soak_poison_options *options);
void soak_poison_destroy(struct soak_poison *poison);
/** The content of the next request: NULL for most, which end nobody. */
const char *soak_poison_draw(struct soak_poison *poison);
/** The prompt of the next stream, with a part of its own; g_free(). NULL:
 * prompts are left out. */
char *soak_poison_draw_prompt(struct soak_poison *poison, const char *id);
/** An entry was killed or stood still: what it alone had seen may be lost. */
void soak_poison_excuse(struct soak_poison *poison);
/** Looks for breaches; prints what came of the worst. */
void soak_poison_settle(struct soak_poison *poison);

#endif
