/**
 * What entries tell each other, in datagrams: who is there, which
 * configuration is in force, which upstream is at work for whom.
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
#include "policy/homes.h"

#include <gio/gio.h>

struct direct_peers;

struct direct_peers_options {
	const struct lp_clock *clock;
	struct lp_event_log *log;
	const char *ip;	    /**< own; copied */
	const char *domain; /**< own failure domain; copied */
	uint16_t port;	    /**< the same on all hosts */
	char *const *seeds; /**< "IP:PORT"; only the IPs are used; copied */
	/** An upstream is at work for a peer (us from now; 0: no longer) and
	 * keeps so much for it. */
	void (*busy)(void *userdata, uint64_t peer, uint64_t upstream,
		     int64_t for_us, int64_t kept_bytes);
	/** A peer sets an upstream aside that it cannot reach. */
	void (*unreachable)(void *userdata, uint64_t upstream,
			    int64_t aside_us);
	/** A peer's hello: the version that it has in force. */
	void (*config)(void *userdata, const char *ip, int64_t version);
	void *userdata;
};

/** NULL when the port cannot be had. */
struct direct_peers *
direct_peers_create(const struct direct_peers_options *options);
void direct_peers_destroy(struct direct_peers *peers);
/** Our configuration's version; told in hellos, at once when it changes. */
void direct_peers_set_version(struct direct_peers *peers, int64_t version);
/** A call of ours keeps an upstream at work for so long (0: no longer), and
 * so many bytes of results are kept there for us. */
void direct_peers_tell_busy(struct direct_peers *peers, uint64_t upstream,
			    int64_t for_us, int64_t kept_bytes);
/** We set an upstream aside for so long: it cannot be reached. */
void direct_peers_tell_unreachable(struct direct_peers *peers,
				   uint64_t upstream, int64_t aside_us);
/**
 * Members heard lately and ourselves: their places are appended to `out`, of
 * struct homes_place; domains are borrowed until the next hello.
 */
void direct_peers_list(const struct direct_peers *peers, GArray *out);
/** Members heard lately, ourselves among them. */
uint32_t direct_peers_count(const struct direct_peers *peers);
/** What names ourselves among them. */
uint64_t direct_peers_self(const struct direct_peers *peers);

#endif
