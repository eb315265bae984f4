#include "tools/soak_writer.h"

#include <string.h>

/* A clock that is set back, and one that says too much. */
#define SET_BACK_MS 60000
/* Entries of its own at a time. */
#define PLACES 4
#define DEPTH 200000

struct soak_writer {
	struct soak_writer_options options;
	GRand *random;
	struct pe_upstream *trap;	 /* what unreadable entries name */
	struct pe_upstream *overwritten; /* it writes its own again; or NULL */
};

/* What of a whole entry is replaced, and by what; without a part, all of it. */
struct change {
	const char *part;
	const char *other;
};

static const struct change changes[] = {
	{ NULL, "" },
	{ NULL, "no" },
	{ NULL, "[]" },
	{ NULL, "{}" },
	{ NULL, "\xff\xfe\xfd" },
	{ "{", "" },
	{ "{", "{/* a note */" },
	{ "}", "}}" },
	{ "}", ",}" },
	{ "\"service\":", "\"other\":" },
	{ "\"service\":", "\"service\":[],\"other\":" },
	{ "\"address\":", "\"address\":7,\"other\":" },
	{ "\"address\":\"", "\"address\":\"host:1 " },
	{ "\"zone\":\"a\"", "\"zone\":null" },
	{ "\"version\":\"v1\",", "" },
	{ "\"slots\":4", "\"slots\":-4" },
	{ "\"slots\":4", "\"slots\":\"4\"" },
	{ "\"slots\":4", "\"slots\":1e30" },
	{ "\"slots\":4", "\"slots\":4,\"slots\":5" },
	{ "\"state\":\"ready\"", "\"state\":\"resting\"" },
	{ "\"state\":\"ready\"", "\"state\":true" },
	{ "\"cold_left_ms\":0", "\"cold_left_ms\":0.5" },
	{ "\"seq_no\":1", "\"seq_no\":{}" },
	{ "\"born\":", "\"born\":-" },
	{ "\"born\":", "\"born\":1.5,\"other\":" },
	{ "\"born\":", "\"born\":\"soon\",\"other\":" },
};

static char *replace(const char *text, const struct change *change)
{
	const char *at = change->part ? strstr(text, change->part) : NULL;

	if (!at)
		return g_strdup(change->other);
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text,
			       change->other, at + strlen(change->part));
}

/* An entry of the trap that cannot be read. */
static GBytes *draw_value(struct soak_writer *writer)
{
	guint kind = (guint)g_rand_int_range(writer->random, 0,
					     (gint32)G_N_ELEMENTS(changes) + 2);
	g_autofree char *whole = pe_entry(writer->trap);
	g_autofree char *plain =
		replace(whole, &(struct change){ "\"service\":\"trap\"",
						 "\"service\":\"plain\"" });
	g_autofree char *deep = NULL;
	char *text;

	if (kind < G_N_ELEMENTS(changes)) {
		text = replace(plain, &changes[kind]);
		return g_bytes_new_take(text, strlen(text));
	}
	if (kind == G_N_ELEMENTS(changes)) /* a zero byte follows */
		return g_bytes_new(plain, strlen(plain) + 1);
	deep = g_strnfill(DEPTH, '[');
	text = g_strdup_printf("{\"deep\":%s", deep);
	return g_bytes_new_take(text, strlen(text));
}

static void write_value(struct soak_writer *writer, const char *id)
{
	g_autoptr(GBytes) value = draw_value(writer);

	pe_write(writer->options.platform, id, g_bytes_get_data(value, NULL),
		 g_bytes_get_size(value));
}

static void write_elsewhere(struct soak_writer *writer)
{
	g_autofree char *id = g_strdup_printf(
		"x-%d", g_rand_int_range(writer->random, 0, PLACES));

	write_value(writer, id);
}

static struct pe_upstream *draw_upstream(struct soak_writer *writer)
{
	const GPtrArray *upstreams = writer->options.upstreams;

	return g_ptr_array_index(
		upstreams,
		g_rand_int_range(writer->random, 0, (gint32)upstreams->len));
}

static void write_over(struct soak_writer *writer)
{
	writer->overwritten = draw_upstream(writer);
	write_value(writer, pe_name(writer->overwritten));
}

static void erase(struct soak_writer *writer)
{
	writer->overwritten = draw_upstream(writer);
	pe_erase(writer->options.platform, pe_name(writer->overwritten));
}

static void restart(struct soak_writer *writer)
{
	struct pe_restart_options how = {
		.silent = g_rand_boolean(writer->random),
		.untold = g_rand_boolean(writer->random),
	};

	if (!g_rand_int_range(writer->random, 0, 4))
		how.back_ms = SET_BACK_MS;
	writer->overwritten = draw_upstream(writer);
	pe_restart(writer->overwritten, &how);
}

static void tell_overwritten(struct soak_writer *writer)
{
	if (writer->overwritten)
		pe_tell(writer->overwritten);
	writer->overwritten = NULL;
}

void soak_writer_disturb(struct soak_writer *writer)
{
	static void (*const kinds[])(struct soak_writer *) = {
		write_elsewhere, write_over, erase, restart, restart, restart,
	};

	tell_overwritten(writer);
	kinds[g_rand_int_range(writer->random, 0, G_N_ELEMENTS(kinds))](writer);
}

void soak_writer_settle(struct soak_writer *writer)
{
	tell_overwritten(writer);
	if (pe_arrivals(writer->trap))
		writer->options.breach(writer->options.userdata,
				       pe_name(writer->trap),
				       "an entry that cannot be read was used");
}

struct soak_writer *
soak_writer_create(const struct soak_writer_options *options)
{
	struct soak_writer *writer = g_new0(struct soak_writer, 1);

	writer->options = *options;
	writer->random = g_rand_new_with_seed(options->seed);
	writer->trap = pe_add(options->platform, PE_PLAIN, "trap", "a");
	return writer;
}

void soak_writer_destroy(struct soak_writer *writer)
{
	g_rand_free(writer->random);
	g_free(writer);
}
