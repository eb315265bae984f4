/** What the files of the emulator share. */
#ifndef PE_PRIVATE_H
#define PE_PRIVATE_H

#include "base/lp_clock.h"
#include "http/http_parse.h"
#include "http/http_sock.h"
#include "tools/pe.h"

#include <json-glib/json-glib.h>

/** A connection to one of the emulator's addresses; one request at a time. */
struct pe_conn {
	struct pe_listener *listener;
	struct http_sock *sock; /**< NULL: it has ended */
	struct http_parse parse;
	GString *body;
	guint timer; /**< of an answer to come */
	guint pause; /**< timer: it reads on; 0: it reads */
	guint flood; /**< timer: the next bytes of an endless answer */
	bool has_paused;
	bool silent;  /**< whatever goes over it is lost from now on */
	char *poison; /**< what crashes whoever runs its request, or NULL */
	uint32_t refs;
};

/** One address, with whoever serves it. */
struct pe_listener {
	GSocket *socket;
	GSource *source;
	char *address;
	GPtrArray *conns; /**< of struct pe_conn that stand */
	/** A whole request; answered here or later. */
	void (*request)(void *userdata, struct pe_conn *conn);
	struct pe_pace pace;
	/** Its client has left before the answer; may be NULL. */
	void (*left)(void *userdata, struct pe_conn *conn);
	void *userdata;
};

/** A limit that an upstream names, and what came of it. */
struct pe_limit {
	bool named;
	double per_s;
	int64_t named_us;
	GArray *arrivals; /**< of int64_t: since it holds, of the last span */
	bool broken;	  /**< written down already */
};

struct pe_upstream {
	struct pe *pe;
	struct pe_listener *listener;
	enum pe_kind kind;
	enum pe_fault fault;
	enum pe_endless endless;
	struct pe_stream_end stream_end;
	struct pe_pauses pauses;
	char *id;	 /**< as the key-value service names it */
	char *other_id;	 /**< of a process that took the address; or NULL */
	int64_t born_ms; /**< wall clock, as it says it */
	bool draining;
	uint32_t cold_ms; /**< as its entry says */
	struct pe_limit limit;
	uint32_t
		rest_ms; /**< that it asks of all it turns away; 0: it serves */
	int64_t turned_away_us; /**< the first of them; 0: none yet */
	uint32_t rest_arrivals; /**< in the rest that it asked of that one */
	bool says_leaving;
	int64_t told_leaving_us; /**< first answer that says so; 0: none yet */
	uint32_t late_arrivals;	 /**< later than may be, after it */
	char *service;
	char *domain;
	char *version; /**< of its software */
	uint32_t work_ms;
	struct pe_stage_cost cost; /**< all zero: work_ms counts */
	int64_t busy_until_us;	   /**< end of the last call, by cost */
	uint32_t arrivals;
	uint32_t calls;		   /* of pieces */
	uint32_t at_work;	   /**< calls of pieces */
	guint away;		   /**< timer: it is back; 0: it is there */
	guint telling;		   /**< timer: its entry is removed */
	struct pe_end_options end; /**< how it has ended */
	GHashTable *results;	   /**< handle -> struct pe_result */
	GHashTable *memory;	   /**< an engine: part id -> tokens, texts */
};

/** A result that is kept. */
struct pe_result {
	char *request;
	uint32_t stage;
	uint32_t piece;
	int64_t made_us;
};

struct pe {
	struct pe_listener *store;
	struct pe_link *link; /**< what the store's answers go over */
	enum pe_store_fault store_fault;
	int64_t era; /**< rises when it goes back to a copy */
	int64_t revision;
	int64_t copied_revision;
	GHashTable *copied_items;    /**< as items; NULL: no copy was taken */
	GHashTable *items;	     /**< key -> struct pe_item */
	GPtrArray *watches;	     /**< of struct pe_conn that wait */
	GPtrArray *upstreams;	     /**< of struct pe_upstream */
	GHashTable *runs;	     /**< request id -> count */
	GHashTable *stream_versions; /**< id of a caller's attempt -> version of
					its first event */
	uint32_t mixed_streams;
	GPtrArray *breaches;
	uint32_t made;
	uint32_t serial;
	bool no_start; /**< upstreams do not say when they started */
	struct pe_poison_options poison;
	GHashTable *accounts; /**< content -> what came of it */
};

struct pe_item {
	GBytes *value; /**< NULL: it was removed at the revision */
	int64_t revision;
};

/* ---- pe_memory.c ---- */

/** An engine takes a request: it reads its prompt, or copies it. */
void pe_memory_take(struct pe_upstream *upstream, struct pe_conn *conn);
/** Returns whether it is a question about its memory, answered now. */
bool pe_memory_request(struct pe_upstream *upstream, struct pe_conn *conn);

/* ---- pe_endless.c ---- */

