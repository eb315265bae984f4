#include "direct/direct_quarantine.h"

#include "base/lp_digest.h"
#include "base/lp_id.h"
#include "base/lp_timer.h"
#include "direct/direct_request.h"

#include <string.h>

/* Reports about keys: key, incarnation of the upstream, organisation, round, a
 * time in us that depends on the kind, the length of the run in us, kind,
 * whether the key is of a part, whether an answer had begun. */
#define KIND_REPORTS 'B'
#define REPORTS_TYPE "a(tttuxxybb)"
#define REPORT_TERMINATION 'E' /* all fields; the time is its age */
#define REPORT_CLEARED 'S'     /* age */
#define REPORT_BEGUN 'A'       /* age of an answer that had begun */
#define REPORT_TRIAL 'T'       /* longest time left to the trial; 0: ended */
/* About 5 KB. */
#define REPORTS_PER_DATAGRAM 96
/* Each report is sent this often, at this interval: where one datagram in 40 is
 * lost, all three are lost once in 64,000 times. */
#define SENDS 3
#define RESEND_MS 150
/* Interval at which the records of suspects are sent to one member after the
 * other, as a member may have missed reports while it was partitioned. */
#define REFRESH_MS 2000
/* A termination is detected within some round trips after a lost request. */
#define DETECTION_US (1 * LP_US_PER_S)
/* A run that lasts longer than this factor times the longest run up to a
 * termination, plus this margin, is considered not to terminate its upstream.
 */
#define OUTLIVES_FACTOR 2
#define OUTLIVES_MARGIN_US (1 * LP_US_PER_S)
/* API keys with which parts are keyed, the newest first. Configurations add and
 * remove keys, and the records under the key before are not lost. */
#define PART_KEYS_MAX 3
/* Bounds of received values: one round a minute for a week, and an age. */
#define ROUND_MAX 10000
#define AGE_MAX_US (INT64_C(24) * 3600 * LP_US_PER_S)

struct report {
	guint8 kind;
	uint64_t key;
	uint64_t incarnation;
	uint64_t organisation;
	uint32_t round;
	int64_t at_us; /* time of the event, or latest end of the trial */
	int64_t run_us;
	gboolean is_part;
	gboolean had_begun;
	uint32_t sends_left;
};

struct direct_quarantine {
	struct direct *direct;
	struct direct_peers *peers; /* NULL: reports are not sent */
	struct quarantine *records;
	char *part_keys[PART_KEYS_MAX]; /* NULL: none yet */
	GArray *reports;		/* of struct report, to be sent again */
	guint resend_timer;
	guint refresh_timer;
	guint refreshed_members; /* so far */
};

/* A report names one organisation. */
static void
add_termination_reports(const struct quarantine_termination *termination,
			GArray *out)
{
	struct report report = {
		.kind = REPORT_TERMINATION,
		.key = termination->key,
		.incarnation = termination->incarnation,
		.organisation = termination->organisations[0],
		.round = termination->round,
		.at_us = termination->terminated_us,
		.run_us = termination->run_us,
		.is_part = termination->is_part,
		.had_begun = termination->had_begun,
	};

	g_array_append_val(out, report);
	if (!termination->organisations[1])
		return;
	report.organisation = termination->organisations[1];
	g_array_append_val(out, report);
}

/* A REPORT_CLEARED, REPORT_BEGUN or REPORT_TRIAL. */
static struct report time_report(guint8 kind, uint64_t key, int64_t at_us)
{
	return (struct report){
		.kind = kind,
		.key = key,
		.at_us = at_us,
	};
}

static GArray *create_reports(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct report));
}

static int64_t now(const struct direct_quarantine *quarantine)
{
	return lp_now_us(quarantine->direct->options.clock);
}

/* ---- sending reports ---- */

static void append_report(GVariantBuilder *builder, const struct report *report,
			  int64_t now_us)
{
	int64_t time_us = report->kind == REPORT_TRIAL ? report->at_us - now_us
						       : now_us - report->at_us;

	g_variant_builder_add(builder, "(tttuxxybb)", (guint64)report->key,
			      (guint64)report->incarnation,
			      (guint64)report->organisation,
			      (guint32)report->round, (gint64)MAX(time_us, 0),
			      (gint64)report->run_us, report->kind,
			      report->is_part, report->had_begun);
}

