#include "policy/drain.h"

#include <glib.h>
#include <string.h>

/* Probers are the entries that call an agent, or the balancers and monitors of
 * an entry. Beyond this number the one that has been silent longest is dropped.
 */
#define PROBERS_MAX 256
/* "Not ready" answers given to a prober after which it has read one: it has
 * probed again. */
#define ANSWERS_TO_INFORM 2

struct prober {
	char *name;
	int64_t last_probe_us;
	int64_t first_notified_us;
	uint32_t not_ready_answers;
};

struct drain {
	struct drain_options options;
	int64_t created_us;
	int64_t started_us;
	bool started;
	struct prober probers[PROBERS_MAX];
	uint32_t count;
};

static int64_t now_us(const struct drain *drain)
{
	return lp_now_us(drain->options.clock);
}

struct drain *drain_create(const struct drain_options *options)
{
	struct drain *drain = g_new0(struct drain, 1);

	drain->options = *options;
	drain->created_us = now_us(drain);
	return drain;
}

void drain_destroy(struct drain *drain)
{
	if (!drain)
		return;
	for (uint32_t i = 0; i < drain->count; i++)
		g_free(drain->probers[i].name);
	g_free(drain);
}

void drain_begin(struct drain *drain)
{
	if (drain->started)
		return;
	drain->started = true;
	drain->started_us = now_us(drain);
}

static struct prober *find_prober(struct drain *drain, const char *name)
{
	for (uint32_t i = 0; i < drain->count; i++)
		if (!strcmp(drain->probers[i].name, name))
			return &drain->probers[i];
	return NULL;
}

static struct prober *longest_silent_prober(struct drain *drain)
{
	struct prober *found = &drain->probers[0];

	for (uint32_t i = 1; i < drain->count; i++)
		if (drain->probers[i].last_probe_us < found->last_probe_us)
			found = &drain->probers[i];
	return found;
}

static struct prober *add_prober(struct drain *drain, const char *name)
{
	struct prober *prober = drain->count < PROBERS_MAX
					? &drain->probers[drain->count++]
					: longest_silent_prober(drain);

	g_free(prober->name);
	*prober = (struct prober){ .name = g_strdup(name) };
	return prober;
}

void drain_record_probe(struct drain *drain, const char *name)
{
	struct prober *prober = find_prober(drain, name);

	if (!prober)
		prober = add_prober(drain, name);
	prober->last_probe_us = now_us(drain);
	if (!drain->started)
		return;
	if (!prober->not_ready_answers)
		prober->first_notified_us = prober->last_probe_us;
	prober->not_ready_answers++;
}

/* Whether the prober was probing when draining started, or has started since.
 */
static bool is_active(const struct drain *drain, const struct prober *prober)
{
	return prober->last_probe_us >=
	       drain->started_us - drain->options.probe_interval_max_us;
}

static bool is_informed(const struct prober *prober)
{
	return prober->not_ready_answers >= ANSWERS_TO_INFORM;
}

static bool has_settled(const struct drain *drain, const struct prober *prober)
{
	return is_informed(prober) &&
	       now_us(drain) - prober->first_notified_us >=
		       drain->options.settle_us;
}

/* Whether the process is so young that its balancer may not have probed it yet.
 */
static bool awaits_first_probe(const struct drain *drain)
{
	return !drain->count && now_us(drain) - drain->created_us <
					drain->options.first_probe_max_us;
}

/* The state by the answers given to probers, apart from time limits. */
static enum drain_state state_of_probers(const struct drain *drain)
{
	uint32_t probers = 0;

	for (uint32_t i = 0; i < drain->count; i++) {
		const struct prober *prober = &drain->probers[i];

		if (!is_active(drain, prober))
			continue;
		if (!has_settled(drain, prober))
			return DRAIN_WAITING;
		probers++;
	}
	if (probers)
		return DRAIN_INFORMED;
	return awaits_first_probe(drain) ? DRAIN_WAITING : DRAIN_UNPROBED;
}

enum drain_state drain_get_state(const struct drain *drain)
{
	int64_t draining_us = now_us(drain) - drain->started_us;
	enum drain_state state;

	if (!drain->started)
		return DRAIN_NOT_DRAINING;
	if (draining_us < drain->options.min_us)
		return DRAIN_WAITING;
	state = state_of_probers(drain);
	if (state == DRAIN_WAITING && draining_us >= drain->options.max_us)
		return DRAIN_TIMEOUT;
	return state;
}

const char *drain_state_name(enum drain_state state)
{
	static const char *const names[] = { "not_leaving", "waiting",
					     "informed", "unprobed",
					     "timeout" };

	return names[state];
}

void drain_get_view(const struct drain *drain, struct drain_view *out)
{
	int64_t last_probe_us = INT64_MIN;
	int64_t first_notified_us = INT64_MAX;

	*out = (struct drain_view){ .last_probe_age_us = -1,
				    .first_notified_us = -1 };
	if (drain->started)
		out->draining_for_us = now_us(drain) - drain->started_us;
	for (uint32_t i = 0; i < drain->count; i++) {
		const struct prober *prober = &drain->probers[i];

		last_probe_us = MAX(last_probe_us, prober->last_probe_us);
		if (!is_active(drain, prober))
			continue;
		out->probers++;
		out->informed += is_informed(prober);
		if (!prober->not_ready_answers)
			continue;
		out->notified++;
		first_notified_us =
			MIN(first_notified_us, prober->first_notified_us);
	}
	if (drain->count)
		out->last_probe_age_us = now_us(drain) - last_probe_us;
	if (out->notified)
		out->first_notified_us = first_notified_us - drain->started_us;
}
