/**
 * Another writer in the platform's key-value service: entries that cannot be
 * read, in places of their own or over those of upstreams, which write theirs
 * again a while later; entries that are erased; and upstreams that start again
 * under their id in every way that the emulator knows.
 *
 * What cannot be read names an upstream that nobody may call.
 */
#ifndef SOAK_WRITER_H
#define SOAK_WRITER_H

#include "tools/pe.h"

struct soak_writer;

struct soak_writer_options {
	struct pe *platform;
	const GPtrArray *upstreams; /**< of struct pe_upstream; borrowed */
	uint32_t seed;
	void (*breach)(void *userdata, const char *id, const char *what);
	void *userdata;
};

struct soak_writer *
soak_writer_create(const struct soak_writer_options *options);
void soak_writer_destroy(struct soak_writer *writer);
/** Write, erase or restart something; what was overwritten before is told. */
void soak_writer_disturb(struct soak_writer *writer);
/** All upstreams have written their entries again; looks for breaches. */
void soak_writer_settle(struct soak_writer *writer);

#endif