static GVariant *encode_reports(const struct direct_quarantine *quarantine,
				const struct report *reports, guint count)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE(REPORTS_TYPE));
	for (guint i = 0; i < count; i++)
		append_report(&builder, &reports[i], now(quarantine));
	return g_variant_builder_end(&builder);
}

/* Sends reports to one member, or to all (0). */
static void send_reports(struct direct_quarantine *quarantine, uint64_t peer,
			 const struct report *reports, guint count)
{
	for (guint i = 0; i < count; i += REPORTS_PER_DATAGRAM) {
		g_autoptr(GVariant) body = g_variant_ref_sink(
			encode_reports(quarantine, reports + i,
				       MIN(count - i, REPORTS_PER_DATAGRAM)));

		if (peer)
			direct_peers_send(quarantine->peers, peer, KIND_REPORTS,
					  body);
		else
			direct_peers_send_all(quarantine->peers, KIND_REPORTS,
					      body);
	}
}

/* Returns whether reports remain to be sent again. */
static bool resend_reports(struct direct_quarantine *quarantine)
{
	GArray *reports = quarantine->reports;
	struct report *items = (struct report *)reports->data;

	send_reports(quarantine, 0, items, reports->len);
	for (guint i = reports->len; i-- > 0;)
		if (!--items[i].sends_left)
			g_array_remove_index_fast(reports, i);
	return reports->len > 0;
}

static gboolean on_resend(gpointer userdata)
{
	struct direct_quarantine *quarantine = userdata;

	if (resend_reports(quarantine))
		return G_SOURCE_CONTINUE;
	quarantine->resend_timer = 0;
	return G_SOURCE_REMOVE;
}

static bool is_superseded(const struct report *queued,
			  const struct report *report)
{
	return queued->kind == report->kind && queued->key == report->key &&
	       queued->incarnation == report->incarnation &&
	       queued->organisation == report->organisation;
}

static void queue_report(GArray *reports, const struct report *report)
{
	for (guint i = reports->len; i-- > 0;)
		if (is_superseded(&g_array_index(reports, struct report, i),
				  report))
			g_array_remove_index_fast(reports, i);
	g_array_append_val(reports, *report);
}

static void broadcast(struct direct_quarantine *quarantine, GArray *reports)
{
	if (!quarantine->peers || !reports->len)
		return;
	send_reports(quarantine, 0, (struct report *)reports->data,
		     reports->len);
	for (guint i = 0; i < reports->len; i++) {
		struct report *report =
			&g_array_index(reports, struct report, i);

		report->sends_left = SENDS - 1;
		queue_report(quarantine->reports, report);
	}
	if (!quarantine->resend_timer)
		quarantine->resend_timer =
			lp_timer_add(RESEND_MS, on_resend, quarantine);
}

static void broadcast_one(struct direct_quarantine *quarantine,
			  struct report report)
{
	g_autoptr(GArray) reports = create_reports();

	g_array_append_val(reports, report);
	broadcast(quarantine, reports);
}

/* ---- sending records to one member ---- */

static void add_record_reports(void *userdata,
			       const struct quarantine_view *view)
{
	GArray *reports = userdata;
	struct report cleared =
		time_report(REPORT_CLEARED, view->key, view->cleared_us);
	struct report begun =
		time_report(REPORT_BEGUN, view->key, view->begun_us);

	if (view->cleared_us)
		g_array_append_val(reports, cleared);
	if (view->begun_us)
		g_array_append_val(reports, begun);
	for (uint32_t i = 0; i < view->terminations_count; i++)
		add_termination_reports(&view->terminations[i], reports);
}

static void add_suspect_reports(void *userdata,
				const struct quarantine_view *view)
{
	if (view->is_suspect)
		add_record_reports(userdata, view);
}

