/**
 * What entries tell each other, in datagrams: who is there and how strong,
 * which configuration is in force, which upstream cannot be reached; and, by
 * listeners, work for each other (direct_relay.h).
 *
 * Every word is a belief with an age. It may be lost or late and is never
 * needed: an entry that hears nobody decides by itself.
 *
 * Members are found from a few addresses in the settings: each hello names
 * the members heard lately, and whoever is named gets a hello.
 */
#ifndef DIRECT_PEERS_H
#define DIRECT_PEERS_H

#include "base/lp_clock.h"
#include "base/lp_event.h"
#include "policy/dispatchers.h"

#include <gio/gio.h>

struct direct_peers;

struct direct_peers_options {
	const struct lp_clock *clock;
	struct lp_event_log *log;
	const char *ip;	       /**< own; copied */
	uint32_t capacity;     /**< own, in thousandths of a core */
	int64_t slow_start_us; /**< young for so long; 0: 8 s */
	uint16_t port;	       /**< the same on all hosts */
	char *const *seeds;    /**< "IP:PORT"; only the IPs are used; copied */
	/** A peer sets an upstream aside that it cannot reach. */
	void (*on_unreachable)(void *userdata, uint64_t upstream,
			       int64_t eject_us);
	/** A peer has read the list of upstreams so long ago: its hash. */
	void (*on_upstream_list)(void *userdata, const char *ip, uint64_t hash,
				 int64_t age_us);
	/** A peer's hello: the version that it has in force. */
	void (*on_config_version)(void *userdata, const char *ip,
				  int64_t version);
	void *userdata;
};

/** NULL when the port cannot be had. */
struct direct_peers *
direct_peers_create(const struct direct_peers_options *options);
void direct_peers_destroy(struct direct_peers *peers);
/** Our configuration's version; told in hellos, at once when it changes. */
void direct_peers_set_config_version(struct direct_peers *peers,
				     int64_t version);
/** Whether we can take work of others; not yet, at first. Told at once. */
void direct_peers_set_ready(struct direct_peers *peers, bool is_ready);
/** We end and take no more work. Told at once. */
void direct_peers_drain(struct direct_peers *peers);
/** We set an upstream aside for so long: it cannot be reached. */
void direct_peers_report_unreachable(struct direct_peers *peers,
				     uint64_t upstream, int64_t eject_us);
/** We have read the list of upstreams so long ago: its hash. */
void direct_peers_report_upstream_list(struct direct_peers *peers,
				       uint64_t hash, int64_t age_us);
/** Members that may be given work and ourselves, of struct
 * dispatchers_member: appended to `out`. */
void direct_peers_members(const struct direct_peers *peers, GArray *out);
/** A member did not do its work and is silent: it gets none for a while. */
void direct_peers_suspect(struct direct_peers *peers, uint64_t peer);
/** When any datagram of this member came last; 0: never. */
int64_t direct_peers_last_received_us(const struct direct_peers *peers,
				      uint64_t peer);
/** Ask a member for a sign of life. */
void direct_peers_probe(struct direct_peers *peers, uint64_t peer);
/** The address of a member or ourselves, for log lines; "": not known. */
const char *direct_peers_ip(const struct direct_peers *peers, uint64_t peer);

/** A datagram of a kind that a listener takes; `body` is borrowed. */
typedef void (*direct_peers_datagram_fn)(void *userdata, uint64_t peer,
					 GVariant *body);

/** Send a body to a member; it may be lost. False: too large, or no such
 * member. */
bool direct_peers_send(struct direct_peers *peers, uint64_t peer, char kind,
		       GVariant *body);
/** Send a body to all members that are heard; it may be lost. A floating one is
 * taken over. */
void direct_peers_send_all(struct direct_peers *peers, char kind,
			   GVariant *body);
/** Take datagrams of a kind, of this type (a literal). */
void direct_peers_listen(struct direct_peers *peers, char kind,
			 const char *type, direct_peers_datagram_fn handler,
			 void *userdata);
/** Be told when a member has started anew. */
void direct_peers_on_restart(struct direct_peers *peers,
			     void (*on_restarted)(void *userdata,
						  uint64_t peer),
			     void *userdata);
/** Be told when a member is heard that was not, or that has started anew; any
 * number of listeners. */
void direct_peers_on_discovered(struct direct_peers *peers,
				void (*on_discovered)(void *userdata,
						      uint64_t peer),
				void *userdata);
/** Listeners go, all of them. */
void direct_peers_remove_listeners(struct direct_peers *peers);
/** How long to wait yet for members that we may not know; 0: they are met. */
int64_t direct_peers_discovery_left_us(const struct direct_peers *peers);
/** Members heard lately, ourselves among them. */
uint32_t direct_peers_count(const struct direct_peers *peers);
/** Members that may be there though they are not heard: all that were heard or
 * named in the last minute, ourselves among them. */
uint32_t direct_peers_known_count(const struct direct_peers *peers);
/** What names ourselves among them. */
uint64_t direct_peers_own_hash(const struct direct_peers *peers);

#endif
