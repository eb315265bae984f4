/**
 * An emulator of the users' platform, for tests and demonstrations: its
 * key-value service, its upstreams (plain services, services that do stages'
 * pieces, model engines that stream), and the faults of each.
 *
 * It lives on the caller's main loop, on loopback. It keeps a book of what its
 * upstreams ran and writes down whatever should never have reached them.
 */
#ifndef PE_H
#define PE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct pe;
struct pe_upstream;

enum pe_kind {
	PE_PLAIN,  /**< answers after a while */
	PE_STAGE,  /**< one call of pieces at a time, keeps results */
	PE_ENGINE, /**< streams events; takes results in */
};

/** What an upstream does wrong. */
enum pe_fault {
	PE_FAULT_NONE,
	PE_FAULT_FULL,	    /**< refuses: not run */
	PE_FAULT_ERROR,	    /**< 500, run */
	PE_FAULT_RESET,	    /**< runs, then resets without an answer */
	PE_FAULT_SILENT,    /**< runs and never answers */
	PE_FAULT_GARBLED,   /**< runs; bytes that are no answer */
	PE_FAULT_FOREIGN,   /**< runs; the answer names another request */
	PE_FAULT_TRUNCATED, /**< runs; ends short of its length */
	PE_FAULT_EXTRA,	    /**< runs; a second answer follows */
	PE_FAULT_UNFRAMED,  /**< runs; the answer ends with the connection */
	PE_FAULT_CUT,	    /**< engine: ends within the third event */
	PE_FAULT_FORGET,    /**< stage: its results are gone at once */
	PE_FAULT_ENDLESS,   /**< runs; a part of the answer does not end */
};

/** The part of an answer that does not end. */
enum pe_endless {
	PE_ENDLESS_FIELD, /**< a header field */
	PE_ENDLESS_HEAD,  /**< one short header field after the other */
	PE_ENDLESS_INTERIM,
	PE_ENDLESS_CHUNK_LINE,
	PE_ENDLESS_TRAILERS,
	PE_ENDLESS_BODY,
	PE_ENDLESS_FOREIGN_BODY, /**< of an answer that names no request */
	PE_ENDLESS_EVENT,
	PE_ENDLESS_PARTS, /**< their number */
};

enum pe_store_fault {
	PE_STORE_FINE,
	PE_STORE_BUSY,	 /**< answers 503 */
	PE_STORE_SILENT, /**< answers nothing */
	/** Watches hear nothing of what is changed; reads are served. */
	PE_STORE_DEAF_WATCHES,
};

struct pe *pe_create(void);
void pe_destroy(struct pe *pe);

/** "IP:PORT" of the key-value service. */
const char *pe_store_address(const struct pe *pe);
void pe_store_fault(struct pe *pe, enum pe_store_fault fault);
/** The rate of the link that the service's answers share; 0: no bound. */
void pe_store_set_rate(struct pe *pe, uint32_t bytes_per_s);
/** How long the service takes for each answer; 0: it answers at once. */
void pe_store_set_delay(struct pe *pe, uint32_t delay_ms);
/** The connections that are open go silent for good, in the middle of an answer
 * too; new ones work. */
void pe_store_silence(struct pe *pe);
/** Keep a copy of what the service has now. */
void pe_store_take_copy(struct pe *pe);
/** The service goes back to its copy, and names the next era from now on. What
 * its upstreams have written since is not written again by itself: pe_tell().
 */
void pe_store_go_back(struct pe *pe);
/** Write the operators' configuration. */
void pe_set_config(struct pe *pe, const char *json);
/** The operators close a failure domain to new work, and open it again. */
void pe_evacuate(struct pe *pe, const char *domain);
void pe_take_back(struct pe *pe, const char *domain);
/** A configuration of this version with one route of each kind; g_free(). */
char *pe_sample_config(int64_t version);
/** The same with some routes more, 130 bytes each. */
char *pe_grown_config(int64_t version, uint32_t routes_more);
/** The same with long pauses, and timeouts of the caller's choice, for callers
 * that read slowly. */
char *pe_patient_config(int64_t version, uint32_t routes_more,
			uint32_t timeout_ms);

/** Start an upstream, with its entry in the key-value service. */
struct pe_upstream *pe_add(struct pe *pe, enum pe_kind kind,
			   const char *service, const char *domain);