static void on_discovered(void *userdata, uint64_t peer)
{
	struct direct_quarantine *quarantine = userdata;
	g_autoptr(GArray) reports = create_reports();

	quarantine_foreach(quarantine->records, add_record_reports, reports);
	send_reports(quarantine, peer, (struct report *)reports->data,
		     reports->len);
}

static uint64_t next_member(struct direct_quarantine *quarantine)
{
	g_autoptr(GArray) members =
		g_array_new(FALSE, FALSE, sizeof(struct dispatchers_member));

	direct_peers_members(quarantine->peers, members);
	return g_array_index(members, struct dispatchers_member,
			     quarantine->refreshed_members++ % members->len)
		.hash;
}

static gboolean on_refresh(gpointer userdata)
{
	struct direct_quarantine *quarantine = userdata;
	g_autoptr(GArray) reports = create_reports();

	quarantine_expire(quarantine->records);
	if (!quarantine->peers || quarantine_is_empty(quarantine->records))
		return G_SOURCE_CONTINUE;
	quarantine_foreach(quarantine->records, add_suspect_reports, reports);
	if (reports->len)
		send_reports(quarantine, next_member(quarantine),
			     (struct report *)reports->data, reports->len);
	return G_SOURCE_CONTINUE;
}

/* ---- records ---- */

static void log_outcome(struct direct_quarantine *quarantine, uint64_t key,
			const char *outcome, uint64_t peer)
{
	struct direct *direct = quarantine->direct;
	struct lp_event_log *log = direct->options.log;
	g_autofree char *label = g_strdup_printf("outcome=\"%s\"", outcome);
	struct quarantine_view view = { 0 };

	*direct_counter(direct, "linepier_quarantine_total", label) += 1;
	quarantine_get_view(quarantine->records, key, &view);
	/* The parts of each lost request are in its line already. */
	if ((view.is_part && view.terminations_count == 1) ||
	    !lp_event_begin(log, "quarantine", NULL))
		return;
	lp_event_digest(log, "content", key);
	lp_event_text(log, "key", view.is_part ? "part" : "request");
	lp_event_text(log, "outcome", outcome);
	lp_event_int(log, "ends", view.terminations_count);
	lp_event_int(log, "rounds", view.rounds);
	lp_event_int(log, "out_us",
		     MAX(view.blocked_until_us - now(quarantine), 0));
	lp_event_text(log, "peer",
		      peer ? direct_peers_ip(quarantine->peers, peer) : "");
	lp_event_end(log);
}

static const char *standing_name(const struct direct_quarantine *quarantine,
				 const struct quarantine_view *view)
{
	if (view->is_explained)
		return "explained";
	if (view->blocked_until_us > now(quarantine))
		return "kept_out";
	return view->is_suspect ? "one_at_a_time" : "noted";
}

/* `peer`: sender of the report; 0: this entry. Returns false if the termination
 * is known or was cleared. */
static bool record_termination(struct direct_quarantine *quarantine,
			       const struct quarantine_termination *termination,
			       uint64_t peer)
{
	struct quarantine_view view = { 0 };

	if (!quarantine_add_termination(quarantine->records, termination))
		return false;
	quarantine_get_view(quarantine->records, termination->key, &view);
	log_outcome(quarantine, termination->key,
		    standing_name(quarantine, &view), peer);
	return true;
}

static void record_cleared(struct direct_quarantine *quarantine, uint64_t key,
			   int64_t cleared_us, uint64_t peer)
{
	if (quarantine_clear(quarantine->records, key, cleared_us))
		log_outcome(quarantine, key, "cleared", peer);
}

static void record_begun(struct direct_quarantine *quarantine, uint64_t key,
			 int64_t begun_us, uint64_t peer)
{
	if (quarantine_clear_unbegun(quarantine->records, key, begun_us))
		log_outcome(quarantine, key, "cleared", peer);
}

/* Sets the latest end of a trial here and at other entries; now: it is over. */
static void share_trial(struct direct_quarantine *quarantine, uint64_t key,
			int64_t until_us)
{
	quarantine_set_trial(quarantine->records, key, until_us);
	broadcast_one(quarantine, time_report(REPORT_TRIAL, key, until_us));
}

