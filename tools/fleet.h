/**
 * A whole deployment on loopback: stand-ins, fault proxy, entries, agents.
 *
 * Read from a fleet file of lines (shell quoting, '#' comments):
 *   domains NAME...
 *   service NAME KIND COUNT [name=value...]   stand-in options as values
 * Starts the processes, tells the host list of them, and ends all it
 * started. For tests, the demonstration and measurements only.
 */
#ifndef FLEET_H
#define FLEET_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

struct fleet;

struct fleet_options {
	const char *file;	/**< the fleet file */
	const char *build;	/**< folder with the programs */
	const char *logs;	/**< folder for the processes' output */
	uint32_t entries;	/**< 0: 2 */
	uint32_t scale_percent; /**< of each service's count; 0: 100 */
	bool proxied;		/**< KV and wires go through the fault proxy */
	int64_t start_timeout_us; /**< until entries listen; 0: 20 s */
	/** More flags for every linepierd, NULL-terminated, or NULL. */
	const char *const *flags;
};

/** A process of the fleet. Strings belong to the fleet. */
struct fleet_host {
	char *id;
	char *service; /**< "" for an entry */
	char *domain;
	char *listen; /**< entry: for callers */
	char *bind;   /**< for other processes */
	char *seen;   /**< as the host list shows `bind` (maybe a proxy) */
	char *admin;
	char *upstream; /**< agent: IP:PORT of its upstream */
	GPid pid;	/**< 0: not running */
	bool leaving;
};

/** Returns NULL with a line in `*why` (g_free) when something fails. */
struct fleet *fleet_create(const struct fleet_options *options, char **why);
/** End every process and wait for it. */
void fleet_destroy(struct fleet *fleet);

uint32_t fleet_count(const struct fleet *fleet);
struct fleet_host *fleet_at(struct fleet *fleet, uint32_t index);
struct fleet_host *fleet_find(struct fleet *fleet, const char *id);
/** The nth entry's callers address; NULL if there is none. */
const char *fleet_entry(struct fleet *fleet, uint32_t index);
const char *fleet_kv_url(const struct fleet *fleet);
/** The KV itself, past the proxy. */
const char *fleet_kv_direct(const struct fleet *fleet);
const char *fleet_hosts_url(const struct fleet *fleet);

/** Start a host's process (again). It may not listen yet. */
bool fleet_start(struct fleet *fleet, struct fleet_host *host);
/** Wait until an entry that was started accepts callers' connections. False: it
 * has ended, or does not in time. Agents have no callers. */
bool fleet_wait_listening(struct fleet *fleet, struct fleet_host *host);
/**
 * Start a successor of a process that is left as it is: the host's id goes
 * to the new one, on ports of its own, and the old one is found as ID.old.
 */
bool fleet_succeed(struct fleet *fleet, struct fleet_host *host);
/** Send a signal. */
void fleet_signal(struct fleet_host *host, int signal);
/** Wait for the process to end; its exit status, or -1 after the time. */
int fleet_wait(struct fleet_host *host, int64_t timeout_us);
/** Tell the host list about this host, or drop it from the list. */
void fleet_list(struct fleet *fleet, struct fleet_host *host);
void fleet_unlist(struct fleet *fleet, struct fleet_host *host);
/** Set a rule of the fault proxy; `match` may be NULL. */
bool fleet_fault(struct fleet *fleet, const char *name, const char *mode,
		 uint32_t delay_ms, const char *match);
/** Wait until every running process says it is ready. */
bool fleet_ready(struct fleet *fleet, int64_t timeout_us);
/** Apply a configuration and wait until it is in force everywhere. */
bool fleet_apply(struct fleet *fleet, const char *file);
/** A counter of a host's /metrics; 0 if it is not there. */
int64_t fleet_metric(const struct fleet_host *host, const char *name);
/** Resident memory, bytes, and processor time, microseconds, of a process. */
int64_t fleet_memory(const struct fleet_host *host);
int64_t fleet_cpu_us(const struct fleet_host *host);
/** A host's /v1/status; json_node_unref(), NULL if it does not answer. */
JsonNode *fleet_status(struct fleet *fleet, const struct fleet_host *host);

/** One HTTP exchange, waited for. status 0: none. body g_free(). */
struct fleet_reply {
	uint32_t status;
	char *body;
};
struct fleet_reply fleet_http(const char *method, const char *url,
			      const char *body, const char *const *headers,
			      int64_t timeout_us);
/** Wait a little with the main loop running. */
void fleet_pause(int64_t wait_us);

#endif
