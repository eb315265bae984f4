#include "policy/drain.h"

#include <glib.h>
#include <string.h>

/* Entries of an agent, or balancers and monitors of an entry; of more, the one
 * that was silent longest is forgotten. */
#define PROBERS_MAX 256
/* "Not ready" answers after which a prober has read one: it probed again. */
#define ANSWERS_TO_INFORM 2

struct prober {
	char *name;
	int64_t probed_us; /* last */
	int64_t told_us;   /* first "not ready" answer */
	uint32_t answers;  /* "not ready" */
};

struct drain {
	struct drain_options options;
	int64_t created_us;
	int64_t begun_us;
	bool begun;
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
	if (drain->begun)
		return;
	drain->begun = true;
	drain->begun_us = now_us(drain);
}

static struct prober *find(struct drain *drain, const char *name)
{
	for (uint32_t i = 0; i < drain->count; i++)
		if (!strcmp(drain->probers[i].name, name))
			return &drain->probers[i];
	return NULL;
}

static struct prober *most_silent(struct drain *drain)
{
	struct prober *found = &drain->probers[0];

	for (uint32_t i = 1; i < drain->count; i++)
		if (drain->probers[i].probed_us < found->probed_us)
			found = &drain->probers[i];
	return found;
}

static struct prober *add(struct drain *drain, const char *name)
{
	struct prober *prober = drain->count < PROBERS_MAX
					? &drain->probers[drain->count++]
					: most_silent(drain);

	g_free(prober->name);
	*prober = (struct prober){ .name = g_strdup(name) };
	return prober;
}

void drain_record_probe(struct drain *drain, const char *name)
{
	struct prober *prober = find(drain, name);

	if (!prober)
		prober = add(drain, name);
	prober->probed_us = now_us(drain);
	if (!drain->begun)
		return;
	if (!prober->answers)
		prober->told_us = prober->probed_us;
	prober->answers++;
}

/* It was probing when the process began to leave, or has begun since. */
static bool has_say(const struct drain *drain, const struct prober *prober)
{
	return prober->probed_us >=
	       drain->begun_us - drain->options.probe_interval_max_us;
}

static bool is_informed(const struct prober *prober)
{
	return prober->answers >= ANSWERS_TO_INFORM;
}

static bool has_settled(const struct drain *drain, const struct prober *prober)
{
	return is_informed(prober) &&
	       now_us(drain) - prober->told_us >= drain->options.settle_us;
}

/* It may not have been found by its balancer yet. */
static bool is_new(const struct drain *drain)
{
	return !drain->count && now_us(drain) - drain->created_us <
					drain->options.first_probe_max_us;
}

/* What the probers have been told, whatever the time. */
static enum drain_state judge(const struct drain *drain)
{
	uint32_t probers = 0;

	for (uint32_t i = 0; i < drain->count; i++) {
		const struct prober *prober = &drain->probers[i];

		if (!has_say(drain, prober))
			continue;
		if (!has_settled(drain, prober))
			return DRAIN_WAITING;
		probers++;
	}
	if (probers)
		return DRAIN_INFORMED;
	return is_new(drain) ? DRAIN_WAITING : DRAIN_UNPROBED;
}

enum drain_state drain_get_state(const struct drain *drain)
{
	int64_t since_us = now_us(drain) - drain->begun_us;
	enum drain_state state;

	if (!drain->begun)
		return DRAIN_NOT_DRAINING;
	if (since_us < drain->options.min_us)
		return DRAIN_WAITING;
	state = judge(drain);
	if (state == DRAIN_WAITING && since_us >= drain->options.max_us)
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
	int64_t probed_us = INT64_MIN;
	int64_t told_us = INT64_MAX;

	*out = (struct drain_view){ .last_probe_age_us = -1,
				    .first_notified_us = -1 };
	if (drain->begun)
		out->draining_for_us = now_us(drain) - drain->begun_us;
	for (uint32_t i = 0; i < drain->count; i++) {
		const struct prober *prober = &drain->probers[i];

		probed_us = MAX(probed_us, prober->probed_us);
		if (!has_say(drain, prober))
			continue;
		out->probers++;
		out->informed += is_informed(prober);
		if (!prober->answers)
			continue;
		out->notified++;
		told_us = MIN(told_us, prober->told_us);
	}
	if (drain->count)
		out->last_probe_age_us = now_us(drain) - probed_us;
	if (out->notified)
		out->first_notified_us = told_us - drain->begun_us;
}