/* Ends the running trial, if any, as its outcome is known. */
static void end_running_trial(struct direct_quarantine *quarantine,
			      uint64_t key)
{
	int64_t now_us = now(quarantine);
	struct quarantine_view view;

	if (quarantine_get_view(quarantine->records, key, &view) &&
	    view.trial_until_us > now_us)
		share_trial(quarantine, key, now_us);
}

/* Clears all terminations up to now, here and at other entries. */
static void clear_everywhere(struct direct_quarantine *quarantine, uint64_t key)
{
	int64_t now_us = now(quarantine);

	record_cleared(quarantine, key, now_us, 0);
	broadcast_one(quarantine, time_report(REPORT_CLEARED, key, now_us));
}

static bool is_blocked(const struct direct_quarantine *quarantine,
		       const struct quarantine_view *view)
{
	return view->blocked_until_us > now(quarantine) && !view->is_explained;
}

/* Whether one of the keys of a lost request is blocked. */
static bool has_blocked_key(const struct direct_quarantine *quarantine,
			    const struct quarantine_keys *keys)
{
	for (uint32_t i = 0; i < keys->count; i++) {
		struct quarantine_view view;

		if (quarantine_get_view(quarantine->records,
					keys->items[i].digest, &view) &&
		    is_blocked(quarantine, &view))
			return true;
	}
	return false;
}

/* With a blocked key go the parts of the request that may be the cause in its
 * place: without their records it would be blocked alone. */
static void notify_if_blocked(struct direct_quarantine *quarantine,
			      const struct quarantine_keys *keys)
{
	const struct direct_options *options = &quarantine->direct->options;

	if (!options->blocked || !has_blocked_key(quarantine, keys))
		return;
	for (uint32_t i = 0; i < keys->count; i++) {
		struct quarantine_view view;
		uint64_t key = keys->items[i].digest;

		if (quarantine_get_view(quarantine->records, key, &view) &&
		    (view.is_part || is_blocked(quarantine, &view)))
			options->blocked(options->userdata, key);
	}
}

static struct quarantine_termination
termination_of(const struct lost_request *lost,
	       const struct quarantine_key *key)
{
	return (struct quarantine_termination){
		.key = key->digest,
		.incarnation = lost->incarnation,
		.round = key->round,
		.terminated_us = lost->lost_us,
		.run_us = MAX(lost->lost_us - lost->sent_us, 0),
		.is_part = key->is_part,
		.had_begun = lost->had_begun,
		.organisations = { lost->keys.organisation },
	};
}

/* A run of a round from which on the key was a suspect can only have been a
 * trial. */
static bool was_trial(const struct quarantine_key *key)
{
	return key->round > (key->is_part ? QUARANTINE_SUSPECT_PART_ROUNDS : 1);
}

static void end_trials(struct direct_quarantine *quarantine,
		       const struct lost_request *lost)
{
	notify_if_blocked(quarantine, &lost->keys);
	for (uint32_t i = 0; i < lost->keys.count; i++) {
		const struct quarantine_key *key = &lost->keys.items[i];

		if (was_trial(key))
			end_running_trial(quarantine, key->digest);
	}
}

void direct_quarantine_add_terminations(struct direct_quarantine *quarantine,
					const struct lost_request *lost,
					guint count)
{
	g_autoptr(GArray) reports = create_reports();

	for (guint i = 0; i < count; i++)
		for (uint32_t j = 0; j < lost[i].keys.count; j++) {
			const struct quarantine_termination termination =
				termination_of(&lost[i],
					       &lost[i].keys.items[j]);

			if (record_termination(quarantine, &termination, 0))
				add_termination_reports(&termination, reports);
		}
	broadcast(quarantine, reports);
	for (guint i = 0; i < count; i++)
		end_trials(quarantine, &lost[i]);
}

/* ---- receiving reports ---- */

