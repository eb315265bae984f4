/* Regions that may serve a request: of its route, of its organisation, of both.
 */
#include "direct_rig.h"
#include "pool_rig.h"

namespace
{

const char *homes(std::vector<const char *> regions)
{
	return homes_create(regions.data(), regions.size());
}

TEST(Homes, BindBothWhereBothAreSet)
{
	const char *route = homes({ "north", "south" });
	const char *organisation = homes({ "south", "west" });

	EXPECT_EQ(homes_both(route, organisation), homes({ "south" }));
	EXPECT_EQ(homes_both(route, HOMES_ANYWHERE), route);
	EXPECT_EQ(homes_both(HOMES_ANYWHERE, organisation), organisation);
	EXPECT_EQ(homes_both(HOMES_ANYWHERE, HOMES_ANYWHERE), nullptr);
	EXPECT_EQ(homes({ "south", "north" }), route);
}

TEST(Homes, AreNowhereWhereTheyHaveNothingInCommon)
{
	const char *none = homes_both(homes({ "north" }), homes({ "south" }));

	EXPECT_FALSE(homes_have(none, "north"));
	EXPECT_FALSE(homes_have(none, ""));
	EXPECT_FALSE(homes_have(homes({ "north" }), nullptr));
	EXPECT_TRUE(homes_have(HOMES_ANYWHERE, nullptr));
}

TEST(Homes, AreTheSameAtOtherEntries)
{
	const std::vector<const char *> sets = {
		HOMES_ANYWHERE,
		homes({ "north" }),
		homes_both(homes({ "a" }), homes({ "b" })),
	};

	for (const char *set : sets)
		EXPECT_EQ(homes_read(homes_write(set)), set);
}

/* Both domains have upstreams of each kind, and each is a region: what may only
 * be served in one of them is, whatever is idle in the other. */
TEST(Homes, HoldForCallsPiecesAndPrompts)
{
	Rig rig;
	std::vector<pe_upstream *> abroad;
	std::vector<pe_upstream *> stages_abroad; /* may be asked of room */
	char *text = pe_sample_config(2);
	std::string json = text;
	const std::string name = "\"name\":\"acme\",";

	g_free(text);
	json.replace(json.find(name), name.size(),
		     name + "\"allowed_regions\":[\"north\"],");
	direct_set_region(rig.entry, "a", "south");
	direct_set_region(rig.entry, "b", "north");
	for (const char *domain : { "a", "b" }) {
		for (const char *service : { "first", "second" }) {
			pe_upstream *stage =
				pe_add(rig.platform, PE_STAGE, service, domain);

			if (*domain == 'a')
				stages_abroad.push_back(stage);
		}
		pe_upstream *engine =
			pe_add(rig.platform, PE_ENGINE, "engine", domain);

		if (*domain == 'a')
			abroad.push_back(engine);
	}
	abroad.push_back(pe_add(rig.platform, PE_PLAIN, "plain", "a"));
	pe_set_config(rig.platform, json.c_str());
	rig.settle(2);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(request_staged(rig, "s" + std::to_string(i)),
			  complete_stream);
	/* Its only upstream is abroad: refused at once. */
	EXPECT_EQ(CallerRequest(rig.address, "p", "/order/x").wait().status,
		  503u);
	for (pe_upstream *upstream : stages_abroad)
		EXPECT_EQ(pe_calls(upstream), 0u) << pe_name(upstream);
	for (pe_upstream *upstream : abroad)
		EXPECT_EQ(pe_arrivals(upstream), 0u) << pe_name(upstream);
}

} // namespace
