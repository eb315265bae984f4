/** A pool of upstreams under a clock that a test sets. */
#ifndef POOL_RIG_H
#define POOL_RIG_H

#include "cwrap.h"

#include <string>
#include <vector>

struct Pool {
	TestClock clock;
	pool *c_pool = pool_create(&clock.clock, "a");
	std::vector<pool_upstream_info> infos;

	~Pool()
	{
		pool_destroy(c_pool);
		for (auto &entry : infos) {
			g_free(entry.id);
			g_free(entry.service);
			g_free(entry.address);
			g_free(entry.domain);
		}
	}
	void add(const char *id, const char *domain, const char *service = "s")
	{
		pool_upstream_info entry = { g_strdup(id),
					     g_strdup(service),
					     g_strdup("1:1"),
					     g_strdup(domain),
					     4,
					     false,
					     0,
					     0 };

		infos.push_back(entry);
		pool_update(c_pool, infos.data(), infos.size());
	}
	pool_upstream *pick(std::vector<pool_prefix_block> parts = {},
			    std::vector<const char *> tried = {})
	{
		pool_pick_args ask = {};

		ask.service = "s";
		ask.blocks = parts.data();
		ask.blocks_count = parts.size();
		ask.tried = tried.data();
		ask.tried_count = tried.size();
		return pool_pick(c_pool, &ask);
	}
};

/* A call ends with all of its pieces made; `results` numbers their handles. */
inline void complete_call(pieces *queue, pieces_call *call, int *results)
{
	for (guint i = 0; i < call->pieces->len; i++)
		pieces_made(queue, call, &g_array_index(call->pieces, piece, i),
			    std::to_string(++*results).c_str());
	pieces_end(queue, call, POOL_SERVED, 0, 0);
}

#endif
