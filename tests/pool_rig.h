/** A pool of upstreams under a clock that a test sets. */
#ifndef POOL_RIG_H
#define POOL_RIG_H

#include "cwrap.h"

#include <string>
#include <vector>

struct Pool {
	TestClock clock;
	pool *it = pool_create(&clock.clock, "a");
	std::vector<pool_entry> entries;

	~Pool()
	{
		pool_destroy(it);
		for (auto &entry : entries) {
			g_free(entry.id);
			g_free(entry.service);
			g_free(entry.address);
			g_free(entry.domain);
		}
	}
	void add(const char *id, const char *domain, const char *service = "s")
	{
		pool_entry entry = { g_strdup(id),
				     g_strdup(service),
				     g_strdup("1:1"),
				     g_strdup(domain),
				     4,
				     false,
				     0,
				     0 };

		entries.push_back(entry);
		pool_update(it, entries.data(), entries.size());
	}
	pool_upstream *pick(std::vector<pool_part> parts = {},
			    std::vector<const char *> tried = {})
	{
		pool_ask ask = {};

		ask.service = "s";
		ask.parts = parts.data();
		ask.parts_count = parts.size();
		ask.tried = tried.data();
		ask.tried_count = tried.size();
		return pool_pick(it, &ask);
	}
};

/* A call ends with all of its pieces made; `results` numbers their handles. */
inline void end_made(pieces *queue, pieces_call *call, int *results)
{
	for (guint i = 0; i < call->pieces->len; i++)
		pieces_piece_completed(queue, call,
				       &g_array_index(call->pieces, piece, i),
				       std::to_string(++*results).c_str());
	pieces_end_call(queue, call, POOL_SERVED, 0, 0);
}

#endif
