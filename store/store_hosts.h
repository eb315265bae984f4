/** The platform's list of live and leaving hosts. It lags. */
#ifndef STORE_HOSTS_H
#define STORE_HOSTS_H

#include "store/store_http.h"

enum store_role {
	STORE_ROLE_ENTRY,
	STORE_ROLE_AGENT,
};

struct store_host {
	char *id;
	enum store_role role;
	char *service; /**< of an agent, else "" */
	char *domain;  /**< failure domain */
	char *address; /**< "IP:PORT" for other processes */
	char *admin;   /**< "IP:PORT" of the admin interface */
	bool leaving;
};

struct store_hosts {
	struct store_host *hosts;
	uint32_t count;
};

struct store_hosts_client;

struct store_hosts_options {
	const char *url; /**< "http://IP:PORT" */
	int64_t poll_us; /**< 0: 5 s; jittered by a tenth */
	/** A new list; borrowed during the callback. */
	void (*changed)(void *userdata, const struct store_hosts *hosts);
	/** A poll failed; the last list stays in use. */
	void (*failed)(void *userdata);
	void *userdata;
};

/** Starts polling at once. Unchanged lists cost a 304 (ETag). */
struct store_hosts_client *
store_hosts_create(const struct store_hosts_options *options);
void store_hosts_destroy(struct store_hosts_client *client);

#endif
