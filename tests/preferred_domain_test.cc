/* Pieces whose large inputs are in one of several domains with upstreams: the
 * preference for that domain limits the traffic between domains without making
 * pieces late. */
#include "pool_rig.h"

#include <gtest/gtest.h>

#include <vector>

namespace
{

const int64_t ms = 1000;
const char *const domains[] = { "a", "b", "c" };

/* A pool with one upstream in each of three domains. */
struct DomainLoad : Pool {
	pieces *queue;
	std::vector<pieces_call *> calls;
	int requests[512];
	int64_t cross_domain_bytes = 0;
	int64_t all_bytes = 0;
	uint32_t late = 0;
	uint32_t served = 0;
	int results = 0;

	DomainLoad()
	{
		pieces_options options = {};

		for (const char *domain : domains)
			add(domain, domain);
		options.clock = &clock.clock;
		options.pool = c_pool;
		options.service = "s";
		options.batch_max = 40;
		options.call_us = 200 * ms;
		options.piece_us = 4300;
		queue = pieces_create(&options);
	}
	~DomainLoad()
	{
		pieces_destroy(queue);
	}
	/* Adds ten pieces with six results of 60 KB each as inputs. */
	void add_request(int request)
	{
		piece one = {};
		uint64_t domain = lp_hash_pair((uint64_t)request, 1) % 3;

		one.request = &requests[request];
		one.due_us = clock.now_us + 900 * ms;
		one.expires_us = clock.now_us + 6000 * ms;
		one.has_inputs = true;
		one.preferred_domain = domains[domain];
		one.preferred_bytes = 360000;
		for (uint32_t i = 0; i < 10; i++) {
			one.index = i;
			pieces_add(queue, &one);
		}
	}
	void start(pieces_call *call)
	{
		for (guint i = 0; i < call->pieces->len; i++) {
			const piece *one =
				&g_array_index(call->pieces, piece, i);

			all_bytes += one->preferred_bytes;
			if (strcmp(one->preferred_domain,
				   call->upstream->info.domain))
				cross_domain_bytes += one->preferred_bytes;
			late += clock.now_us > one->due_us;
			served++;
		}
		calls.push_back(call);
	}
	void end_calls()
	{
		for (size_t i = 0; i < calls.size();) {
			if (clock.now_us <
			    calls[i]->started_us + calls[i]->expected_us) {
				i++;
				continue;
			}
			complete_call(queue, calls[i], &results);
			calls.erase(calls.begin() + (ptrdiff_t)i);
		}
	}
	void run(int64_t time_us, int64_t every_us)
	{
		int64_t end_us = clock.now_us + time_us;
		int64_t next_us = clock.now_us;
		int request = 0;

		for (; clock.now_us < end_us; clock.now_us += 5 * ms) {
			while (next_us <= clock.now_us) {
				ASSERT_LT(request, (int)G_N_ELEMENTS(requests));
				add_request(request++);
				next_us += every_us;
			}
			end_calls();
			while (pieces_call *call = pieces_start_call(queue))
				start(call);
		}
		clock.now_us += 10000 * ms;
		end_calls();
	}
};

/* Each domain has a third of the capacity, so no piece needs to cross domains.
 * Pieces cross only when the upstream in their own domain is busy. */
TEST(PreferredDomain, FewBytesCrossDomainsAndNoPieceIsLate)
{
	DomainLoad rig;

	rig.run(20000 * ms, 45 * ms);
	EXPECT_GT(rig.served, 3000u);
	EXPECT_EQ(rig.late, 0u);
	EXPECT_LT((double)rig.cross_domain_bytes / (double)rig.all_bytes, 0.1);
}

} // namespace
