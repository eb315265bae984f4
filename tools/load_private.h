/** What the files of the load share. Private to tools/. */
#ifndef LOAD_PRIVATE_H
#define LOAD_PRIVATE_H

#include "base/lp_clock.h"
#include "base/lp_error.h"
#include "base/lp_lines.h"
#include "tools/load.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 1
#define READY_MS 50 /* between looks at an entry's readiness */
#define READY_TIMEOUT_S 1
/* More would wait for each other: libsoup opens connections for half of what a
 * session holds, and the rest waits to share them. */
#define SESSION_REQUESTS 1
#define SESSION_CONNECTIONS 16 /* kept open, to all entries */
#define DEFAULT_TOKENS 8
#define DEFAULT_SUBJECTS 200
#define PATIENCE_US (5 * LP_US_PER_S) /* past the deadline: lost */
#define RETRY_AFTER_MS 30
#define RESENDS_MAX 8

/* A libsoup session, and how many requests it has open. */
struct session {
	SoupSession *soup;
	uint32_t open;
};

struct request {
	struct load *load;
	struct session *session;
	uint32_t number;
	const struct cfg_pipeline *pipeline;
	const struct cfg_organisation *organisation;
	char *mark;
	char *key;	/* NULL: none */
	char *id;	/* as the answer named it */
	char *streamed; /* text of the tokens so far */
	SoupMessage *msg;
	struct lp_lines *lines;
	GString *text; /* of a whole answer or a refusal so far */
	GCancellable *cancel;
	guint timer;
	guint retry_timer;
	int64_t due_us;
	int64_t last_token_us;
	int64_t took_us; /* until the whole answer */
	int64_t deadline_us;
	char *event; /* name of the event being read */
	bool stream;
	uint32_t resent;
	bool second; /* a second try of another request */
	bool whole;
	bool in_time;
	bool ended;
	int error; /* negative, of the problem document */
	enum lp_run run;
	bool has_problem;
};

/* The balancer's view of one entry. A question under way holds a reference: its
 * answer may come when the load is gone. */
struct target {
	const char *address;
	bool ready;
	bool asking;
};

struct load {
	struct load_options options;
	struct target **targets;
	uint32_t targets_count;
	SoupSession *probes;
	guint ready_timer;
	GRand *random;
	GPtrArray *sessions;
	GPtrArray *requests;
	GPtrArray *costs;
	GHashTable *executed; /* key to count */
	GArray *times;
	GArray *first_times;
	GArray *between_times;
	struct load_report report;
	int64_t started_us;
	int64_t ended_us;
	uint32_t sent;
	uint32_t open;
	guint timer;
	void (*done)(void *userdata);
	void *userdata;
};

/* ---- load.c ---- */

bool load_changes_things(const struct cfg_pipeline *pipeline);

/* ---- load_judge.c ---- */

void load_take_answer(struct request *request, const char *text);
void load_take_problem(struct request *request, const char *text);

#endif