void pe_fault(struct pe_upstream *upstream, enum pe_fault fault);
/** It has PE_FAULT_ENDLESS from now on; it sends on for as long as it is read.
 */
void pe_set_endless(struct pe_upstream *upstream, enum pe_endless part);
/** Set the version of its software, "v1" at first, and write its entry again.
 */
void pe_set_version(struct pe_upstream *upstream, const char *version);
/** How long a request or call takes. */
void pe_set_work_ms(struct pe_upstream *upstream, uint32_t work_ms);

/** What calls of pieces cost a stage upstream, and what its results occupy. */
struct pe_stage_cost {
	double call_ms;	 /**< fixed time of a call ... */
	double piece_ms; /**< ... and time of each piece in it */
	int64_t result_bytes;
	int64_t memory_bytes; /**< for results */
	int64_t kept_ms;      /**< results that nobody frees expire after it */
};

/** Calls run one after the other from now on and take this long, in place of
 * pe_set_work_ms(); pieces whose result finds no memory are not completed. */
void pe_set_stage_cost(struct pe_upstream *upstream,
		       const struct pe_stage_cost *cost);
/** Write that it is cold for so long yet; 0: it is not. */
void pe_set_cold(struct pe_upstream *upstream, uint32_t cold_ms);
/** Name a limit in its answers: requests a second that it takes of all entries;
 * negative: none any more. Entries that do not keep to it are a breach. */
void pe_set_limit(struct pe_upstream *upstream, double per_s);
/** Turn all away, not run, and ask whoever is turned away for this long a rest;
 * 0: serve again. */
void pe_set_rest(struct pe_upstream *upstream, uint32_t rest_ms);
/** What has reached it since, later than what was under way when it turned the
 * first away, until that one's rest was over. */
uint32_t pe_rest_arrivals(const struct pe_upstream *upstream);
/** An entry has started or stood still: it sends what has gathered before any
 * answer tells it what upstreams say of themselves. What is kept to counts anew
 * from now on. */
void pe_excuse_entry(struct pe *pe);
/** Say in its answers that it leaves, whatever its entry says; until it starts
 * anew. */
void pe_say_leaving(struct pe_upstream *upstream);
/** What has reached it later than entries may send there, since the first such
 * answer. */
uint32_t pe_late_arrivals(const struct pe_upstream *upstream);
/** Write that it is draining. */
void pe_drain(struct pe_upstream *upstream);
/** Its process is replaced by one of another id at the same address; the
 * key-value service still names the old one. */
void pe_replace(struct pe_upstream *upstream);
/** How an upstream starts again. */
struct pe_restart_options {
	bool silent;	 /**< its connections stay open, and nothing comes */
	bool untold;	 /**< the service still names the life before */
	int64_t back_ms; /**< its clock is set back by this */
};

/**
 * It ends at once and starts again under its id and address: what runs there
 * is lost, its results are gone, it was born later.
 */
void pe_restart(struct pe_upstream *upstream,
		const struct pe_restart_options *how);
/** Write its entry as it stands now. */
void pe_tell(struct pe_upstream *upstream);
/** Its entry as it would write it; g_free(). */
char *pe_entry(const struct pe_upstream *upstream);
/** Entries do not say a start, as before it was introduced. Before pe_add(). */
void pe_say_no_start(struct pe *pe);
/** Another writer's entry, any bytes; in place of what stands there. */
void pe_write(struct pe *pe, const char *id, const void *bytes, size_t size);
/** Another writer's item under any key. */
void pe_put(struct pe *pe, const char *key, const void *bytes, size_t size);
/** Another writer removes an entry. */
void pe_erase(struct pe *pe, const char *id);
/** How an upstream ends by itself. */
struct pe_end_options {
	int64_t away_ms; /**< nobody listens at its address for so long */
	int64_t told_ms; /**< its entry is removed after so long */
	bool new_id;	 /**< back under another id, else with a new start */
};

/** Its process ends now: connections are reset, results are gone, connections
 * are refused; it is back in time. While it is away only `new_id` counts. */
void pe_end(struct pe_upstream *upstream, const struct pe_end_options *how);

