#include "tools/load_print.h"

#include "base/lp_error.h"

#include <stdio.h>

#define MS(us) ((double)(us) / 1000.0)

void load_print_costs(const struct load *load)
{
	const GPtrArray *costs = load_costs(load);

	printf("%-16s %-10s %8s %10s %10s %8s %6s\n", "pipeline", "stage",
	       "answers", "queue_ms", "run_ms", "tokens", "tries");
	for (guint i = 0; i < costs->len; i++) {
		const struct load_cost *cost = g_ptr_array_index(costs, i);
		double count = (double)MAX(1, cost->count);

		printf("%-16s %-10s %8" G_GUINT64_FORMAT
		       " %10.2f %10.2f %8.1f %6.2f\n",
		       cost->pipeline, cost->stage, cost->count,
		       MS((double)cost->queue_us / count),
		       MS((double)cost->run_us / count),
		       (double)cost->tokens / count,
		       (double)cost->attempts / count);
	}
}

void load_print_report(const struct load_report *report)
{
	for (int i = 1; i < LOAD_KINDS_MAX; i++)
		if (report->kinds[i])
			printf("refused %s: %u, such as %s\n",
			       lp_error_info(-i)->name, report->kinds[i],
			       report->examples[i] ? report->examples[i] : "-");
	printf("load sent=%u answered=%u in_time=%u refused=%u not_run=%u "
	       "lost=%u doubled=%u truncated=%u foreign=%u false_not_run=%u "
	       "unexecuted=%u attainment=%.4f useful_per_s=%.1f "
	       "accepted_in_time=%.4f p50_ms=%.1f p95_ms=%.1f p99_ms=%.1f "
	       "first_p95_ms=%.1f between_p95_ms=%.1f\n",
	       report->sent, report->answered, report->in_time, report->refused,
	       report->not_run, report->lost, report->doubled,
	       report->truncated, report->foreign, report->false_not_run,
	       report->unexecuted, report->attainment, report->useful_per_s,
	       report->in_time_of_accepted, MS(report->p50_us),
	       MS(report->p95_us), MS(report->p99_us), MS(report->first_p95_us),
	       MS(report->between_p95_us));
}

bool load_is_clean(const struct load_report *report)
{
	return !report->lost && !report->doubled && !report->truncated &&
	       !report->foreign && !report->false_not_run &&
	       !report->unexecuted;
}
