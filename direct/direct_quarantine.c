#include "direct/direct_quarantine.h"

#include "base/lp_digest.h"
#include "base/lp_timer.h"
#include "direct/direct_request.h"

/* Reports about requests: kind, request, incarnation of the upstream, round,
 * a time in us that depends on the kind, and the length of the run in us. */
#define KIND_REPORTS 'W'
#define REPORTS_TYPE "a(yttuxx)"
#define REPORT_TERMINATION 'E' /* incarnation, round, age, run */
#define REPORT_CLEARED 'S'     /* age */
#define REPORT_TRIAL 'T'       /* longest time left to the trial; 0: ended */
/* About 4 KB. */
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
/* Bounds of received values: one round a minute for a week, and an age. */
#define ROUND_MAX 10000
#define AGE_MAX_US (INT64_C(24) * 3600 * LP_US_PER_S)

struct report {
	guint8 kind;
	uint64_t request;
	uint64_t incarnation;
	uint32_t round;
	int64_t at_us; /* time of the event, or latest end of the trial */
	int64_t run_us;
	uint32_t sends_left;
};

struct direct_quarantine {
	struct direct *direct;
	struct direct_peers *peers; /* NULL: reports are not sent */
	struct quarantine *records;
	GArray *reports; /* of struct report, to be sent again */
	guint resend_timer;
	guint refresh_timer;
	guint refreshed_members; /* so far */
};

static struct report
termination_report(const struct quarantine_termination *termination)
{
	return (struct report){
		.kind = REPORT_TERMINATION,
		.request = termination->request,
		.incarnation = termination->incarnation,
		.round = termination->round,
		.at_us = termination->terminated_us,
		.run_us = termination->run_us,
	};
}

/* A REPORT_CLEARED or REPORT_TRIAL. */
static struct report time_report(guint8 kind, uint64_t request, int64_t at_us)
{
	return (struct report){
		.kind = kind,
		.request = request,
		.at_us = at_us,
	};
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

