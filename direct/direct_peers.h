/**
 * Datagrams between entries: membership, capacities, configuration versions and
 * unreachable upstreams; and, for listeners, messages of other modules such as
 * direct_relay.h.
 *
 * A peer is another entry, named by the hash of its IP; members are the live
 * peers and this entry. Every message may be lost, late or outdated, and none
 * is necessary: an entry that receives nothing decides by itself.
 *
 * Peers are discovered from a few seed addresses in the settings: each hello
 * names live peers, and an entry that learns of a peer sends it a hello.
 */
#ifndef DIRECT_PEERS_H
#define DIRECT_PEERS_H

#include "base/lp_clock.h"
#include "base/lp_counter.h"
#include "base/lp_event.h"
#include "policy/dispatchers.h"

#include <gio/gio.h>

struct direct_peers;

struct direct_peers_options {
	const struct lp_clock *clock;
	struct lp_event_log *log;
	struct lp_counters *counters; /**< direct_traffic.h; NULL: none */
	const char *ip;		      /**< of this entry; copied */
	uint32_t capacity;     /**< of this entry, in thousandths of a core */
	int64_t slow_start_us; /**< reduced capacity for so long; 0: 8 s */
	uint16_t port;	       /**< UDP port, the same on all hosts */
	char *const *seeds;    /**< "IP:PORT"; only the IPs are used; copied */
	/** A peer ejects an incarnation of an upstream that it cannot reach. */
	void (*on_unreachable)(void *userdata, uint64_t upstream,
			       int64_t ejection_us);
	/** A peer has read the list of upstreams `age_us` ago; `hash`: of the
	 * list. */
	void (*on_upstream_list)(void *userdata, const char *ip, uint64_t hash,
				 int64_t age_us);
	/** A peer has read the list of upstreams `age_us` ago, and these are
	 * the changes since the list with the previous hash. */
	void (*on_list_changes)(void *userdata, uint64_t previous_hash,
				uint64_t hash, int64_t age_us,
				const char *changes);
	/** A peer reports that the key-value service has answered its watch;
	 * `rank`: the peer's rank among the readers of the service. Its list of
	 * upstreams follows by on_upstream_list, if it has one. */
	void (*on_watch_report)(void *userdata, uint64_t peer, uint32_t rank,
				int64_t version, int64_t age_us);
	/** A peer's hello: the configuration version that it has in force. */
	void (*on_config_version)(void *userdata, const char *ip,
				  int64_t version);
	void *userdata;
};

/** NULL: the port cannot be bound. */
struct direct_peers *
direct_peers_create(const struct direct_peers_options *options);
void direct_peers_destroy(struct direct_peers *peers);
/** Set the configuration version in hellos, and send one at once: to all peers,
 * or to a few that are chosen at random. */
void direct_peers_set_config_version(struct direct_peers *peers,
				     int64_t version, bool to_all);
/** Whether this entry can take work of peers; false at first. A change is sent
 * at once. */
void direct_peers_set_ready(struct direct_peers *peers, bool is_ready);
/** Advertise no capacity from now on, as this entry drains. Sent at once. */
void direct_peers_drain(struct direct_peers *peers);
/** Report to live peers that this entry ejects an incarnation of an upstream:
 * it cannot be reached. */
void direct_peers_report_unreachable(struct direct_peers *peers,
				     uint64_t upstream, int64_t ejection_us);
/** Report to live peers that this entry read the list of upstreams `age_us`
 * ago; `hash`: of the list. */
void direct_peers_report_upstream_list(struct direct_peers *peers,
				       uint64_t hash, int64_t age_us);
/** Report to live peers how the list of upstreams has changed since the one
 * with the previous hash; peers that miss it are left to the report of the
 * list. */
void direct_peers_report_list_changes(struct direct_peers *peers,
				      uint64_t previous_hash, uint64_t hash,
				      int64_t age_us, const char *changes);
/** What a reader of the key-value service reports. */
struct direct_peers_watch_report {
	uint32_t rank;	     /**< this entry's, among the readers */
	int64_t age_us;	     /**< since the service answered its watch */
	uint64_t list_hash;  /**< of its list of upstreams; 0: none */
	int64_t list_age_us; /**< since that list was read */
};

/** Report to live peers that the key-value service has answered this entry's
 * watch. */
void direct_peers_report_watch(struct direct_peers *peers,
			       const struct direct_peers_watch_report *report);
/** Append this entry and the peers that may get work to `out`, of struct
 * dispatchers_member. */
void direct_peers_members(const struct direct_peers *peers, GArray *out);
/** Append the hashes of all live peers to `out`, of uint64_t. */
void direct_peers_list_live(const struct direct_peers *peers, GArray *out);
/** A peer is silent or does not do its work: it gets none for a while. */
void direct_peers_suspect(struct direct_peers *peers, uint64_t peer);
/** Time of the last datagram of any kind from a peer; 0: none. */
int64_t direct_peers_last_received_us(const struct direct_peers *peers,
				      uint64_t peer);
/** Send a peer a liveness probe, which it answers by a hello. Rate limited. */
void direct_peers_probe(struct direct_peers *peers, uint64_t peer);
/** IP of a peer or of this entry, for log lines; "": unknown. */
const char *direct_peers_ip(const struct direct_peers *peers, uint64_t peer);

/** Handles a datagram; `body` is borrowed. */
typedef void (*direct_peers_datagram_fn)(void *userdata, uint64_t peer,
					 GVariant *body);

/** Send a body to a peer; it may be lost. False: too large, or unknown peer. */
bool direct_peers_send(struct direct_peers *peers, uint64_t peer, char kind,
		       GVariant *body);
/** Send a body to all live peers; it may be lost. A floating reference is taken
 * over. */
void direct_peers_send_all(struct direct_peers *peers, char kind,
			   GVariant *body);
/** Pass datagrams of a kind to a handler. `type`: GVariant type of their body,
 * a string literal. */
void direct_peers_listen(struct direct_peers *peers, char kind,
			 const char *type, direct_peers_datagram_fn handler,
			 void *userdata);
/** Set the callback for peers that have restarted. */
void direct_peers_on_restart(struct direct_peers *peers,
			     void (*on_restarted)(void *userdata,
						  uint64_t peer),
			     void *userdata);
/** Add a callback for peers that become live or have restarted; any number. */
void direct_peers_on_discovered(struct direct_peers *peers,
				void (*on_discovered)(void *userdata,
						      uint64_t peer),
				void *userdata);
/** Remove all handlers and callbacks. */
void direct_peers_remove_listeners(struct direct_peers *peers);
/** Time left for the discovery of members after a start; 0: it is over. */
int64_t direct_peers_discovery_left_us(const struct direct_peers *peers);
/** Number of live members, this entry included. */
uint32_t direct_peers_count(const struct direct_peers *peers);
/** Number of members that may be running although they are silent: all that
 * sent a hello or were first named in the last minute, this entry included. */
uint32_t direct_peers_known_count(const struct direct_peers *peers);
/**
 * Whether this entry and peers that make up at least half of the known entries
 * have received each other's datagrams without a long pause since then. True if
 * no other entry was ever known.
 */
bool direct_peers_had_contact_since(const struct direct_peers *peers,
				    int64_t since_us);
/** Hash of this entry's IP, which names it among the members. */
uint64_t direct_peers_own_hash(const struct direct_peers *peers);

#endif
