/**
 * The measurements: one function a name. Each prints a table, then one last
 * line "NAME key=value ...". Policies stand beside their naive twins in the
 * same run. docs/MEASUREMENTS.md keeps what they showed.
 */
#ifndef BENCH_H
#define BENCH_H

#include "base/lp_clock.h"
#include "tools/fleet.h"
#include "tools/load.h"

struct bench_settings {
	char *build;
	char *logs;
	char *deployment; /**< "kwaebibirem" or "brennan" */
	int64_t seeds;	  /**< runs per point; the median is reported */
	int64_t requests; /**< of bench faults */
	char *plot;	  /**< surge: SVG to write; empty: none */
	int64_t report_only;
};

int bench_hop(const struct bench_settings *settings);
int bench_overload(const struct bench_settings *settings);
int bench_slow(const struct bench_settings *settings);
int bench_affinity(const struct bench_settings *settings);
int bench_fair(const struct bench_settings *settings);
int bench_faults(const struct bench_settings *settings);
int bench_claims(const struct bench_settings *settings);
int bench_decide(const struct bench_settings *settings);
int bench_config(const struct bench_settings *settings);
int bench_slopes(const struct bench_settings *settings);
int bench_surge(const struct bench_settings *settings);

/* ---- shared: bench_common.c ---- */

/** A fleet of the deployment with its configuration in force. */
struct bench_fleet {
	struct fleet *fleet;
	struct cfg_doc *doc;
	char **entries;
};

struct bench_fleet_options {
	const char *fleet_file;	 /**< NULL: the deployment's */
	const char *config_file; /**< NULL: the deployment's */
	uint32_t entries;
	uint32_t scale_percent;
	bool proxied;
	bool naive;
	const char *const *flags;
};

/** Start it and wait until it is ready. Exits with a line on failure. */
struct bench_fleet *
bench_fleet_create(const struct bench_settings *settings,
		   const struct bench_fleet_options *options);
void bench_fleet_destroy(struct bench_fleet *fleet);
/** Run a load and add what the stand-ins executed. */
struct load_report bench_load(struct bench_fleet *fleet,
			      const struct load_options *options);
/** Add the executions of every service to a load. */
void bench_add_executions(struct bench_fleet *fleet, struct load *load);
/** "{...}" from a stand-in: a number in it; 0 if it is not there. */
int64_t bench_standin_number(struct bench_fleet *fleet, const char *service,
			     const char *name);
/** Tell the stand-in of one upstream. */
void bench_standin_control(struct bench_fleet *fleet, const char *host,
			   const char *json);
int64_t bench_kv_number(struct bench_fleet *fleet, const char *name);

double bench_median(double *values, uint32_t count);

/** A straight line through points, with its largest relative residual. */
struct bench_line {
	double base;
	double slope;
	double residual_percent;
};
struct bench_line bench_fit(const double *x, const double *y, uint32_t count);

#endif
