/**
 * The soak's peers that read slowly: callers that stop reading their answer for
 * some seconds, and upstreams that stop reading a request's body, longer than
 * the time after which a silent peer is gone. Answers are large enough to fill
 * their windows.
 *
 * A slow caller is there, so it must be served nearly as often as others.
 */
#ifndef SOAK_SLOW_H
#define SOAK_SLOW_H

#include "tools/pe.h"

struct soak_slow;

struct soak_slow_options {
	const GPtrArray *upstreams; /**< of struct pe_upstream */
	uint32_t seed;
	/** Without faults each slow caller must get its whole answer. */
	bool has_faults;
	void (*breach)(void *userdata, const char *id, const char *what);
	void *userdata;
};

/** How one request is sent and its answer read. */
struct soak_slow_draw {
	uint32_t pause_ms; /**< of its caller, after its first bytes; 0: none */
	uint32_t body_bytes; /**< of the request */
};

struct soak_slow *soak_slow_create(const struct soak_slow_options *options);
/** All functions take NULL, for a soak without slow peers. */
void soak_slow_destroy(struct soak_slow *slow);
/** Bytes that are added to each answer or event. */
uint32_t soak_slow_answer_bytes(const struct soak_slow *slow);
struct soak_slow_draw soak_slow_draw(struct soak_slow *slow);
/** An answer has begun at an entry that was not disturbed, and ended. */
void soak_slow_add(struct soak_slow *slow, const char *id,
		   const struct soak_slow_draw *draw, bool is_whole);
void soak_slow_settle(struct soak_slow *slow);

#endif
