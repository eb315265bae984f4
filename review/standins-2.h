/**
 * Stand-ins of the cases 4 to 8: the platform's key-value service, servers,
 * requesters, and entries as processes. They speak HTTP/1.1 with blocking
 * sockets, a thread for each connection, on loopback addresses only.
 */
#ifndef STANDINS_2_H
#define STANDINS_2_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A message as it was read. Field names are in lower case. */
struct rv_message {
	char *method; /**< of an answer: NULL */
	char *target;
	int status; /**< of an answer */
	GHashTable *fields;
	GString *body;
	bool complete; /**< an answer: its end was seen */
};

struct rv_store;
struct rv_listener;

/** Called on a thread of its own for each request of a connection. */
typedef void (*rv_request_fn)(void *userdata, int fd,
			      const struct rv_message *request);

/** Opens `path` for the lines of rv_record(). */
void rv_open_record(const char *path);
/** Writes a line with the time in ms since the start. */
void rv_record(const char *format, ...) G_GNUC_PRINTF(1, 2);
int64_t rv_now_ms(void);
/** Whether the disruption is on: TROUBLE is not 0. */
bool rv_has_trouble(void);

/** Listens on "IP:PORT" from now on. Exits with 2 if that fails. */
struct rv_listener *rv_serve(const char *address, rv_request_fn on_request,
			     void *userdata);
/** The process of the listener ends: its connections are reset, new ones are
 * refused. */
void rv_crash(struct rv_listener *listener);
/** Sleeps; returns false as soon as the process of the connection has ended. */
bool rv_work(int fd, guint ms);
const char *rv_field(const struct rv_message *message, const char *name);
/** Writes all bytes. Returns false if the connection has ended. */
bool rv_write(int fd, const char *bytes, gsize size);
/** Writes an answer with a length. `fields`: whole lines, or "". */
bool rv_answer(int fd, int status, const char *fields, const char *body);

/** Starts the key-value service. */
struct rv_store *rv_store_start(const char *address);
void rv_store_put(struct rv_store *store, const char *key, const char *value);
void rv_store_remove(struct rv_store *store, const char *key);
/** Writes a server's entry. */
void rv_store_put_server(struct rv_store *store, const char *id,
			 const char *service, const char *address,
			 const char *state);

/** Starts the program of the deploy file with these settings, which are kept
 * in a temporary folder. Exits with 2 if that fails. */
GPid rv_start_entry(const char *name, const char *settings);
/** Settings like those of a small deployment. g_free(). */
char *rv_entry_settings(const char *name, const char *ip, const char *seeds,
			const char *store);
/** Waits until the entry says that it is ready; exits with 2 if it does not. */
void rv_wait_ready(const char *ip);
/** Ends all entries and exits: 1 if the rule was broken, else 0. */
void rv_finish(bool broken) G_GNUC_NORETURN;

/** Connects to "IP:PORT"; -1: refused. */
int rv_connect(const char *address);
/** Reads an answer; false: none came. `head_only`: to a HEAD request. */
bool rv_read_answer(int fd, struct rv_message *answer);
void rv_clear(struct rv_message *message);

/** Port of the entries' listener for requesters. */
#define RV_FRONT_PORT 18625

#endif