/** Begin an answer that does not end. `fields`: of its head. */
void pe_endless_begin(struct pe_upstream *upstream, struct pe_conn *conn,
		      const char *fields);

/* ---- pe_listener.c ---- */

struct pe_listener *
pe_listener_create(void (*request)(void *userdata, struct pe_conn *conn),
		   void (*left)(void *userdata, struct pe_conn *conn),
		   void *userdata);
void pe_listener_set_pace(struct pe_listener *listener,
			  const struct pe_pace *pace);
/** Refuse connections from now on; those that stand stay. */
void pe_listener_stop(struct pe_listener *listener);
/** Take connections at the same address again. */
void pe_listener_go_on(struct pe_listener *listener);
/** All connections are reset. */
void pe_listener_destroy(struct pe_listener *listener);
const char *pe_conn_field(const struct pe_conn *conn, const char *name);
/** Write an answer and end the connection. `extra`: header lines or "". */
void pe_conn_answer(struct pe_conn *conn, uint32_t status, const char *extra,
		    const char *body);
/** The same for an upstream, which speaks of itself in it. */
void pe_answer(struct pe_upstream *upstream, struct pe_conn *conn,
	       uint32_t status, const char *extra, const char *body);
void pe_conn_write(struct pe_conn *conn, const char *text);
/** It is answered: await the next request on the connection. */
void pe_conn_next(struct pe_conn *conn);
/** End the connection, in order or by a reset. */
void pe_conn_end(struct pe_conn *conn, bool reset);

/** Nothing comes or goes any more; its client learns nothing of it. */
void pe_conn_silence(struct pe_conn *conn);

/** An answer as it is written; g_free(). */
char *pe_answer_text(uint32_t status, const char *extra, const char *body);

/* ---- pe_link.c: answers at the rate of a link that they share ---- */

struct pe_link *pe_link_create(void);
void pe_link_destroy(struct pe_link *link);
/** 0: as fast as they are taken, as in the beginning. */
void pe_link_set_rate(struct pe_link *link, uint32_t bytes_per_s);
/** Each answer is sent that much later. */
void pe_link_set_delay(struct pe_link *link, uint32_t delay_ms);
/** Write an answer; the connection is kept. */
void pe_link_answer(struct pe_link *link, struct pe_conn *conn, uint32_t status,
		    const char *extra, const char *body);
/** The connection has ended. */
void pe_link_forget(struct pe_link *link, const struct pe_conn *conn);
/** Nothing more comes of what is under way; its connections stay open. */
void pe_link_stall(struct pe_link *link);

/* ---- pe_store.c ---- */

void pe_store_create(struct pe *pe);
/** Any bytes. */
void pe_store_put_bytes(struct pe *pe, const char *key, const void *bytes,
			size_t size);
void pe_store_put(struct pe *pe, const char *key, const char *value);
void pe_store_remove(struct pe *pe, const char *key);

/* ---- pe_stage.c ---- */

/** Serve a call of pieces or the giving up of results. */
void pe_stage_request(struct pe_upstream *upstream, struct pe_conn *conn);
/** Find a result by its handle, anywhere; or NULL. */
const struct pe_result *pe_find_result(const struct pe *pe, const char *handle);
void pe_result_free(gpointer result);

/** The key of a piece of this call that ends who begins it, or NULL; g_free().
 */
char *pe_stage_poison(const struct pe *pe, const struct pe_conn *conn);

/* ---- pe_versions.c ---- */

/** An engine writes an event of a stream: its first, or one that a version
 * other than that of the first event must not write. */
void pe_versions_event(struct pe_upstream *upstream, struct pe_conn *conn);

/* ---- pe_poison.c ---- */

bool pe_is_poison(const struct pe *pe, const char *content);
/** Such a request has reached an upstream, or ends one now. */
/** What of a request crashes an engine, as an account's name: a part of its
 * prompt; g_free(). NULL: nothing. */
char *pe_poison_part(const struct pe *pe, const struct pe_conn *conn);
/** Whether a request that may crash an engine does so, drawn anew each time. */
bool pe_poison_strikes(const struct pe *pe);
void pe_poison_arrived(struct pe *pe, const char *content);
void pe_poison_struck(struct pe *pe, const char *content);

/* ---- pe_notices.c ---- */

/** Header lines in which it speaks of itself; g_free(). */
char *pe_notice_fields(struct pe_upstream *upstream);
/** It turns all away: this one is answered so. */
bool pe_notices_turn_away(struct pe_upstream *upstream, struct pe_conn *conn);
/** A request or call has reached it, and is meant for it. */
void pe_notices_arrived(struct pe_upstream *upstream);
/** It starts anew, or ends. */
void pe_notices_clear(struct pe_upstream *upstream);

/* ---- pe.c ---- */

void pe_breach(struct pe *pe, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