static void apply_report(struct direct_quarantine *quarantine, uint64_t peer,
			 const struct report *report, int64_t time_us)
{
	int64_t now_us = now(quarantine);
	const struct quarantine_termination termination = {
		.key = report->key,
		.incarnation = report->incarnation,
		.round = MIN(report->round, ROUND_MAX),
		.terminated_us = now_us - time_us,
		.run_us = CLAMP(report->run_us, 0, AGE_MAX_US),
		.is_part = report->is_part,
		.had_begun = report->had_begun,
		.organisations = { report->organisation },
	};

	switch (report->kind) {
	case REPORT_TERMINATION:
		record_termination(quarantine, &termination, peer);
		break;
	case REPORT_CLEARED:
		record_cleared(quarantine, report->key,
			       termination.terminated_us, peer);
		break;
	case REPORT_BEGUN:
		record_begun(quarantine, report->key, termination.terminated_us,
			     peer);
		break;
	case REPORT_TRIAL:
		quarantine_set_trial(quarantine->records, report->key,
				     now_us + time_us);
		break;
	default: /* from an entry of a newer version */
		break;
	}
}

static void on_reports(void *userdata, uint64_t peer, GVariant *body)
{
	struct direct_quarantine *quarantine = userdata;
	struct report report = { 0 };
	GVariantIter iter;
	guint64 key;
	guint64 incarnation;
	guint64 organisation;
	gint64 time_us;
	gint64 run_us;

	g_variant_iter_init(&iter, body);
	while (g_variant_iter_next(&iter, "(tttuxxybb)", &key, &incarnation,
				   &organisation, &report.round, &time_us,
				   &run_us, &report.kind, &report.is_part,
				   &report.had_begun)) {
		report.key = key;
		report.incarnation = incarnation;
		report.organisation = organisation;
		report.run_us = run_us;
		apply_report(quarantine, peer, &report,
			     CLAMP(time_us, 0, AGE_MAX_US));
	}
}

/* ---- keys of a request ---- */

void direct_quarantine_set_part_key(struct direct_quarantine *quarantine,
				    const char *api_key)
{
	char **keys = quarantine->part_keys;

	if (!g_strcmp0(keys[0], api_key))
		return;
	g_free(keys[PART_KEYS_MAX - 1]);
	memmove(&keys[1], &keys[0], (PART_KEYS_MAX - 1) * sizeof(keys[0]));
	keys[0] = g_strdup(api_key);
}

/* The digest of a part: under the newest key, unless it has a record with more
 * rounds under one of the keys before. */
static uint64_t part_digest(const struct direct_quarantine *quarantine,
			    const struct pool_prefix_block *block)
{
	const struct lp_digest_part part = { (const char *)&block->id,
					     sizeof(block->id) };
	uint64_t best = 0;
	uint32_t best_round = 0;

	for (guint i = 0; i < PART_KEYS_MAX && quarantine->part_keys[i]; i++) {
		uint64_t digest =
			lp_digest_keyed(quarantine->part_keys[i], &part, 1);
		uint32_t round = quarantine_round(quarantine->records, digest);

		if (round > best_round) {
			best = digest;
			best_round = round;
		}
	}
	return best;
}

/* The last part belongs to its request alone. */
static void add_part_keys(const struct direct_quarantine *quarantine,
			  const GArray *blocks, struct quarantine_keys *keys)
{
	for (guint i = 0; i + 1 < MIN(blocks->len, QUARANTINE_KEYS_MAX); i++)
		quarantine_keys_add(
			keys,
			part_digest(quarantine,
				    &g_array_index(blocks,
						   struct pool_prefix_block,
						   i)),
			true);
}

const struct quarantine_keys *
direct_quarantine_keys(const struct direct_quarantine *quarantine,
		       struct direct_request *request)
{
	struct quarantine_keys *keys = &request->quarantine_keys;
	const GArray *blocks = request->info.prefix_blocks;

	if (keys->count)
		return keys;
	quarantine_keys_add(keys, direct_request_digest(request), false);
	if (request->route->kind == DIRECT_STREAM)
		add_part_keys(quarantine, blocks, keys);
	keys->organisation = lp_hash_str(
		request->organisation ? request->organisation->name : "");
	return keys;
}

