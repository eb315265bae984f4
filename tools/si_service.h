/**
 * Stand-in for a service: model engines, encoders, retrievers, rerankers,
 * plain services. One struct plays every upstream of the service.
 *
 * Answers carry the mark "[[...]]" that they find in the request, so that
 * whoever looks at them sees whose they are. A generated text is
 * "MARK.0 MARK.1 ...", and goes on from where the prompt left off. Plain
 * calls are counted by idempotency key.
 *
 * Orders (POST /admin/v1/orders) set the model; GET /standin/model tells it.
 * Control, on each upstream's own port: POST /standin with any of
 * {"slow":FACTOR,"fail":SHARE,"cut_after":TOKENS,"hang":BOOL}; GET
 * /standin/executions tells how many keys ran, and how many ran twice.
 */
#ifndef SI_SERVICE_H
#define SI_SERVICE_H

#include <glib.h>
#include <stdint.h>

struct si_service;

enum si_kind {
	SI_ENCODE,
	SI_RETRIEVE,
	SI_RERANK,
	SI_GENERATE,
	SI_PLAIN,
};

struct si_service_options {
	enum si_kind kind;
	const char *ip;
	uint16_t port; /**< of the first upstream; the others follow */
	uint32_t count;
	uint32_t slots;		/**< calls at once; the rest wait inside */
	uint32_t base_us;	/**< time of a call alone */
	uint32_t prefill_us;	/**< generate: for a prompt not in the cache */
	uint32_t decode_us;	/**< generate: between tokens, running alone */
	uint32_t crowd_percent; /**< slower by this per other call running */
	uint32_t cache_entries; /**< generate: prefixes an upstream caches */
	uint32_t check_fences;	/**< refuse orders with an old fencing number */
};

struct si_service *si_service_create(const struct si_service_options *options);
void si_service_destroy(struct si_service *service);

#endif