	g_variant_builder_add(
		builder, "(yttuxx)", report->kind, (guint64)report->request,
		(guint64)report->incarnation, (guint32)report->round,
		(gint64)MAX(time_us, 0), (gint64)report->run_us);
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

/* Drops queued reports of the same kind, request and incarnation. */
static void drop_superseded(GArray *reports, const struct report *report)
{
	for (guint i = reports->len; i-- > 0;) {
		const struct report *other =
			&g_array_index(reports, struct report, i);

		if (other->kind == report->kind &&
		    other->request == report->request &&
		    other->incarnation == report->incarnation)
			g_array_remove_index_fast(reports, i);
	}
}

static void broadcast(struct direct_quarantine *quarantine,
		      struct report report)
{
	if (!quarantine->peers)
		return;
	report.sends_left = SENDS - 1;
	drop_superseded(quarantine->reports, &report);
	send_reports(quarantine, 0, &report, 1);
	g_array_append_val(quarantine->reports, report);
	if (!quarantine->resend_timer)
		quarantine->resend_timer =
			lp_timer_add(RESEND_MS, on_resend, quarantine);
}

/* ---- sending records to one member ---- */

static void add_request_reports(void *userdata,
				const struct quarantine_view *view)
{
	GArray *reports = userdata;
	struct report report =
		time_report(REPORT_CLEARED, view->request, view->cleared_us);

	if (view->cleared_us)
		g_array_append_val(reports, report);
	for (uint32_t i = 0; i < view->terminations_count; i++) {
		report = termination_report(&view->terminations[i]);
		g_array_append_val(reports, report);
	}
}

static void add_suspect_reports(void *userdata,
				const struct quarantine_view *view)
{
	if (view->terminations_count >= QUARANTINE_SUSPECT_TERMINATIONS)
		add_request_reports(userdata, view);
}

static void on_discovered(void *userdata, uint64_t peer)
{
	struct direct_quarantine *quarantine = userdata;
	g_autoptr(GArray) reports =
		g_array_new(FALSE, FALSE, sizeof(struct report));

	quarantine_foreach(quarantine->records, add_request_reports, reports);
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
	g_autoptr(GArray) reports =
		g_array_new(FALSE, FALSE, sizeof(struct report));

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

static void log_outcome(struct direct_quarantine *quarantine, uint64_t request,
			const char *outcome, uint64_t peer)
{
	struct direct *direct = quarantine->direct;
	struct lp_event_log *log = direct->options.log;
	g_autofree char *label = g_strdup_printf("outcome=\"%s\"", outcome);
	struct quarantine_view view = { 0 };

	*direct_counter(direct, "linepier_quarantine_total", label) += 1;
	if (!lp_event_begin(log, "quarantine", NULL))
		return;
	quarantine_get_view(quarantine->records, request, &view);
	lp_event_digest(log, "content", request);
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
				 uint64_t request)
{
	struct quarantine_view view = { 0 };

	quarantine_get_view(quarantine->records, request, &view);
	if (view.blocked_until_us > now(quarantine))
		return "kept_out";
	return view.terminations_count >= QUARANTINE_SUSPECT_TERMINATIONS
		       ? "one_at_a_time"
		       : "noted";
}

/* `peer`: sender of the report; 0: this entry. Returns false if the termination
 * is known or was cleared. */
static bool record_termination(struct direct_quarantine *quarantine,
			       const struct quarantine_termination *termination,
			       uint64_t peer)
{
	if (!quarantine_add_termination(quarantine->records, termination))
		return false;
	log_outcome(quarantine, termination->request,
		    standing_name(quarantine, termination->request), peer);
	return true;
}

static void record_cleared(struct direct_quarantine *quarantine,
			   uint64_t request, int64_t cleared_us, uint64_t peer)
{
	if (quarantine_clear(quarantine->records, request, cleared_us))
		log_outcome(quarantine, request, "cleared", peer);
}

/* Sets the latest end of a trial here and at other entries; now: it is over. */
static void share_trial(struct direct_quarantine *quarantine, uint64_t request,
			int64_t until_us)
{
	quarantine_set_trial(quarantine->records, request, until_us);
	broadcast(quarantine, time_report(REPORT_TRIAL, request, until_us));
}

/* Ends the running trial, if any, as its outcome is known. */
static void end_running_trial(struct direct_quarantine *quarantine,
			      uint64_t request)
{
	int64_t now_us = now(quarantine);
	struct quarantine_view view;

	if (quarantine_get_view(quarantine->records, request, &view) &&
	    view.trial_until_us > now_us)
		share_trial(quarantine, request, now_us);
}

/* Clears all terminations up to now, here and at other entries. */
static void clear_everywhere(struct direct_quarantine *quarantine,
			     uint64_t request)
{
	int64_t now_us = now(quarantine);

	record_cleared(quarantine, request, now_us, 0);
	broadcast(quarantine, time_report(REPORT_CLEARED, request, now_us));
}

static void notify_if_blocked(struct direct_quarantine *quarantine,
			      uint64_t request)
{
	const struct direct_options *options = &quarantine->direct->options;
	struct quarantine_view view = { 0 };

	quarantine_get_view(quarantine->records, request, &view);
	if (view.blocked_until_us > now(quarantine) && options->blocked)
		options->blocked(options->userdata, request);
}

void direct_quarantine_add_terminations(struct direct_quarantine *quarantine,
					const struct lost_request *lost,
					guint count)
{
	for (guint i = 0; i < count; i++) {
		const struct quarantine_termination termination = {
			.request = lost[i].request_digest,
			.incarnation = lost[i].incarnation,
			.round = lost[i].round,
			.terminated_us = lost[i].lost_us,
			.run_us = MAX(lost[i].lost_us - lost[i].sent_us, 0),
		};

		if (record_termination(quarantine, &termination, 0))
			broadcast(quarantine, termination_report(&termination));
		notify_if_blocked(quarantine, termination.request);
		/* A run of a later round can only have been a trial. */
		if (termination.round > 1)
			end_running_trial(quarantine, termination.request);
	}
}

/* ---- receiving reports ---- */

static void apply_report(struct direct_quarantine *quarantine, uint64_t peer,
			 const struct report *report, int64_t time_us)
{
	int64_t now_us = now(quarantine);
	const struct quarantine_termination termination = {
		.request = report->request,
		.incarnation = report->incarnation,
		.round = MIN(report->round, ROUND_MAX),
		.terminated_us = now_us - time_us,
		.run_us = CLAMP(report->run_us, 0, AGE_MAX_US),
	};

	switch (report->kind) {
	case REPORT_TERMINATION:
		record_termination(quarantine, &termination, peer);
		break;
	case REPORT_CLEARED:
		record_cleared(quarantine, report->request,
			       termination.terminated_us, peer);
		break;
	case REPORT_TRIAL:
		quarantine_set_trial(quarantine->records, report->request,
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
	guint64 request;
	guint64 incarnation;
	gint64 time_us;
	gint64 run_us;

	g_variant_iter_init(&iter, body);
	while (g_variant_iter_next(&iter, "(yttuxx)", &report.kind, &request,
				   &incarnation, &report.round, &time_us,
				   &run_us)) {
		report.request = request;
		report.incarnation = incarnation;
		report.run_us = run_us;
		apply_report(quarantine, peer, &report,
			     CLAMP(time_us, 0, AGE_MAX_US));
	}
}

/* ---- requests ---- */

static void log_refused(struct direct_quarantine *quarantine,
			struct direct_request *request, int64_t wait_us)
{
	struct lp_event_log *log = quarantine->direct->options.log;

	*direct_counter(quarantine->direct, "linepier_quarantine_total",
			"outcome=\"refused\"") += 1;
	if (!lp_event_begin(log, "quarantine", request->id))
		return;
	lp_event_digest(log, "content", direct_request_digest(request));
	lp_event_text(log, "outcome", "refused");
	lp_event_int(log, "wait_us", wait_us);
	lp_event_end(log);
}

bool direct_quarantine_admit(struct direct_quarantine *quarantine,
			     struct direct_request *request, int64_t *wait_us)
{
	uint64_t digest;

	if (request->is_trial || quarantine_is_empty(quarantine->records))
		return true;
	digest = direct_request_digest(request);
	if (request->was_trial) {
		*wait_us = DETECTION_US;
		log_refused(quarantine, request, *wait_us);
		return false;
	}
	switch (quarantine_admit(quarantine->records, digest,
				 request->deadline_us, wait_us)) {
	case QUARANTINE_PASS:
		return true;
	case QUARANTINE_TRIAL:
		request->is_trial = true;
		request->was_trial = true;
		log_outcome(quarantine, digest, "tried", 0);
		share_trial(quarantine, digest, request->deadline_us);
		return true;
	case QUARANTINE_REFUSE:
		break;
	}
	log_refused(quarantine, request, *wait_us);
	return false;
}

uint32_t direct_quarantine_round(const struct direct_quarantine *quarantine,
				 struct direct_request *request)
{
	if (quarantine_is_empty(quarantine->records))
		return 1;
	return quarantine_round(quarantine->records,
				direct_request_digest(request));
}

void direct_quarantine_request_served(struct direct_quarantine *quarantine,
				      struct direct_request *request)
{
	struct quarantine_view view;
	uint64_t digest;

	if (quarantine_is_empty(quarantine->records))
		return;
	digest = direct_request_digest(request);
	request->is_trial = false;
	if (!quarantine_get_view(quarantine->records, digest, &view) ||
	    !view.terminations_count)
		return;
	clear_everywhere(quarantine, digest);
	share_trial(quarantine, digest, now(quarantine));
}

void direct_quarantine_request_progressed(struct direct_quarantine *quarantine,
					  struct direct_request *request)
{
	struct quarantine_view view;
	int64_t run_us = now(quarantine) - request->sent_us;

	if (!request->is_trial ||
	    !quarantine_get_view(quarantine->records,
				 direct_request_digest(request), &view))
		return;
	if (run_us > OUTLIVES_FACTOR * view.longest_run_us + OUTLIVES_MARGIN_US)
		direct_quarantine_request_served(quarantine, request);
}

static void end_own_trial(struct direct_quarantine *quarantine,
			  struct direct_request *request, int64_t until_us)
{
	if (!request->is_trial)
		return;
	request->is_trial = false;
	share_trial(quarantine, direct_request_digest(request), until_us);
}

void direct_quarantine_request_lost(struct direct_quarantine *quarantine,
				    struct direct_request *request)
{
	end_own_trial(quarantine, request, now(quarantine) + DETECTION_US);
}

void direct_quarantine_request_ended(struct direct_quarantine *quarantine,
				     struct direct_request *request)
{
	end_own_trial(quarantine, request, now(quarantine));
}

/* ---- stored records ---- */

bool direct_quarantine_get_view(const struct direct_quarantine *quarantine,
				uint64_t request, struct quarantine_view *out)
{
	return quarantine_get_view(quarantine->records, request, out);
}

/* Members that are discovered later get this record with all others. */
void direct_quarantine_restore(struct direct_quarantine *quarantine,
			       const struct quarantine_termination *termination)
{
	if (record_termination(quarantine, termination, 0))
		broadcast(quarantine, termination_report(termination));
}

/* ---- operators ---- */

void direct_quarantine_set_enabled(struct direct_quarantine *quarantine,
				   bool enabled)
{
	quarantine_set_enabled(quarantine->records, enabled);
}

void direct_quarantine_clear(struct direct_quarantine *quarantine,
			     uint64_t request)
{
	clear_everywhere(quarantine, request);
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

static void print_request(void *userdata, const struct quarantine_view *view)
{
	const struct print_context *print_context = userdata;
	const struct direct_quarantine *quarantine = print_context->quarantine;
	char content[LP_DIGEST_SIZE];

	if (!view->terminations_count)
		return;
	lp_digest_print(view->request, content);
	g_string_append_printf(
		print_context->out,
		"{\"content\":\"%s\",\"standing\":"
		"\"%s\",\"rounds\":%u,\"out_us\":%" G_GINT64_FORMAT
		",\"ends\":[",
		content, standing_name(quarantine, view->request), view->rounds,
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

	quarantine_foreach(quarantine->records, print_request, &print_context);
}

struct count_context {
	int64_t now_us;
	uint32_t blocked;
};

static void count_blocked(void *userdata, const struct quarantine_view *view)
{
	struct count_context *count_context = userdata;

	if (view->blocked_until_us > count_context->now_us)
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
	quarantine->reports = g_array_new(FALSE, FALSE, sizeof(struct report));
	quarantine->refresh_timer =
		lp_timer_add(REFRESH_MS, on_refresh, quarantine);
	return quarantine;
}

void direct_quarantine_destroy(struct direct_quarantine *quarantine)
{
	direct_clear_timer(&quarantine->resend_timer);
	direct_clear_timer(&quarantine->refresh_timer);
	g_array_unref(quarantine->reports);
	quarantine_destroy(quarantine->records);
	g_free(quarantine);
}