uint32_t direct_quarantine_round(const struct direct_quarantine *quarantine,
				 struct direct_request *request)
{
	if (quarantine_is_empty(quarantine->records))
		return 1;
	return quarantine_round(quarantine->records,
				direct_request_digest(request));
}

void direct_quarantine_note_rounds(const struct direct_quarantine *quarantine,
				   struct direct_request *request)
{
	struct quarantine_keys *keys = &request->quarantine_keys;

	if (!quarantine_is_empty(quarantine->records))
		direct_quarantine_keys(quarantine, request);
	for (uint32_t i = 0; i < keys->count; i++)
		keys->items[i].round = quarantine_round(quarantine->records,
							keys->items[i].digest);
}

/* ---- requests ---- */

static void log_refused(struct direct_quarantine *quarantine,
			struct direct_request *request, uint64_t refused_by,
			int64_t wait_us)
{
	struct lp_event_log *log = quarantine->direct->options.log;

	*direct_counter(quarantine->direct, "linepier_quarantine_total",
			"outcome=\"refused\"") += 1;
	if (!lp_event_begin(log, "quarantine", request->id))
		return;
	lp_event_digest(log, "content", refused_by);
	lp_event_text(log, "key",
		      refused_by == direct_request_digest(request) ? "request"
								   : "part");
	lp_event_text(log, "outcome", "refused");
	lp_event_int(log, "wait_us", wait_us);
	lp_event_end(log);
}

static void begin_trials(struct direct_quarantine *quarantine,
			 struct direct_request *request, uint32_t trials)
{
	const struct quarantine_keys *keys = &request->quarantine_keys;

	request->trials = trials;
	request->was_trial = true;
	for (uint32_t i = 0; i < keys->count; i++) {
		if (!(trials & (1U << i)))
			continue;
		log_outcome(quarantine, keys->items[i].digest, "tried", 0);
		share_trial(quarantine, keys->items[i].digest,
			    request->deadline_us);
	}
}

bool direct_quarantine_admit(struct direct_quarantine *quarantine,
			     struct direct_request *request, int64_t *wait_us)
{
	struct quarantine_admission admission = {
		.decision = QUARANTINE_REFUSE,
		.wait_us = DETECTION_US,
	};

	if (request->trials || quarantine_is_empty(quarantine->records))
		return true;
	if (request->was_trial)
		admission.refused_by = direct_request_digest(request);
	else
		admission = quarantine_admit(
			quarantine->records,
			direct_quarantine_keys(quarantine, request),
			request->deadline_us);
	if (admission.decision == QUARANTINE_TRIAL)
		begin_trials(quarantine, request, admission.trials);
	if (admission.decision != QUARANTINE_REFUSE)
		return true;
	*wait_us = admission.wait_us;
	log_refused(quarantine, request, admission.refused_by, *wait_us);
	return false;
}

/* Ends the trials that a request is, of the keys in `mask`. */
static void end_own_trials(struct direct_quarantine *quarantine,
			   struct direct_request *request, uint32_t mask,
			   int64_t until_us)
{
	const struct quarantine_keys *keys = &request->quarantine_keys;
	uint32_t ended = request->trials & mask;

	request->trials &= ~mask;
	for (uint32_t i = 0; i < keys->count; i++)
		if (ended & (1U << i))
			share_trial(quarantine, keys->items[i].digest,
				    until_us);
}

/* The key's record if it has terminations. */
static bool find_terminations(const struct direct_quarantine *quarantine,
			      const struct quarantine_key *key,
			      struct quarantine_view *out)
{
	return quarantine_get_view(quarantine->records, key->digest, out) &&
	       out->terminations_count;
}

static bool has_unbegun(const struct quarantine_view *view)
{
	for (uint32_t i = 0; i < view->terminations_count; i++)
		if (!view->terminations[i].had_begun)
			return true;
	return false;
}

void direct_quarantine_request_begun(struct direct_quarantine *quarantine,
				     struct direct_request *request)
{
	const struct quarantine_keys *keys;
	int64_t now_us = now(quarantine);

