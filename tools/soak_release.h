/**
 * The part of the soak that releases software versions of the engines: one
 * after the other they are replaced, with and without notice, while others
 * still run the version before. A release may begin before the last one has
 * ended, and may go back to the first version.
 *
 * It also counts the streams that begin and those that callers resume, and
 * compares the shares that succeed. What goes on at a wrong version is a breach
 * that the emulator writes down.
 */
#ifndef SOAK_RELEASE_H
#define SOAK_RELEASE_H

#include "tools/pe.h"

struct soak_release;

struct soak_release_options {
	struct pe *platform;
	const GPtrArray *upstreams; /**< of struct pe_upstream; borrowed */
	uint32_t seed;
	void (*breach)(void *userdata, const char *id, const char *what);
	void *userdata;
};

struct soak_release *
soak_release_create(const struct soak_release_options *options);
/** NULL is allowed, here and below: then nothing is released. */
void soak_release_destroy(struct soak_release *release);
/** Replace an engine, or begin a release. */
void soak_release_disturb(struct soak_release *release);
/** An entry was killed, stopped or started. */
void soak_release_entry_disturbed(struct soak_release *release);
/** Draw whether a caller leaves its stream after the first events. */
bool soak_release_draw_leaving(struct soak_release *release);
/** Draw when a caller resumes its stream. */
uint32_t soak_release_draw_pause_ms(struct soak_release *release);
/**
 * A stream was asked for: a new one, or one that the attempt `first` began
 * (NULL: new). Returns whether its outcome counts: entries were undisturbed for
 * a while, and two engines of its version are ready.
 */
bool soak_release_counts(struct soak_release *release, const char *first);
/** Its outcome. */
void soak_release_add(struct soak_release *release, bool resumed,
		      bool has_succeeded);
/** The faults are over: compare the shares, print them. */
void soak_release_settle(struct soak_release *release);

#endif
