/**
 * The part of the soak that cuts one entry off from everything for some
 * seconds, by the library tests/cut_shim.c. Meanwhile upstreams drain and
 * leave.
 *
 * None of them may get work later than the drain time after the key-value
 * service has acknowledged that it drains, also once the entry is back
 * (docs/incidents/a-cut-entry-that-brought-back-upstreams.md).
 */
#ifndef SOAK_CUT_H
#define SOAK_CUT_H

#include "tools/pe.h"

struct soak_cut;

struct soak_cut_options {
	struct pe *platform;
	const GPtrArray *upstreams; /**< of struct pe_upstream; borrowed */
	const char *folder;
	uint32_t seed;
	void (*breach)(void *userdata, const char *id, const char *what);
	void *userdata;
};

struct soak_cut *soak_cut_create(const struct soak_cut_options *options);
/** NULL is allowed, here and below: then nothing is cut. */
void soak_cut_destroy(struct soak_cut *cut);
/** The file that tells an entry whether it is cut off. */
const char *soak_cut_path(const struct soak_cut *cut, uint32_t entry);
/** The entries are ready: the cut comes after a while. */
void soak_cut_begin(struct soak_cut *cut);
/** Whether callers are kept from an entry: while it is cut off, and until it
 * has had time to read the list again. */
bool soak_cut_keeps_from(const struct soak_cut *cut, uint32_t entry);
/** All is answered: looks for breaches. */
void soak_cut_settle(struct soak_cut *cut);

#endif