	if (quarantine_is_empty(quarantine->records))
		return;
	keys = direct_quarantine_keys(quarantine, request);
	for (uint32_t i = 0; i < keys->count; i++) {
		const struct quarantine_key *key = &keys->items[i];
		struct quarantine_view view;

		if (!key->is_part ||
		    !find_terminations(quarantine, key, &view) ||
		    !has_unbegun(&view))
			continue;
		record_begun(quarantine, key->digest, now_us, 0);
		broadcast_one(quarantine,
			      time_report(REPORT_BEGUN, key->digest, now_us));
		if (quarantine_get_view(quarantine->records, key->digest,
					&view) &&
		    !view.is_suspect)
			end_own_trials(quarantine, request, 1U << i, now_us);
	}
}

void direct_quarantine_request_served(struct direct_quarantine *quarantine,
				      struct direct_request *request,
				      bool is_success)
{
	const struct quarantine_keys *keys;

	if (quarantine_is_empty(quarantine->records))
		return;
	keys = direct_quarantine_keys(quarantine, request);
	for (uint32_t i = 0; i < keys->count; i++) {
		const struct quarantine_key *key = &keys->items[i];
		struct quarantine_view view;

		if ((is_success || !key->is_part) &&
		    find_terminations(quarantine, key, &view))
			clear_everywhere(quarantine, key->digest);
	}
	end_own_trials(quarantine, request, UINT32_MAX, now(quarantine));
}

/* The longest run up to a termination of the keys that a request is tried for.
 */
static int64_t longest_run_us(const struct direct_quarantine *quarantine,
			      const struct direct_request *request)
{
	const struct quarantine_keys *keys = &request->quarantine_keys;
	int64_t longest_us = 0;

	for (uint32_t i = 0; i < keys->count; i++) {
		struct quarantine_view view;

		if (request->trials & (1U << i) &&
		    find_terminations(quarantine, &keys->items[i], &view))
			longest_us = MAX(longest_us, view.longest_run_us);
	}
	return longest_us;
}

void direct_quarantine_request_progressed(struct direct_quarantine *quarantine,
					  struct direct_request *request)
{
	int64_t run_us = now(quarantine) - request->sent_us;

	if (request->trials &&
	    run_us > OUTLIVES_FACTOR * longest_run_us(quarantine, request) +
			     OUTLIVES_MARGIN_US)
		direct_quarantine_request_served(quarantine, request, true);
}

void direct_quarantine_request_lost(struct direct_quarantine *quarantine,
				    struct direct_request *request)
{
	end_own_trials(quarantine, request, UINT32_MAX,
		       now(quarantine) + DETECTION_US);
}

void direct_quarantine_request_ended(struct direct_quarantine *quarantine,
				     struct direct_request *request)
{
	end_own_trials(quarantine, request, UINT32_MAX, now(quarantine));
}

/* ---- stored records ---- */

bool direct_quarantine_get_view(const struct direct_quarantine *quarantine,
				uint64_t key, struct quarantine_view *out)
{
	return quarantine_get_view(quarantine->records, key, out);
}

/* Members that are discovered later get this record with all others. */
void direct_quarantine_restore(struct direct_quarantine *quarantine,
			       const struct quarantine_termination *termination)
{
	g_autoptr(GArray) reports = create_reports();

	if (!record_termination(quarantine, termination, 0))
		return;
	add_termination_reports(termination, reports);
	broadcast(quarantine, reports);
}

/* ---- operators ---- */

void direct_quarantine_set_enabled(struct direct_quarantine *quarantine,
				   bool enabled)
{
	quarantine_set_enabled(quarantine->records, enabled);
}

static void add_digest(void *userdata, uint64_t key)
{
	g_array_append_val((GArray *)userdata, key);
}

