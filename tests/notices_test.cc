/*
 * Upstreams that say of themselves in their answers that they leave.
 */
#include "fleet_rig.h"

namespace
{

const int64_t drain_ms = 2000;
const int64_t judged_ms = 1500;

struct Kind {
	const char *service;
	const char *target;
};

const Kind kinds[] = { { "plain", "/look/x" },
		       { "engine", "/once/x" },
		       { "engine", "/again/x" },
		       { "first", "/staged/x" } };

/* The reported day: an answer had told an entry that its engine leaves, and it
 * sent it more for ten seconds, until the list said so, too. */
TEST(SaidLeaving, GetsNothingNewThoughTheListNamesItReady)
{
	for (const Kind &kind : kinds) {
		Fleet fleet;
		pe_upstream *leaving = fleet.upstreams[kind.service][0];

		for (pe_upstream *upstream : fleet.upstreams[kind.service])
			pe_set_work_ms(upstream, 60);
		fleet.ask_for(kind.target, 300);
		pe_say_leaving(leaving);
		fleet.ask_for(kind.target, drain_ms + judged_ms);
		EXPECT_EQ(pe_late_arrivals(leaving), 0u) << kind.target;
		EXPECT_EQ(fleet.count(200), (int)fleet.asks.size())
			<< kind.target;
	}
}

} // namespace
