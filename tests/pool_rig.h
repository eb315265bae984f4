/** Fixture: a pool of upstreams with a clock that the test controls. */
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
		for (auto &info : infos) {
			g_free(info.id);
			g_free(info.service);
			g_free(info.address);
			g_free(info.domain);
			g_free(info.version);
		}
	}
	void add(const char *id, const char *domain, const char *service = "s",
		 const char *version = "v1")
	{
		pool_upstream_info info = { g_strdup(id),
					    g_strdup(service),
					    g_strdup("1:1"),
					    g_strdup(domain),
					    4,
					    false,
					    0,
					    0,
					    g_strdup(version) };

		infos.push_back(info);
		pool_update(c_pool, infos.data(), infos.size());
	}
	pool_upstream *pick(std::vector<pool_prefix_block> blocks = {},
			    std::vector<const char *> tried = {})
	{
		pool_pick_args args = {};

		args.service = "s";
		args.blocks = blocks.data();
		args.blocks_count = blocks.size();
		args.tried = tried.data();
		args.tried_count = tried.size();
		return pool_pick(c_pool, &args);
	}
};

/* Ends a call with all of its pieces completed. `results` numbers the handles.
 */
inline void complete_call(pieces *queue, pieces_call *call, int *results)
{
	for (guint i = 0; i < call->pieces->len; i++)
		pieces_piece_completed(queue, call,
				       &g_array_index(call->pieces, piece, i),
				       std::to_string(++*results).c_str());
	pieces_end_call(queue, call, POOL_SERVED, 0, 0);
}

#endif
