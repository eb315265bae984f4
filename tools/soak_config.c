#include "tools/soak_config.h"

#include "base/lp_clock.h"
#include "http/http_fetch.h"

#include <stdio.h>

#define ROUTES_LEAST 50
#define ROUTES_MOST 150
#define ROUTES_IN_ALL 300
/* 300 routes are 39 KB, 52 as the service sends them: for two entries at once 5
 * s at the least rate. The version before may have just begun its way: as much
 * again; and looks at the list of upstreams take a part of the link. */
#define RATE_LEAST 20000
#define RATE_MOST 100000
#define IN_FORCE_US (24 * LP_US_PER_S)
#define PROBE_EVERY_MS 100
#define PATIENT_TIMEOUT_MS 12000
#define PROBE_TIMEOUT_US (2 * LP_US_PER_S)

struct soak_config {
	struct soak_config_options options;
	GRand *random;
	int64_t version;
	uint32_t routes;
	uint32_t probe_status; /* of the last answer to a probe; 0: none */
};

/* Which version an entry has in force is seen by a key that only one knows. */
struct probe {
	uint32_t status; /* 0: no answer yet */
	bool ended;
};

void soak_config_write_again(struct soak_config *config)
{
	int64_t version = config->version;
	g_autofree char *json =
		config->options.is_patient
			? pe_patient_config(version, config->routes,
					    PATIENT_TIMEOUT_MS)
			: pe_grown_config(version, config->routes);

	pe_set_config(config->options.platform, json);
}

static void write_version(struct soak_config *config)
{
	config->version++;
	soak_config_write_again(config);
}

struct soak_config *
soak_config_create(const struct soak_config_options *options)
{
	struct soak_config *config = g_new0(struct soak_config, 1);

	config->options = *options;
	config->random = g_rand_new_with_seed(options->seed);
	write_version(config);
	return config;
}

void soak_config_destroy(struct soak_config *config)
{
	g_rand_free(config->random);
	g_free(config);
}

static void add_routes(struct soak_config *config)
{
	uint32_t more = (uint32_t)g_rand_int_range(config->random, ROUTES_LEAST,
						   ROUTES_MOST);

	config->routes = MIN(config->routes + more, ROUTES_IN_ALL);
	write_version(config);
}

static void change_rate(struct soak_config *config)
{
	uint32_t rate = (uint32_t)g_rand_int_range(config->random, RATE_LEAST,
						   RATE_MOST);
	bool slow = g_rand_int_range(config->random, 0, 3) > 0;

	pe_store_set_rate(config->options.platform, slow ? rate : 0);
}

/* Of three draws one adds routes, one changes the link, one does nothing; the
 * link falls silent in one of twelve. */
void soak_config_disturb(struct soak_config *config)
{
	gint32 dice = g_rand_int_range(config->random, 0, 12);

	if (dice < 4)
		add_routes(config);
	else if (dice < 8)
		change_rate(config);
	else if (dice == 8)
		pe_store_silence(config->options.platform);
}

/* ---- whether a version is in force ---- */

static void on_probed(void *userdata, const struct http_fetch_answer *answer)
{
	struct probe *probe = userdata;

	probe->status = answer->error ? 0 : answer->status;
	probe->ended = true;
}

static bool has_newest(struct soak_config *config, const char *entry)
{
	g_autofree char *key = g_strdup_printf("Bearer key-%" G_GINT64_FORMAT,
					       (gint64)config->version);
	g_autofree char *id = g_strdup_printf("probe-%u", g_random_int());
	struct probe probe = { 0 };
	struct http_fields fields;

	http_fields_init(&fields);
	http_fields_add(&fields, "Host", "a.example");
	http_fields_add(&fields, "X-Attempt-Id", id);
	http_fields_add(&fields, "Authorization", key);
	probe.ended = !http_fetch_start(&(struct http_fetch_options){
		.address = entry,
		.method = "GET",
		.target = "/look/x",
		.fields = &fields,
		.connect_timeout_us = PROBE_TIMEOUT_US,
		.timeout_us = PROBE_TIMEOUT_US,
		.done = on_probed,
		.userdata = &probe,
	});
	http_fields_clear(&fields);
	while (!probe.ended)
		g_main_context_iteration(NULL, TRUE);
	config->probe_status = probe.status;
	return probe.status == 200;
}

static gboolean on_pause_over(gpointer userdata)
{
	*(bool *)userdata = true;
	return G_SOURCE_REMOVE;
}

static void pause_probes(void)
{
	bool over = false;

	g_timeout_add(PROBE_EVERY_MS, on_pause_over, &over);
	while (!over)
		g_main_context_iteration(NULL, TRUE);
}

void soak_config_settle(struct soak_config *config)
{
	int64_t start_us = g_get_monotonic_time();
	int64_t end_us = start_us + IN_FORCE_US;
	const char *const *entry = config->options.entries;

	write_version(config);
	while (*entry && g_get_monotonic_time() < end_us) {
		if (has_newest(config, *entry))
			entry++;
		else
			pause_probes();
	}
	printf("last version: waited %" G_GINT64_FORMAT " ms\n",
	       (gint64)(g_get_monotonic_time() - start_us) / LP_US_PER_MS);
	if (*entry)
		printf("%s answered the last probe with %u\n", *entry,
		       config->probe_status);
	for (; *entry; entry++)
		config->options.breach(config->options.userdata, *entry,
				       "the newest configuration is not in "
				       "force");
}
