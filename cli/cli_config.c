/* check, diff, apply, show, history, rollback, audit. */
#include "cli/cli.h"

#include "base/lp_json.h"

#include <stdio.h>
#include <string.h>

#define SETTLE_TRIES 20
#define SETTLE_PAUSE_US (250 * LP_US_PER_MS)
#define DIFF_LINES_KEPT 200 /* of one change, in the audit */

/* The configuration as the KV has it. */
struct current {
	struct cfg_record *record; /* NULL: none yet */
	int64_t mod_revision;
};

static void clear_current(struct current *current)
{
	cfg_record_destroy(current->record);
	current->record = NULL;
}

static int read_current(struct cli *cli, struct current *out)
{
	struct cli_value value;
	int error = cli_read(cli, CFG_KEY, &value);

	*out = (struct current){ 0 };
	if (error)
		return error;
	out->mod_revision = value.mod_revision;
	if (value.value)
		error = cfg_record_parse(value.value, &out->record);
	cli_value_clear(&value);
	return error;
}

static uint64_t revision_of(const struct current *current)
{
	return current->record ? current->record->revision : 0;
}

static const char *text_of(const struct current *current)
{
	return current->record ? current->record->text : "";
}

static int tell_down(const struct cli *cli)
{
	cli_error("the key-value service at %s cannot be reached; nothing "
		  "was changed by this command",
		  cli->settings->kv_url);
	return CLI_FAILED;
}

static int load_files(struct cli *cli, char **text, struct cfg_doc **doc)
{
	g_autoptr(GPtrArray) errors = cfg_errors_create();
	int error;

	if (!cli->args[0] || cli->args[1]) {
		cli_error("expected one file or folder");
		return CLI_USAGE;
	}
	error = cfg_files_load(cli->args[0], errors, text, doc);
	for (guint i = 0; i < errors->len; i++)
		cli_error("%s", (char *)g_ptr_array_index(errors, i));
	return error ? CLI_FAILED : CLI_DONE;
}

int cli_check(struct cli *cli)
{
	g_autofree char *text = NULL;
	struct cfg_doc *doc;
	int status;

	if (cli->args[0] && cli_is_platform_file(cli->args[0]))
		return cli_check_platform(cli);
	status = load_files(cli, &text, &doc);
	if (status)
		return status;
	printf("%s: good: %u organisations, %u services, %u pipelines, %zu "
	       "bytes\n",
	       cli->args[0], doc->organisations_count, doc->services_count,
	       doc->pipelines_count, strlen(text));
	cfg_doc_destroy(doc);
	return CLI_DONE;
}

static void print_lines(const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++)
		printf("%s\n", (char *)g_ptr_array_index(lines, i));
}

int cli_diff(struct cli *cli)
{
	g_autofree char *text = NULL;
	g_autoptr(GPtrArray) lines = NULL;
	struct cfg_doc *doc;
	struct current current;
	int status = load_files(cli, &text, &doc);

	if (status)
		return status;
	cfg_doc_destroy(doc);
	if (read_current(cli, &current))
		return tell_down(cli);
	lines = cfg_diff(text_of(&current), text);
	print_lines(lines);
	printf("%u changes against revision %" G_GUINT64_FORMAT "\n",
	       lines->len, revision_of(&current));
	clear_current(&current);
	return CLI_DONE;
}

/* ---- the audit ---- */

static char *audit_key(uint64_t revision)
{
	return g_strdup_printf(CFG_AUDIT_PREFIX "%03u",
			       (unsigned int)(revision / CFG_AUDIT_SEGMENT %
					      CFG_AUDIT_SEGMENTS));
}

static char *history_key(uint64_t revision)
{
	return g_strdup_printf(CFG_HISTORY_PREFIX "%03u",
			       (unsigned int)(revision % CFG_HISTORY));
}

static void set_text(JsonObject *object, const char *name, const char *text)
{
	json_object_set_string_member(object, name, text);
}

