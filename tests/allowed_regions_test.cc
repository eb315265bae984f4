/* Regions that may serve a request: of its route, of its organisation, of both.
 */
#include "direct_rig.h"
#include "pool_rig.h"

namespace
{

const char *homes(std::vector<const char *> regions)
{
	return allowed_regions_create(regions.data(), regions.size());
}

TEST(Homes, BindBothWhereBothAreSet)
{
	const char *route = homes({ "north", "south" });
	const char *organisation = homes({ "south", "west" });

	EXPECT_EQ(allowed_regions_intersect(route, organisation),
		  homes({ "south" }));
	EXPECT_EQ(allowed_regions_intersect(route, ALLOWED_REGIONS_ANY), route);
	EXPECT_EQ(allowed_regions_intersect(ALLOWED_REGIONS_ANY, organisation),
		  organisation);
	EXPECT_EQ(allowed_regions_intersect(ALLOWED_REGIONS_ANY,
					    ALLOWED_REGIONS_ANY),
		  nullptr);
	EXPECT_EQ(homes({ "south", "north" }), route);
}

TEST(Homes, AreNowhereWhereTheyHaveNothingInCommon)
{
	const char *none = allowed_regions_intersect(homes({ "north" }),
						     homes({ "south" }));

	EXPECT_FALSE(allowed_regions_contain(none, "north"));
	EXPECT_FALSE(allowed_regions_contain(none, ""));
	EXPECT_FALSE(allowed_regions_contain(homes({ "north" }), nullptr));
	EXPECT_TRUE(allowed_regions_contain(ALLOWED_REGIONS_ANY, nullptr));
}

TEST(Homes, AreTheSameAtOtherEntries)
{
	const std::vector<const char *> sets = {
		ALLOWED_REGIONS_ANY,
		homes({ "north" }),
		allowed_regions_intersect(homes({ "a" }), homes({ "b" })),
	};

	for (const char *set : sets)
		EXPECT_EQ(allowed_regions_decode(allowed_regions_encode(set)),
			  set);
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
		EXPECT_EQ(ask_staged(rig, "s" + std::to_string(i)),
			  whole_stream);
	/* Its only upstream is abroad: refused at once. */
	EXPECT_EQ(Ask(rig.address, "p", "/order/x").wait().status, 503u);
	for (pe_upstream *upstream : stages_abroad)
		EXPECT_EQ(pe_calls(upstream), 0u) << pe_name(upstream);
	for (pe_upstream *upstream : abroad)
		EXPECT_EQ(pe_arrivals(upstream), 0u) << pe_name(upstream);
}

} // namespace
