/**
 * The etcd v3 JSON gateway (range, txn, lease, watch) as a store_kv.
 *
 * One client a process. Calls draw on a token bucket; past it they wait,
 * so that a whole fleet starting at once stays inside the service's rates.
 */
#ifndef STORE_ETCD_H
#define STORE_ETCD_H

#include "base/lp_clock.h"
#include "base/lp_counter.h"
#include "store/store_kv.h"

struct store_etcd_options {
	const char *url; /**< "http://IP:PORT" */
	const struct lp_clock *clock;
	struct lp_counters *counters; /**< borrowed */
	double calls_per_s;	      /**< 0: 20 */
	double burst;		      /**< 0: 20 */
	int64_t timeout_us;	      /**< 0: 2 s */
};

struct store_kv *store_etcd_create(const struct store_etcd_options *options);
/** Of any backend. */
void store_kv_destroy(struct store_kv *kv);

#endif