static JsonObject *audit_record(const struct cfg_record *record, uint64_t from,
				const char *reason, const GPtrArray *diff)
{
	JsonObject *object = json_object_new();
	JsonArray *lines = json_array_new();

	json_object_set_int_member(object, "revision",
				   (gint64)record->revision);
	json_object_set_int_member(object, "from", (gint64)from);
	set_text(object, "who", record->who);
	json_object_set_int_member(object, "when_us", record->when_us);
	set_text(object, "apply_id", record->apply_id);
	set_text(object, "reason", reason);
	json_object_set_int_member(object, "changes", diff->len);
	for (guint i = 0; i < MIN(diff->len, DIFF_LINES_KEPT); i++)
		json_array_add_string_element(lines,
					      g_ptr_array_index(diff, i));
	json_object_set_array_member(object, "diff", lines);
	return object;
}

/* The segment's list; a segment of an earlier round starts anew. */
static JsonArray *segment_records(const char *value, uint64_t round)
{
	g_autoptr(JsonNode) root = value ? lp_json_node(value) : NULL;
	JsonObject *object;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return json_array_new();
	object = json_node_get_object(root);
	if ((uint64_t)json_object_get_int_member_with_default(object, "round",
							      0) != round)
		return json_array_new();
	return json_array_ref(json_object_get_array_member(object, "records"));
}

static char *segment_with(const char *value, uint64_t revision,
			  JsonObject *record)
{
	uint64_t round = revision / CFG_AUDIT_SEGMENT / CFG_AUDIT_SEGMENTS;
	JsonArray *records = segment_records(value, round);
	JsonObject *object = json_object_new();
	g_autoptr(JsonNode) root = json_node_new(JSON_NODE_OBJECT);

	json_array_add_object_element(records, record);
	json_object_set_int_member(object, "round", (gint64)round);
	json_object_set_array_member(object, "records", records);
	json_node_take_object(root, object);
	return json_to_string(root, FALSE);
}

/* ---- applying ---- */

struct change {
	struct current before;
	struct cfg_record *record;
	GPtrArray *diff;
};

static int write_change(struct cli *cli, const struct change *change)
{
	const struct cfg_record *record = change->record;
	g_autofree char *audit = audit_key(record->revision);
	g_autofree char *history = history_key(record->revision);
	g_autofree char *value = cfg_record_print(record);
	g_autofree char *number =
		g_strdup_printf("%" G_GUINT64_FORMAT, record->revision);
	g_autofree char *segment = NULL;
	struct cli_value old;
	int error = cli_read(cli, audit, &old);

	if (error)
		return error;
	segment =
		segment_with(old.value, record->revision,
			     audit_record(record, revision_of(&change->before),
					  cli->settings->reason, change->diff));
	const struct store_compare compares[] = {
		{ CFG_KEY, change->before.mod_revision },
		{ audit, old.mod_revision },
	};
	const struct store_put puts[] = {
		{ CFG_KEY, value, 0 },
		{ CFG_NUMBER_KEY, number, 0 },
		{ audit, segment, 0 },
		{ history, value, 0 },
	};
	const struct store_txn txn = {
		.compares = compares,
		.compares_count = G_N_ELEMENTS(compares),
		.puts = puts,
		.puts_count = G_N_ELEMENTS(puts),
	};
	error = cli_txn(cli, &txn);
	cli_value_clear(&old);
	return error;
}

static bool segment_has(const char *value, const char *apply_id)
{
	g_autoptr(JsonNode) root = value ? lp_json_node(value) : NULL;
	JsonArray *records;

	if (!root)
		return false;
	records = json_object_get_array_member(json_node_get_object(root),
					       "records");
	for (guint i = 0; i < json_array_get_length(records); i++) {
		JsonObject *record = json_array_get_object_element(records, i);

		if (!strcmp(json_object_get_string_member(record, "apply_id"),
			    apply_id))
			return true;
	}
	return false;
}

