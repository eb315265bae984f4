/**
 * An open-loop load: requests leave on schedule whatever becomes of earlier
 * ones. Each carries a mark of its own, so that a lost, doubled, truncated
 * or foreign answer is seen, not assumed. Like the platform's balancer it asks
 * entries whether they are ready, and sends only to those that are.
 */
#ifndef LOAD_H
#define LOAD_H

#include "config/cfg.h"

#include <glib.h>

struct load;

#define LOAD_KINDS_MAX 40 /* error kinds counted */

/** Share of the load, by pipeline or organisation. */
struct load_share {
	const char *name;
	double weight;
};

struct load_options {
	const struct cfg_doc *doc;  /**< pipelines, organisations */
	const char *const *entries; /**< "IP:PORT", NULL-terminated */
	double rate_per_s;
	uint32_t requests; /**< how many in all */
	uint32_t seed;
	const struct load_share *pipelines; /**< NULL: all alike */
	uint32_t pipelines_count;
	const struct load_share *organisations; /**< NULL: by their weight */
	uint32_t organisations_count;
	uint32_t tokens;	 /**< of a generation; 0: 8 */
	uint32_t stream_percent; /**< of requests, as event streams */
	uint32_t key_percent;	 /**< with a key of the caller's making */
	uint32_t ticket_percent; /**< with a ticket from an entry */
	uint32_t retry_percent;	 /**< keyed requests sent again elsewhere */
	uint32_t subjects;	 /**< distinct prefixes; 0: 200 */
	int64_t deadline_us;	 /**< 0: the pipeline's */
	const char *only_from;	 /**< organisation; NULL: the shares */
	uint32_t probe_ms;	 /**< between looks at readiness; 0: 50 */
	bool direct; /**< against a stand-in itself: any 200 is an answer */
};

/** What a load saw. Times in microseconds. */
struct load_report {
	uint32_t sent;
	uint32_t answered; /**< whole and right */
	uint32_t in_time;  /**< answered within the deadline */
	uint32_t refused;
	uint32_t not_run; /**< refused, and said not to have run */
	uint32_t lost;	  /**< no HTTP answer came */
	uint32_t truncated;
	uint32_t foreign;	/**< somebody else's mark */
	uint32_t doubled;	/**< executions beyond the first of a key */
	uint32_t false_not_run; /**< said not_run, yet executed */
	uint32_t unexecuted;	/**< answered, yet never executed */
	uint32_t kinds[LOAD_KINDS_MAX];	      /**< by error number */
	const char *examples[LOAD_KINDS_MAX]; /**< a request id of each */
	const char *slowest; /**< request id of the slowest answer, or NULL */
	double attainment;   /**< in_time / sent */
	double useful_per_s; /**< in_time over the load's time */
	double in_time_of_accepted; /**< in_time / (sent - not run) */
	int64_t p50_us;
	int64_t p95_us;
	int64_t p99_us;
	int64_t first_p95_us;	/**< first token, streams only */
	int64_t between_p95_us; /**< between tokens, streams only */
};

/** Cost of one stage, summed over whole answers. */
struct load_cost {
	char *pipeline;
	char *stage;
	uint64_t count;
	uint64_t queue_us;
	uint64_t run_us;
	uint64_t tokens;
	uint64_t attempts;
};

struct load *load_create(const struct load_options *options);
void load_destroy(struct load *load);
/** Begin; `done` is called once when the last answer is in. */
void load_start(struct load *load, void (*done)(void *userdata),
		void *userdata);
/** Run to the end on the default main loop. */
void load_run(struct load *load);
uint32_t load_sent(const struct load *load);
/** Take in the keys that a stand-in ran ("COUNT KEY" lines). */
void load_add_executions(struct load *load, const char *lines);
void load_get_report(struct load *load, struct load_report *out);
/** Costs by pipeline and stage, struct load_cost *. Owned by the load. */
const GPtrArray *load_costs(const struct load *load);

#endif
