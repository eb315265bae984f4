/** Declarations shared by the files of the soak itself. */
#ifndef SOAK_PRIVATE_H
#define SOAK_PRIVATE_H

#include "base/lp_clock.h"
#include "tools/pe.h"
#include "tools/soak_balancer.h"
#include "tools/soak_config.h"
#include "tools/soak_cut.h"
#include "tools/soak_endless.h"
#include "tools/soak_evacuation.h"
#include "tools/soak_notices.h"
#include "tools/soak_pauses.h"
#include "tools/soak_poison.h"
#include "tools/soak_release.h"
#include "tools/soak_restore.h"
#include "tools/soak_slow.h"
#include "tools/soak_suspend.h"
#include "tools/soak_writer.h"

#include <gio/gio.h>

#define ENTRIES 2
/* With --cut; takes the ports of two seeds. */
#define ENTRIES_CUT 3
#define GRACE_US (5 * LP_US_PER_S)

struct soak_settings {
	char *daemon;
	int64_t seed;
	int64_t requests;
	int64_t faults;
	int64_t poison;
	int64_t suspend;
	int64_t evacuate;
	int64_t notices;
	int64_t balancer;
	int64_t cut;
	int64_t release;
	int64_t slow;
	int64_t endless;
	int64_t pauses;
	int64_t restores;
	char *env;
	char *logs;
};

/* A time in which an entry stood still, or none ran. */
struct pause {
	int64_t from_us;
	int64_t to_us;
};

struct entry {
	uint32_t number;
	char *settings;
	char *callers;
	char *ready;
	GPid pid;
	bool paused;
	bool leaving;	 /* got SIGTERM, ... */
	int64_t term_us; /* ... at this time */
	uint32_t stops;	 /* how often it was stopped or started */
	/* of the last time that it stood still */
	int64_t stopped_us;
	int64_t resumed_us; /* or was started */
	GArray *pauses;	    /* of struct pause, all that are over */
};

struct soak {
	struct soak_settings settings;
	struct pe *platform;
	struct soak_config *config;
	struct soak_writer *writer;
	struct soak_poison *poison;	    /* NULL: none */
	struct soak_suspend *suspend;	    /* NULL: likewise */
	struct soak_evacuation *evacuation; /* NULL: likewise */
	struct soak_notices *notices;	    /* NULL: likewise */
	struct soak_balancer *balancer;	    /* NULL: likewise */
	struct soak_cut *cut;		    /* NULL: likewise */
	struct soak_release *release;	    /* NULL: likewise */
	struct soak_slow *slow;		    /* NULL: likewise */
	struct soak_endless *endless;	    /* NULL: likewise */
	struct soak_pauses *pauses;	    /* NULL: likewise */
	struct soak_restore *restore;	    /* NULL: likewise */
	GPtrArray *upstreams;
	struct entry entries[ENTRIES_CUT];
	uint32_t count;				/* of entries */
	const char *addresses[ENTRIES_CUT + 1]; /* of entries, for callers */
	const char *ready[ENTRIES_CUT];		/* and for the balancer */
	char *folder;
	GRand *random;
	GMainLoop *loop;
	uint32_t asked;
	uint32_t open;
	uint32_t answered;
	uint32_t refused;
	uint32_t failed;
	uint32_t faults;
	uint32_t breaches;
};

/* ---- soak_main.c ---- */

/** A promise is broken; `id`: of the request or the part. */
void soak_breach(struct soak *soak, const char *id, const char *what);

/* ---- soak_callers.c ---- */

/** Sends a request, until there were enough; `userdata`: the soak. */
gboolean soak_callers_on_timer(gpointer userdata);

#endif