/*
 * What became of a write whose answer was lost or that conflicts: ours
 * stands in the audit, or it never will since the compare cannot hold again.
 * Returns LP_OK, LP_ERROR_CONFLICT, or LP_ERROR_PLATFORM_DOWN: not known.
 */
static int settle(struct cli *cli, const struct change *change)
{
	g_autofree char *audit = audit_key(change->record->revision);
	struct cli_value value;
	int error = cli_read(cli, audit, &value);
	bool ours;

	if (error)
		return error;
	ours = segment_has(value.value, change->record->apply_id);
	cli_value_clear(&value);
	return ours ? LP_OK : LP_ERROR_CONFLICT;
}

/* A lost answer: write again under the same compare, then look. */
static int write_until_known(struct cli *cli, const struct change *change)
{
	int error = write_change(cli, change);

	for (int i = 0; error == LP_ERROR_PLATFORM_DOWN && i < SETTLE_TRIES;
	     i++) {
		cli_pause(SETTLE_PAUSE_US);
		error = write_change(cli, change);
	}
	if (error == LP_ERROR_CONFLICT)
		error = settle(cli, change);
	return error;
}

static int tell_conflict(struct cli *cli, const struct change *change)
{
	struct current now;
	g_autoptr(GPtrArray) lines = NULL;

	if (read_current(cli, &now))
		return tell_down(cli);
	cli_error("refused: %s changed the configuration to revision "
		  "%" G_GUINT64_FORMAT " meanwhile; nothing of yours was "
		  "applied. What changed:",
		  now.record ? now.record->who : "someone", revision_of(&now));
	lines = cfg_diff(text_of(&change->before), text_of(&now));
	for (guint i = 0; i < lines->len; i++)
		cli_error("%s", (char *)g_ptr_array_index(lines, i));
	clear_current(&now);
	return CLI_FAILED;
}

static int tell_unknown(const struct change *change)
{
	cli_error("the key-value service does not answer: whether revision "
		  "%" G_GUINT64_FORMAT " (apply %s) took effect is not "
		  "known; look with 'linepier audit'",
		  change->record->revision, change->record->apply_id);
	return CLI_FAILED;
}

static int finish_change(struct cli *cli, const struct change *change)
{
	int error = write_until_known(cli, change);

	if (error == LP_ERROR_CONFLICT)
		return tell_conflict(cli, change);
	if (error)
		return tell_unknown(change);
	printf("applied as revision %" G_GUINT64_FORMAT "\n",
	       change->record->revision);
	if (!cli->settings->wait)
		return CLI_DONE;
	return cli_wait_in_force(cli, change->record->revision);
}

static bool has_host(JsonArray *hosts, const char *service)
{
	for (guint i = 0; i < json_array_get_length(hosts); i++) {
		JsonObject *host = json_array_get_object_element(hosts, i);

		if (!strcmp(json_object_get_string_member_with_default(
				    host, "service", ""),
			    service))
			return true;
	}
	return false;
}

/* A pipeline whose service has no upstream could only refuse. */
static int check_stranded(struct cli *cli, const struct cfg_doc *doc)
{
	g_autoptr(JsonNode) hosts = cli_hosts(cli);
	int status = CLI_DONE;

	if (!hosts)
		return CLI_FAILED;
	for (uint32_t i = 0; i < doc->pipelines_count; i++) {
		const struct cfg_pipeline *pipeline = &doc->pipelines[i];

		for (uint32_t j = 0; j < pipeline->stages_count; j++) {
			const char *service = pipeline->stages[j].service;

			if (has_host(json_node_get_array(hosts), service))
				continue;
			cli_error("%s: pipelines.%s.stages.%s.service: no "
				  "upstream of '%s' is in the host list",
				  cli->args[0], pipeline->name,
				  pipeline->stages[j].name, service);
			status = CLI_FAILED;
		}
	}
	return status;
}