void direct_quarantine_clear(struct direct_quarantine *quarantine, uint64_t key)
{
	g_autoptr(GArray) explained =
		g_array_new(FALSE, FALSE, sizeof(uint64_t));

	quarantine_foreach_explained(quarantine->records, key, add_digest,
				     explained);
	clear_everywhere(quarantine, key);
	for (guint i = 0; i < explained->len; i++)
		clear_everywhere(quarantine,
				 g_array_index(explained, uint64_t, i));
}

struct print_context {
	const struct direct_quarantine *quarantine;
	GString *out;
};

static void print_termination(const struct direct_quarantine *quarantine,
			      const struct quarantine_termination *termination,
			      GString *out)
{
	char incarnation[LP_DIGEST_SIZE];

	lp_digest_print(termination->incarnation, incarnation);
	g_string_append_printf(
		out,
		"{\"life\":\"%s\",\"round\":%u,"
		"\"age_us\":%" G_GINT64_FORMAT ",\"ran_us\":%" G_GINT64_FORMAT
		"}",
		incarnation, termination->round,
		(gint64)(now(quarantine) - termination->terminated_us),
		(gint64)termination->run_us);
}

static void print_key(void *userdata, const struct quarantine_view *view)
{
	const struct print_context *print_context = userdata;
	const struct direct_quarantine *quarantine = print_context->quarantine;
	char content[LP_DIGEST_SIZE];

	if (!view->terminations_count)
		return;
	lp_digest_print(view->key, content);
	g_string_append_printf(
		print_context->out,
		"{\"content\":\"%s\",\"key\":\"%s\",\"standing\":"
		"\"%s\",\"rounds\":%u,\"out_us\":%" G_GINT64_FORMAT
		",\"ends\":[",
		content, view->is_part ? "part" : "request",
		standing_name(quarantine, view), view->rounds,
		(gint64)MAX(view->blocked_until_us - now(quarantine), 0));
	for (uint32_t i = 0; i < view->terminations_count; i++) {
		if (i)
			g_string_append_c(print_context->out, ',');
		print_termination(quarantine, &view->terminations[i],
				  print_context->out);
	}
	g_string_append(print_context->out, "]}\n");
}

void direct_quarantine_print(const struct direct_quarantine *quarantine,
			     GString *out)
{
	struct print_context print_context = { quarantine, out };

	quarantine_foreach(quarantine->records, print_key, &print_context);
}

struct count_context {
	int64_t now_us;
	uint32_t blocked;
};

static void count_blocked(void *userdata, const struct quarantine_view *view)
{
	struct count_context *count_context = userdata;

	if (view->blocked_until_us > count_context->now_us &&
	    !view->is_explained)
		count_context->blocked++;
}

uint32_t
direct_quarantine_blocked_count(const struct direct_quarantine *quarantine)
{
	struct count_context count_context = { .now_us = now(quarantine) };

	quarantine_foreach(quarantine->records, count_blocked, &count_context);
	return count_context.blocked;
}

/* ---- creation ---- */

void direct_quarantine_set_peers(struct direct_quarantine *quarantine,
				 struct direct_peers *peers)
{
	quarantine->peers = peers;
	if (!peers)
		return;
	direct_peers_listen(peers, KIND_REPORTS, REPORTS_TYPE, on_reports,
			    quarantine);
	direct_peers_on_discovered(peers, on_discovered, quarantine);
}

struct direct_quarantine *direct_quarantine_create(struct direct *direct)
{
	struct direct_quarantine *quarantine =
		g_new0(struct direct_quarantine, 1);

	quarantine->direct = direct;
	quarantine->records = quarantine_create(direct->options.clock);
	quarantine->reports = create_reports();
	quarantine->refresh_timer =
		lp_timer_add(REFRESH_MS, on_refresh, quarantine);
	return quarantine;
}

void direct_quarantine_destroy(struct direct_quarantine *quarantine)
{
	direct_clear_timer(&quarantine->resend_timer);
	direct_clear_timer(&quarantine->refresh_timer);
	g_array_unref(quarantine->reports);
	for (guint i = 0; i < PART_KEYS_MAX; i++)
		g_free(quarantine->part_keys[i]);
	quarantine_destroy(quarantine->records);
	g_free(quarantine);
}
