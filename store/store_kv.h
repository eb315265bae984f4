/**
 * The platform's key-value service: compare-and-swap, leases, watches.
 *
 * The interface is a struct of callbacks; its backends are store_etcd.h and, on
 * the users' platform, platform/plf_kv.h.
 * Results are borrowed during the callback. A transaction that ends in
 * LP_ERROR_PLATFORM_DOWN may have taken effect: the caller reads again.
 */
#ifndef STORE_KV_H
#define STORE_KV_H

#include "base/lp_error.h"

struct store_kv;

struct store_pair {
	char *key;
	char *value; /**< followed by a zero byte */
	size_t value_size;
	int64_t create_revision;
	int64_t mod_revision;
};

/** Holds when the key's mod revision is this; 0: the key does not exist. */
struct store_compare {
	const char *key;
	int64_t mod_revision;
};

struct store_put {
	const char *key;
	const char *value;
	int64_t lease; /**< 0: none */
};

/** All puts if all compares hold; else the keys are read. */
struct store_txn {
	const struct store_compare *compares;
	uint32_t compares_count;
	const struct store_put *puts;
	uint32_t puts_count;
	const char *const *reads; /**< keys read when a compare fails */
	uint32_t reads_count;
};

struct store_answer {
	int error;
	bool succeeded; /**< of a transaction */
	const struct store_pair *pairs;
	uint32_t pairs_count;
	int64_t lease;
	/** Of a range: by how much the read that was answered was sent before
	 * the call. */
	int64_t earlier_us;
};

/** What a watch hears of. */
struct store_watch {
	const char *key; /**< on the users' platform all keys that begin with
			    it, with store_etcd this one */
	/** On the platform: all that stands there at this revision, when the
	 * watch begins and whenever it has had to read anew. */
	void (*read)(void *userdata, int64_t revision,
		     const struct store_pair *pairs, uint32_t count);
	/** A new value; on the platform also a key that is gone: value NULL. */
	void (*changed)(void *userdata, const struct store_pair *pair);
	/** On the platform: the service has answered, with changes or without.
	 * May be NULL. */
	void (*answered)(void *userdata);
	/** Once, when the watch breaks. */
	void (*ended)(void *userdata, int error);
	void *userdata;
};

/** `purpose` names the counter the call is counted under. */
struct store_kv_ops {
	/** Read a key, or all keys with this prefix. */
	void (*range)(struct store_kv *kv, const char *purpose, const char *key,
		      bool prefix,
		      void (*done)(void *userdata,
				   const struct store_answer *answer),
		      void *userdata);
	void (*txn)(struct store_kv *kv, const char *purpose,
		    const struct store_txn *txn,
		    void (*done)(void *userdata,
				 const struct store_answer *answer),
		    void *userdata);
	void (*lease_grant)(struct store_kv *kv, const char *purpose,
			    int64_t ttl_s,
			    void (*done)(void *userdata,
					 const struct store_answer *answer),
			    void *userdata);
	/** Begin the watch; there is one at a time. Copied, but for the key. */
	void (*watch)(struct store_kv *kv, const char *purpose,
		      const struct store_watch *watch);
	/** End the watch; ended() is not called. */
	void (*unwatch)(struct store_kv *kv);
	/** Whether a watch waits, and nothing of an answer is coming: it may
	 * have been lost in silence. */
	bool (*watch_waits)(const struct store_kv *kv);
	/** answering() is called whenever a good answer begins to come, however
	 * long the rest of it takes, until destroy(). NULL where a backend
	 * cannot tell. */
	void (*tell_answering)(struct store_kv *kv,
			       void (*answering)(void *userdata),
			       void *userdata);
	/** restored() is called when the service turns out to have been
	 * restored from an older copy, before the answer that shows it is
	 * handled, until destroy(): what it acknowledged since that copy is
	 * gone, and revisions are given out again. NULL where a backend cannot
	 * tell. */
	void (*tell_restored)(struct store_kv *kv,
			      void (*restored)(void *userdata), void *userdata);
	/** The era of the answers, which rises with each restore; -1: none is
	 * known. NULL where a backend cannot tell. */
	int64_t (*era)(const struct store_kv *kv);
	void (*destroy)(struct store_kv *kv);
};

/** The start of every backend's own struct. */
struct store_kv {
	const struct store_kv_ops *ops;
};

#endif