static int check_expected(struct cli *cli, const struct current *current)
{
	int64_t expected = cli->settings->expect_revision;

	if (expected < 0 || (uint64_t)expected == revision_of(current))
		return CLI_DONE;
	cli_error("refused: expected revision %" G_GINT64_FORMAT
		  ", in force is %" G_GUINT64_FORMAT,
		  (gint64)expected, revision_of(current));
	return CLI_FAILED;
}

/* Apply a text over what is in force. */
static int apply_text(struct cli *cli, const char *text)
{
	g_autofree char *apply_id = g_uuid_string_random();
	struct change change = { 0 };
	int status;

	if (read_current(cli, &change.before))
		return tell_down(cli);
	status = check_expected(cli, &change.before);
	change.diff = cfg_diff(text_of(&change.before), text);
	if (!status) {
		print_lines(change.diff);
		if (!change.diff->len) {
			printf("no change against revision %" G_GUINT64_FORMAT
			       "\n",
			       revision_of(&change.before));
		} else {
			change.record = cfg_record_create(
				revision_of(&change.before) + 1, apply_id,
				cli->settings->who, text);
			status = finish_change(cli, &change);
		}
	}
	g_ptr_array_unref(change.diff);
	cfg_record_destroy(change.record);
	clear_current(&change.before);
	return status;
}

int cli_apply(struct cli *cli)
{
	g_autofree char *text = NULL;
	struct cfg_doc *doc;
	int status = load_files(cli, &text, &doc);

	if (status)
		return status;
	status = check_stranded(cli, doc);
	cfg_doc_destroy(doc);
	return status ? status : apply_text(cli, text);
}

/* ---- looking ---- */

int cli_show(struct cli *cli)
{
	struct current current;

	if (read_current(cli, &current))
		return tell_down(cli);
	if (!current.record) {
		cli_error("no configuration was applied yet");
		return CLI_FAILED;
	}
	printf("# revision %" G_GUINT64_FORMAT ", applied by %s\n%s",
	       current.record->revision, current.record->who,
	       current.record->text);
	clear_current(&current);
	return CLI_DONE;
}

static int by_revision(gconstpointer a, gconstpointer b)
{
	const struct cfg_record *left = *(struct cfg_record *const *)a;
	const struct cfg_record *right = *(struct cfg_record *const *)b;

	return (left->revision < right->revision) -
	       (left->revision > right->revision);
}

static void destroy_record(gpointer record)
{
	cfg_record_destroy(record);
}

static GPtrArray *parse_records(const GPtrArray *values)
{
	GPtrArray *records = g_ptr_array_new_with_free_func(destroy_record);

	for (guint i = 0; i < values->len; i++) {
		struct cfg_record *record;

		if (!cfg_record_parse(g_ptr_array_index(values, i), &record))
			g_ptr_array_add(records, record);
	}
	g_ptr_array_sort(records, by_revision);
	return records;
}

static char *wall_time(int64_t when_us)
{
	g_autoptr(GDateTime) time =
		g_date_time_new_from_unix_utc(when_us / LP_US_PER_S);

	return g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
}

int cli_history(struct cli *cli)
{
	g_autoptr(GPtrArray) values = NULL;
	g_autoptr(GPtrArray) records = NULL;

	if (cli_read_all(cli, CFG_HISTORY_PREFIX, &values))
		return tell_down(cli);
	records = parse_records(values);
	for (guint i = 0; i < MIN(records->len, cli->settings->limit); i++) {
		const struct cfg_record *record = g_ptr_array_index(records, i);
		g_autofree char *when = wall_time(record->when_us);

		printf("%" G_GUINT64_FORMAT " %s %s %zu bytes\n",
		       record->revision, when, record->who,
		       strlen(record->text));
	}
	return CLI_DONE;
}

