/**
 * Stand-in for the platform's key-value service: the etcd v3 JSON gateway's
 * range, txn, lease grant and watch, in memory. Counts calls.
 */
#ifndef SI_KV_H
#define SI_KV_H

#include <libsoup/soup.h>

struct si_kv;

/** Serve under /v3 of this server. */
struct si_kv *si_kv_create(SoupServer *server);
void si_kv_destroy(struct si_kv *kv);

#endif
