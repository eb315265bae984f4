#include "tools/soak_balancer.h"

#include "base/lp_clock.h"
#include "http/http_client.h"

#define PROBE_MS 1000
#define MISSES_MAX 2
#define PAUSE_MIN_MS 500
#define PAUSE_MAX_MS 3000
/* Of the ends of entries, one in so many finds it at work. */
#define AT_WORK_ONE_IN 3

struct target {
	const char *address;
	struct http_exchange *probe; /* under way, or NULL */
	uint32_t status;
	uint32_t misses; /* in a row */
};

struct soak_balancer {
	struct target *targets;
	uint32_t count;
	uint32_t pauses;
	int64_t resumes_us;
	GRand *random;
	guint timer;
};

static void note_probe(struct target *target, bool is_ready)
{
	target->misses = is_ready ? 0 : target->misses + 1;
}

static void on_head(void *userdata, uint32_t status,
		    const struct http_fields *fields)
{
	((struct target *)userdata)->status = status;
}

static void on_body(void *userdata, const char *bytes, size_t size)
{
}

static void on_done(void *userdata, int error, bool sent)
{
	struct target *target = userdata;

	target->probe = NULL;
	note_probe(target, !error && target->status == 200);
}

static void cancel(struct target *target)
{
	if (target->probe)
		http_exchange_cancel(target->probe);
	target->probe = NULL;
}

static void probe(struct target *target)
{
	static const struct http_exchange_events events = { on_head, on_body,
							    on_done };
	struct http_fields fields;

	http_fields_init(&fields);
	http_fields_add(&fields, "Host", "balancer");
	target->status = 0;
	target->probe = http_exchange_start(&(struct http_exchange_options){
		.address = target->address,
		.method = "GET",
		.target = "/linepier/readiness",
		.fields = &fields,
		.connect_timeout_us = PROBE_MS * LP_US_PER_MS,
		.events = &events,
		.userdata = target,
	});
	http_fields_clear(&fields);
	if (!target->probe)
		note_probe(target, false);
}

static gboolean on_timer(gpointer userdata)
{
	struct soak_balancer *balancer = userdata;

	if (g_get_monotonic_time() < balancer->resumes_us)
		return G_SOURCE_CONTINUE;
	for (uint32_t i = 0; i < balancer->count; i++) {
		struct target *target = &balancer->targets[i];

		if (target->probe) {
			cancel(target);
			note_probe(target, false);
		}
		probe(target);
	}
	return G_SOURCE_CONTINUE;
}

struct soak_balancer *
soak_balancer_create(const struct soak_balancer_options *options)
{
	struct soak_balancer *balancer = g_new0(struct soak_balancer, 1);

	balancer->count = options->entries;
	balancer->targets = g_new0(struct target, options->entries);
	for (uint32_t i = 0; i < options->entries; i++)
		balancer->targets[i].address = options->ready[i];
	balancer->random = g_rand_new_with_seed(options->seed);
	balancer->timer = g_timeout_add(PROBE_MS, on_timer, balancer);
	return balancer;
}

void soak_balancer_destroy(struct soak_balancer *balancer)
{
	if (!balancer)
		return;
	g_source_remove(balancer->timer);
	for (uint32_t i = 0; i < balancer->count; i++)
		cancel(&balancer->targets[i]);
	g_rand_free(balancer->random);
	g_free(balancer->targets);
	g_free(balancer);
}

void soak_balancer_entry_leaves(struct soak_balancer *balancer)
{
	int64_t pause_ms;

	if (!balancer || !g_rand_int_range(balancer->random, 0, AT_WORK_ONE_IN))
		return;
	pause_ms =
		g_rand_int_range(balancer->random, PAUSE_MIN_MS, PAUSE_MAX_MS);
	balancer->resumes_us = g_get_monotonic_time() + pause_ms * LP_US_PER_MS;
	balancer->pauses++;
	for (uint32_t i = 0; i < balancer->count; i++)
		cancel(&balancer->targets[i]);
}

bool soak_balancer_has(const struct soak_balancer *balancer, uint32_t entry)
{
	return balancer && balancer->targets[entry].misses < MISSES_MAX;
}

uint32_t soak_balancer_choose(const struct soak_balancer *balancer,
			      uint32_t drawn)
{
	for (uint32_t i = 0; balancer && i < balancer->count; i++) {
		uint32_t entry = (drawn + i) % balancer->count;

		if (soak_balancer_has(balancer, entry))
			return entry;
	}
	return drawn;
}

uint32_t soak_balancer_pauses(const struct soak_balancer *balancer)
{
	return balancer->pauses;
}