int cli_rollback(struct cli *cli)
{
	guint64 revision;
	g_autofree char *key = NULL;
	struct cli_value value;
	struct cfg_record *record;
	int status = CLI_FAILED;

	if (!cli->args[0] ||
	    !g_ascii_string_to_unsigned(cli->args[0], 10, 1, G_MAXINT64,
					&revision, NULL)) {
		cli_error("expected the revision to go back to");
		return CLI_USAGE;
	}
	key = history_key(revision);
	if (cli_read(cli, key, &value))
		return tell_down(cli);
	if (!value.value || cfg_record_parse(value.value, &record)) {
		cli_error("revision %s is not kept", cli->args[0]);
		return CLI_FAILED;
	}
	if (record->revision == revision)
		status = apply_text(cli, record->text);
	else
		cli_error("revision %s is no longer kept", cli->args[0]);
	cfg_record_destroy(record);
	cli_value_clear(&value);
	return status;
}

static void gather_audit(const char *value, GPtrArray *records)
{
	g_autoptr(JsonNode) root = lp_json_node(value);
	JsonArray *list;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return;
	list = json_object_get_array_member(json_node_get_object(root),
					    "records");
	for (guint i = 0; i < json_array_get_length(list); i++)
		g_ptr_array_add(records,
				json_object_ref(json_array_get_object_element(
					list, i)));
}

static gint64 audit_revision(JsonObject *record)
{
	return json_object_get_int_member(record, "revision");
}

static int by_audit_revision(gconstpointer a, gconstpointer b)
{
	gint64 left = audit_revision(*(JsonObject *const *)a);
	gint64 right = audit_revision(*(JsonObject *const *)b);

	return (left < right) - (left > right);
}

static void print_audit(JsonObject *record)
{
	g_autofree char *when =
		wall_time(json_object_get_int_member(record, "when_us"));
	JsonArray *diff = json_object_get_array_member(record, "diff");

	printf("%" G_GINT64_FORMAT " from %" G_GINT64_FORMAT
	       " %s by %s, apply %s: %s\n",
	       audit_revision(record),
	       json_object_get_int_member(record, "from"), when,
	       json_object_get_string_member(record, "who"),
	       json_object_get_string_member(record, "apply_id"),
	       json_object_get_string_member(record, "reason"));
	for (guint i = 0; i < json_array_get_length(diff); i++)
		printf("  %s\n", json_array_get_string_element(diff, i));
}

/* Arguments filter: "who=NAME", "path=PART OF A CHANGED PATH". */
static bool audit_matches(JsonObject *record, char **filters)
{
	JsonArray *diff = json_object_get_array_member(record, "diff");
	bool found;

	for (int i = 0; filters[i]; i++) {
		if (g_str_has_prefix(filters[i], "who=") &&
		    strcmp(json_object_get_string_member(record, "who"),
			   filters[i] + strlen("who=")) != 0)
			return false;
		if (!g_str_has_prefix(filters[i], "path="))
			continue;
		found = false;
		for (guint j = 0; j < json_array_get_length(diff); j++)
			found = found ||
				strstr(json_array_get_string_element(diff, j),
				       filters[i] + strlen("path="));
		if (!found)
			return false;
	}
	return true;
}

int cli_audit(struct cli *cli)
{
	g_autoptr(GPtrArray) values = NULL;
	g_autoptr(GPtrArray) records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)json_object_unref);
	int64_t left = cli->settings->limit;

	for (int i = 0; cli->args[i]; i++) {
		if (g_str_has_prefix(cli->args[i], "who=") ||
		    g_str_has_prefix(cli->args[i], "path="))
			continue;
		cli_error("%s: expected who=NAME or path=TEXT", cli->args[i]);
		return CLI_USAGE;
	}
	if (cli_read_all(cli, CFG_AUDIT_PREFIX, &values))
		return tell_down(cli);
	for (guint i = 0; i < values->len; i++)
		gather_audit(g_ptr_array_index(values, i), records);
	g_ptr_array_sort(records, by_audit_revision);
	for (guint i = 0; i < records->len && left > 0; i++) {
		JsonObject *record = g_ptr_array_index(records, i);

		if (!audit_matches(record, cli->args))
			continue;
		print_audit(record);
		left -= 1;
	}
	return CLI_DONE;
}
