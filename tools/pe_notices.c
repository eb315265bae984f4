/** What the emulator's upstreams say of themselves, and whether entries keep to
 * it. */
#include "tools/pe_private.h"

/* Entries keep to a limit from this long after it was named first, ... */
#define LIMIT_HOLDS_US (3 * LP_US_PER_S)
/* ... in any such span, with this much beyond it. */
#define LIMIT_SPAN_US (4 * LP_US_PER_S)
#define LIMIT_EXCESS 1.5
#define LIMIT_SLACK 5

/* What is under way when an upstream asks for rest may still come. */
#define UNDER_WAY_US (500 * LP_US_PER_MS)
/* Once it has said that it leaves, entries have this long, by their settings.
 */
#define LEAVING_HOLDS_US (2 * LP_US_PER_S)

static int64_t now_us(void)
{
	return g_get_monotonic_time();
}

/* With these faults its answer is not read, or is nobody's. */
static bool is_heard(const struct pe_upstream *upstream)
{
	switch (upstream->fault) {
	case PE_FAULT_RESET:
	case PE_FAULT_SILENT:
	case PE_FAULT_GARBLED:
	case PE_FAULT_FOREIGN:
		return false;
	case PE_FAULT_ENDLESS: /* its head has an end, or not */
		return upstream->endless >= PE_ENDLESS_CHUNK_LINE;
	default:
		return true;
	}
}

char *pe_notice_fields(struct pe_upstream *upstream)
{
	GString *fields = g_string_new(NULL);
	char number[G_ASCII_DTOSTR_BUF_SIZE];

	/* Another process has the address: it says nothing of this one. */
	if (upstream->limit.named && !upstream->other_id) {
		g_ascii_formatd(number, sizeof(number), "%.3f",
				upstream->limit.per_s);
		g_string_append_printf(fields, "Server-Limit: %s\r\n", number);
	}
	if (upstream->says_leaving && !upstream->other_id) {
		g_string_append(fields, "Server-Leaving: 1\r\n");
		if (!upstream->told_leaving_us && is_heard(upstream))
			upstream->told_leaving_us = now_us();
	}
	return g_string_free(fields, FALSE);
}

void pe_say_leaving(struct pe_upstream *upstream)
{
	upstream->says_leaving = true;
	upstream->told_leaving_us = 0;
	upstream->late_arrivals = 0;
}

void pe_set_limit(struct pe_upstream *upstream, double per_s)
{
	struct pe_limit *limit = &upstream->limit;

	if (!limit->arrivals)
		limit->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_array_set_size(limit->arrivals, 0);
	limit->named = per_s >= 0;
	limit->per_s = MAX(per_s, 0);
	limit->named_us = now_us();
	limit->broken = false;
}

void pe_notices_clear(struct pe_upstream *upstream)
{
	if (upstream->limit.arrivals)
		g_array_unref(upstream->limit.arrivals);
	upstream->limit = (struct pe_limit){ 0 };
	upstream->says_leaving = false;
	upstream->rest_ms = 0;
}

/* Arrivals in the span that ends now; older ones are dropped. */
static uint32_t arrivals_in_span(struct pe_limit *limit)
{
	guint old = 0;

	while (old < limit->arrivals->len &&
	       g_array_index(limit->arrivals, int64_t, old) <=
		       now_us() - LIMIT_SPAN_US)
		old++;
	if (old)
		g_array_remove_range(limit->arrivals, 0, old);
	return limit->arrivals->len;
}

static void check_limit(struct pe_upstream *upstream)
{
	struct pe_limit *limit = &upstream->limit;
	const double span_s = (double)LIMIT_SPAN_US / LP_US_PER_S;
	int64_t at_us = now_us();
	uint32_t count;

	if (!limit->named || at_us < limit->named_us + LIMIT_HOLDS_US)
		return;
	g_array_append_val(limit->arrivals, at_us);
	count = arrivals_in_span(limit);
	if (limit->broken ||
	    count <= LIMIT_EXCESS * limit->per_s * span_s + LIMIT_SLACK)
		return;
	limit->broken = true;
	pe_breach(upstream->pe, "%s takes %.2f a second and got %u in %.0f s",
		  upstream->id, limit->per_s, count, span_s);
}

void pe_set_rest(struct pe_upstream *upstream, uint32_t rest_ms)
{
	upstream->rest_ms = rest_ms;
	upstream->turned_away_us = 0;
	upstream->rest_arrivals = 0;
}

uint32_t pe_rest_arrivals(const struct pe_upstream *upstream)
{
	return upstream->rest_arrivals;
}

static void note_rest(struct pe_upstream *upstream)
{
	int64_t since_us = now_us() - upstream->turned_away_us;

	if (upstream->turned_away_us && since_us >= UNDER_WAY_US &&
	    since_us < upstream->rest_ms * LP_US_PER_MS)
		upstream->rest_arrivals++;
}

bool pe_notices_turn_away(struct pe_upstream *upstream, struct pe_conn *conn)
{
	g_autofree char *fields = NULL;
	char number[G_ASCII_DTOSTR_BUF_SIZE];

	if (!upstream->rest_ms)
		return false;
	if (!upstream->turned_away_us)
		upstream->turned_away_us = now_us();
	g_ascii_formatd(number, sizeof(number), "%.3f",
			upstream->rest_ms / 1000.0);
	fields = g_strdup_printf("X-Not-Run: 1\r\nRetry-After: %s\r\n", number);
	pe_answer(upstream, conn, 503, fields, "");
	return true;
}

static void note_late(struct pe_upstream *upstream)
{
	if (upstream->says_leaving && upstream->told_leaving_us &&
	    is_heard(upstream) &&
	    now_us() >= upstream->told_leaving_us + LEAVING_HOLDS_US)
		upstream->late_arrivals++;
}

uint32_t pe_late_arrivals(const struct pe_upstream *upstream)
{
	return upstream->late_arrivals;
}

void pe_notices_arrived(struct pe_upstream *upstream)
{
	check_limit(upstream);
	note_late(upstream);
	note_rest(upstream);
}

static void excuse(gpointer data, gpointer userdata)
{
	struct pe_upstream *upstream = data;

	if (upstream->limit.named)
		pe_set_limit(upstream, upstream->limit.per_s);
	upstream->told_leaving_us = 0;
	upstream->turned_away_us = 0;
}

void pe_excuse_entry(struct pe *pe)
{
	g_ptr_array_foreach(pe->upstreams, excuse, NULL);
}
