/**
 * The part of the soak that changes the configuration and the way to it: more
 * routes, a slow link to the key-value service, connections that go silent.
 * When the faults are over, the newest version must come into force at every
 * entry.
 */
#ifndef SOAK_CONFIG_H
#define SOAK_CONFIG_H

#include "tools/pe.h"

struct soak_config;

struct soak_config_options {
	struct pe *platform;
	uint32_t seed;
	bool is_patient; /**< timeouts that suit callers who read slowly */
	const char *const *entries; /**< "IP:PORT" of each, NULL-terminated */
	/** A promise was broken at an entry. */
	void (*breach)(void *userdata, const char *entry, const char *what);
	void *userdata;
};

/** Writes the first configuration. */
struct soak_config *
soak_config_create(const struct soak_config_options *options);
/** The operators write the current version again. */
void soak_config_write_again(struct soak_config *config);
void soak_config_destroy(struct soak_config *config);
/** One fault more, or none: what is drawn from the seed. */
void soak_config_disturb(struct soak_config *config);
/**
 * All other faults are over, the link stays as it is: write a last version and
 * wait until it is in force, or its time is over and the promise broken.
 */
void soak_config_settle(struct soak_config *config);

#endif