/** Requests that end whoever begins them. */
struct pe_poison_options {
	/** The body has this in it, or the key of a piece; NULL: none do. Must
	 * outlive the emulator. */
	const char *content;
	/** Ids of parts of a prompt, NULL-terminated; NULL: none. A part counts
	 * unless it is the prompt's last one. Must outlive the emulator. */
	const char *const *parts;
	uint32_t percent;     /**< of such requests crash; 0: all */
	uint32_t after_ms;    /**< of work */
	uint32_t after_event; /**< an engine: of its stream; 0: at once */
	struct pe_end_options end;
};

/** What came of the worst of these requests, in all its tries, or of the worst
 * of the parts. */
struct pe_poison_book {
	uint32_t ends;		 /**< upstreams that ended under it */
	uint32_t arrivals;	 /**< at upstreams */
	uint32_t arrivals_after; /**< once three, of a part five, had ended */
	uint32_t arrivals_late;	 /**< and three seconds after that */
};

void pe_poison(struct pe *pe, const struct pe_poison_options *how);
void pe_poison_seen(const struct pe *pe, struct pe_poison_book *worst);
/** How an engine's streams end. */
struct pe_stream_end {
	bool unframed;	 /**< with the connection: neither length nor chunks */
	bool early;	 /**< after `events` of them, in good order */
	uint32_t events; /**< 0: before the first */
	bool in_event;	 /**< a part of the next event comes as well */
	uint32_t id_digits; /**< of each event, zeros first */
};

void pe_set_stream_end(struct pe_upstream *upstream,
		       const struct pe_stream_end *how);
/** Pauses in which a sound engine sends nothing for its streams. */
struct pe_pauses {
	uint32_t pause_ms; /**< 0: none */
	uint32_t count;	   /**< in each stream */
	uint32_t events;   /**< before each pause */
};

/** For streams that begin from now on. */
void pe_set_pauses(struct pe_upstream *upstream,
		   const struct pe_pauses *pauses);
/** How much an upstream answers, and how it takes what is sent to it. */
struct pe_pace {
	uint32_t answer_bytes; /**< 'x' after a plain answer, or after the data
				  of each event */
	uint32_t pause_ms;     /**< after the first bytes of a request it reads
				  nothing for so long, with a small window */
	uint32_t cut_ms; /**< an answer that is not taken by then, after its end
			    was written, is cut off; 0: never */
};

/** For connections that are made from now on. */
void pe_set_pace(struct pe_upstream *upstream, const struct pe_pace *pace);
/** Remove its entry and stop it. Frees it. */
void pe_remove(struct pe_upstream *upstream);

/** Its failure domain; whether it does pieces of stages. */
const char *pe_domain(const struct pe_upstream *upstream);
bool pe_is_stage(const struct pe_upstream *upstream);
/** Its id, as the key-value service names it. */
const char *pe_name(const struct pe_upstream *upstream);
/** Requests and calls that reached an upstream. */
uint32_t pe_arrivals(const struct pe_upstream *upstream);
/** Calls of pieces that were begun there. */
uint32_t pe_calls(const struct pe_upstream *upstream);
/** Connections to it that stand. */
uint32_t pe_connections(const struct pe_upstream *upstream);
/** How often the request of this id ran, anywhere. */
uint32_t pe_runs(const struct pe *pe, const char *id);
/** Pieces made, given up, and kept at this moment, anywhere. */
uint32_t pe_pieces_made(const struct pe *pe);
uint32_t pe_pieces_kept(const struct pe *pe);
const char *pe_version(const struct pe_upstream *upstream);
/** Whether it is an upstream of this service. */
bool pe_is_of(const struct pe_upstream *upstream, const char *service);
/** The version of the first event of the stream that an attempt began, borrowed
 * until the attempt begins anew; NULL: it has delivered none. */
const char *pe_stream_version(const struct pe *pe, const char *attempt);
/** Upstreams of a version that serve without a fault and do not drain. */
uint32_t pe_ready_count(const struct pe *pe, const char *service,
			const char *version);
/** Streams that went on at another version than the one of their first event;
 * each is a breach, too. */
uint32_t pe_mixed_streams(const struct pe *pe);
/** What should never have reached an upstream: of char *. */
const GPtrArray *pe_breaches(const struct pe *pe);

#endif
